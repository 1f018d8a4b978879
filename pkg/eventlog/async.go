package eventlog

import (
	"bytes"
	"io"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

const (
	// flushInterval is the maximum time for which a line is buffered to be written together with others, and the time
	// after which a failed write is tried again.
	flushInterval = 20 * time.Millisecond
	// closeTimeout bounds the time for which Close waits for a reader that does not read.
	closeTimeout = time.Second
	// pipeAtomic is the number of bytes that a pipe on Linux takes as a whole or not at all. Other processes that write
	// to the same pipe cannot interleave their lines with a write of this size.
	pipeAtomic = 4096
	// shortWriteInterval is the minimum time between two LogWriteShort events.
	shortWriteInterval = 10 * time.Second
	// essentialShare is the inverse of the share of the buffer that is reserved for essential lines.
	essentialShare = 4
)

// AsyncConfig configures an AsyncWriter.
type AsyncConfig struct {
	Out   io.Writer
	Host  string // host in the lines that announce dropped lines
	Limit int    // maximum number of bytes that are not written yet
	Scope tally.Scope
}

// AsyncWriter writes lines in the background, so that a slow reader of the log never blocks scheduling. A line is written
// as a whole or dropped: the rest of a write that the reader has taken only in part is written before anything else. Lines
// that do not fit into the buffer are dropped, and their number is counted and logged as a LogLinesDropped event.
type AsyncWriter struct {
	out         io.Writer
	limit       int
	wake        chan struct{} // capacity 1; signalled when a line is buffered
	stopped     chan struct{} // closed by Close
	done        chan struct{} // closed when run has returned
	dropped     tally.Counter
	shortWrites tally.Counter

	// Used by run only.
	announcer     *Logger // writes to announcements
	announcements bytes.Buffer
	unreported    int       // short writes since the last LogWriteShort event
	writeErr      error     // of the latest short write
	reportedAt    time.Time // time of the last LogWriteShort event

	mu          sync.Mutex // guards the fields below
	buffer      []byte     // whole lines
	unwritten   int        // bytes of the batch that run is writing
	unannounced int        // lines dropped since the last announcement
}

// NewAsyncWriter returns a writer of whole lines to cfg.Out. Close stops it. From then on the process ignores SIGPIPE, so
// that it outlives a reader of its standard output that has ended.
func NewAsyncWriter(cfg AsyncConfig) *AsyncWriter {
	signal.Ignore(syscall.SIGPIPE)
	w := &AsyncWriter{
		out: cfg.Out, limit: cfg.Limit,
		wake: make(chan struct{}, 1), stopped: make(chan struct{}), done: make(chan struct{}),
		dropped:     cfg.Scope.Counter("log_lines_dropped"),
		shortWrites: cfg.Scope.Counter("log_short_writes"),
	}
	w.announcer = NewLogger(&w.announcements, log.InfoLevel, cfg.Host)
	go w.run()
	return w
}

// Write buffers one ordinary line. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.add(line, w.limit-w.limit/essentialShare)
	return len(line), nil
}

// WriteEssential buffers one line for which a part of the buffer is reserved. It never blocks and never fails.
func (w *AsyncWriter) WriteEssential(line []byte) (int, error) {
	w.add(line, w.limit)
	return len(line), nil
}

// add buffers a line unless more than limit bytes would be buffered with it.
func (w *AsyncWriter) add(line []byte, limit int) {
	w.mu.Lock()
	if len(w.buffer)+w.unwritten+len(line) > limit {
		w.unannounced++
		w.mu.Unlock()
		w.dropped.Inc(1)
		return
	}
	w.buffer = append(w.buffer, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Close writes the buffered lines and stops the writer. It gives up after closeTimeout.
func (w *AsyncWriter) Close() {
	close(w.stopped)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// run writes the buffered lines at most once per flushInterval until Close is called.
func (w *AsyncWriter) run() {
	defer close(w.done)
	var b batch
	for !w.closing() {
		select {
		case <-w.stopped:
		case <-w.wake:
			w.sleep()
			w.take(&b)
		}
		for !w.write(&b) && !w.closing() {
			w.sleep()
		}
	}
	for end := time.Now().Add(closeTimeout); time.Now().Before(end); {
		if !w.write(&b) {
			time.Sleep(flushInterval)
			continue
		}
		if w.take(&b); len(b.rest) == 0 {
			return
		}
	}
}

// sleep waits for flushInterval or until Close is called.
func (w *AsyncWriter) sleep() {
	select {
	case <-w.stopped:
	case <-time.After(flushInterval):
	}
}

func (w *AsyncWriter) closing() bool {
	select {
	case <-w.stopped:
		return true
	default:
		return false
	}
}

// batch is what run writes next.
type batch struct {
	lines []byte // memory of the batch
	rest  []byte // the part of lines that is not written yet
}

// take replaces a batch that is written by the buffered lines, followed by an announcement of the lines that did not fit.
// The memory of the batch becomes the buffer.
func (w *AsyncWriter) take(b *batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer, b.lines = b.lines[:0], w.buffer
	if w.unannounced > 0 {
		w.announcer.Event(LogLinesDropped).Int("lines", w.unannounced).Msg("")
	}
	if w.unreported > 0 && time.Since(w.reportedAt) >= shortWriteInterval {
		w.announcer.Event(LogWriteShort).Int("writes", w.unreported).Err(w.writeErr).Msg("")
		w.unreported, w.reportedAt = 0, time.Now()
	}
	b.lines = append(b.lines, w.announcements.Bytes()...)
	w.announcements.Reset()
	b.rest, w.unwritten, w.unannounced = b.lines, len(b.lines), 0
}

// write writes the rest of a batch and reports whether all of it was taken. After a short write the next one continues at
// the byte where it ended.
func (w *AsyncWriter) write(b *batch) (done bool) {
	for len(b.rest) > 0 {
		part := b.rest[:wholeLines(b.rest)]
		n, err := w.out.Write(part)
		n = min(max(n, 0), len(part))
		b.rest = b.rest[n:]
		w.mu.Lock()
		w.unwritten = len(b.rest)
		w.mu.Unlock()
		if n < len(part) {
			w.shortWrites.Inc(1)
			w.unreported++
			w.writeErr = err
			return false
		}
	}
	return true
}

// wholeLines returns the length of the lines at the start of text that one write takes as a whole, at least of one line.
func wholeLines(text []byte) int {
	if len(text) <= pipeAtomic {
		return len(text)
	}
	if n := bytes.LastIndexByte(text[:pipeAtomic], '\n'); n >= 0 {
		return n + 1
	}
	return pipeAtomic + bytes.IndexByte(text[pipeAtomic:], '\n') + 1
}
