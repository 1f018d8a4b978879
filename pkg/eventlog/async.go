package eventlog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// flushInterval is the maximum time for which a line is buffered to be written together with others.
const flushInterval = 20 * time.Millisecond

// AsyncWriter writes lines in the background, so that a slow reader of the log never blocks scheduling. Lines that do
// not fit into its buffer are dropped, and their number is logged as a LogLinesDropped event.
type AsyncWriter struct {
	out     io.Writer
	limit   int           // capacity of buffer in bytes
	wake    chan struct{} // capacity 1; signalled when a line is buffered
	stopped chan struct{} // closed by Close
	done    chan struct{} // closed when run has returned
	dropped atomic.Int64  // lines dropped since the last flush

	mu     sync.Mutex // guards buffer
	buffer bytes.Buffer
}

// NewAsyncWriter returns a writer that buffers at most limit bytes before out. Close stops it.
func NewAsyncWriter(out io.Writer, limit int) *AsyncWriter {
	w := &AsyncWriter{
		out: out, limit: limit,
		wake: make(chan struct{}, 1), stopped: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write buffers one line. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.buffer.Len()+len(line) > w.limit {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buffer.Write(line)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the buffered lines and stops the writer.
func (w *AsyncWriter) Close() {
	close(w.stopped)
	<-w.done
}

// run flushes the buffer at most once per flushInterval until Close is called.
func (w *AsyncWriter) run() {
	defer close(w.done)
	var spare bytes.Buffer
	for {
		select {
		case <-w.stopped:
			w.flush(&spare)
			return
		case <-w.wake:
		}
		time.Sleep(flushInterval)
		w.flush(&spare)
	}
}

// flush writes the buffered lines. It swaps buffer with spare, so that the memory of both is reused.
func (w *AsyncWriter) flush(spare *bytes.Buffer) {
	w.mu.Lock()
	w.buffer, *spare = *spare, w.buffer
	w.mu.Unlock()
	if n := w.dropped.Swap(0); n > 0 {
		def := catalogue[LogLinesDropped]
		fmt.Fprintf(spare, "{\"level\":\"warn\",\"event\":%d,\"name\":%q,\"lines\":%d}\n", def.Code, def.Name, n)
	}
	// The error is ignored: a failure to write the log cannot be logged.
	_, _ = w.out.Write(spare.Bytes())
	spare.Reset()
}
