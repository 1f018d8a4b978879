package eventlog

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// testLimit is the buffer size of the writers in these tests, in bytes.
const testLimit = 64 << 10

// logLine is the part of a log line that the tests read.
type logLine struct {
	Time  string
	Host  string
	Event Code
	N     int
	Lines int // of LogLinesDropped
}

// parseLines decodes a log and fails the test on a line that is torn or joined with another.
func parseLines(t *testing.T, text string) []logLine {
	t.Helper()
	var lines []logLine
	for text := range strings.Lines(text) {
		var line logLine
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatalf("torn line %q: %v", text, err)
		}
		if line.Time == "" || line.Host != "host" {
			t.Fatalf("line without time or host: %q", text)
		}
		lines = append(lines, line)
	}
	return lines
}

// limitedWriter writes at most most bytes of a call and fails the rest of it, as a pipe does that is full.
type limitedWriter struct {
	mu      sync.Mutex // guards the fields below
	most    int        // 0 while the reader is stalled
	err     error      // returned with a short write
	written bytes.Buffer
}

func (w *limitedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(p), w.most)
	w.written.Write(p[:n])
	if n < len(p) {
		return n, w.err
	}
	return n, nil
}

func (w *limitedWriter) setMost(most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.most = most
}

func (w *limitedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

// newTestWriter returns a writer to out and a logger for it.
func newTestWriter(out io.Writer, scope tally.Scope) (*AsyncWriter, *Logger) {
	w := NewAsyncWriter(AsyncConfig{Out: out, Host: "host", Limit: testLimit, Scope: scope})
	return w, NewLogger(w, log.InfoLevel, "host")
}

// logNumbered logs n ordinary lines, numbered from first.
func logNumbered(l *Logger, first, n int) {
	for i := first; i < first+n; i++ {
		l.Event(TaskStartDecided).Int("n", i).Msg("")
	}
}

// checkComplete checks that the ordinary lines 0 to n-1 were written in order or announced as dropped.
func checkComplete(t *testing.T, lines []logLine, n int) (dropped int) {
	t.Helper()
	last, found := -1, 0
	for _, line := range lines {
		dropped += line.Lines
		if line.Event == LogLinesDropped || line.Event == LogWriteShort {
			continue
		}
		if line.N <= last {
			t.Fatalf("line %d follows line %d", line.N, last)
		}
		last = line.N
		found++
	}
	if found+dropped != n {
		t.Errorf("%d lines written and %d announced as dropped of %d", found, dropped, n)
	}
	return dropped
}

func counterOf(scope tally.TestScope, name string) int64 {
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Name() == name {
			return counter.Value()
		}
	}
	return 0
}

// Guards against torn and joined lines when the reader takes only a part of a write: the rest of the batch was lost, and
// the next batch followed in the middle of a line.
func TestShortWritesDoNotTearLines(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
	}{
		{"error", syscall.EAGAIN},
		{"no error", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := &limitedWriter{most: 700, err: c.err} // ends within a line
			scope := tally.NewTestScope("", nil)
			w, logger := newTestWriter(out, scope)
			logNumbered(logger, 0, 50)
			time.Sleep(2 * flushInterval)
			logNumbered(logger, 50, 20)
			w.Close()
			if dropped := checkComplete(t, parseLines(t, out.text()), 70); dropped > 0 {
				t.Errorf("%d lines dropped although they fit into the buffer", dropped)
			}
			if n := counterOf(scope, "log_short_writes"); n == 0 {
				t.Error("short writes are not counted")
			}
		})
	}
}

// Guards against torn and lost lines at a real pipe that does not block: a full pipe takes a part of a write or nothing.
func TestFullPipeDoesNotTearLines(t *testing.T) {
	var fds [2]int
	if err := syscall.Pipe(fds[:]); err != nil {
		t.Fatal(err)
	}
	if err := syscall.SetNonblock(fds[1], true); err != nil {
		t.Fatal(err)
	}
	reader := os.NewFile(uintptr(fds[0]), "reader")
	defer func() { _ = reader.Close() }()
	w, logger := newTestWriter(fdWriter(fds[1]), tally.NoopScope)
	const n = 2000 // more than the pipe and the buffer hold
	logNumbered(logger, 0, n/2)
	time.Sleep(2 * flushInterval)
	logNumbered(logger, n/2, n/2)
	text := make(chan string)
	go func() {
		all, _ := io.ReadAll(reader)
		text <- string(all)
	}()
	w.Close()
	if err := syscall.Close(fds[1]); err != nil {
		t.Fatal(err)
	}
	checkComplete(t, parseLines(t, <-text), n)
}

// Guards against a reader of standard output whose end takes the process down: by default a Go process is killed by SIGPIPE
// when it writes to a broken pipe on standard output.
func TestEndOfTheReaderDoesNotEndTheProcess(t *testing.T) {
	const child = "EVENTLOG_TEST_BROKEN_PIPE"
	if os.Getenv(child) != "" {
		w, logger := newTestWriter(os.Stdout, tally.NoopScope)
		for n := range 5 {
			logNumbered(logger, 100*n, 100)
			time.Sleep(2 * flushInterval)
		}
		w.Close()
		os.Exit(0)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), child+"=1")
	cmd.Stdout = writer
	if err := cmd.Run(); err != nil {
		t.Errorf("the process ended with %v", err)
	}
	if err := writer.Close(); err != nil {
		t.Error(err)
	}
}

// fdWriter writes to a file descriptor without waiting for it.
type fdWriter int

func (fd fdWriter) Write(p []byte) (int, error) {
	n, err := syscall.Write(int(fd), p)
	return max(n, 0), err
}

// Guards against lines that are lost without a word: what a stalled reader makes the writer drop is counted and announced
// with a line that has the form of all others.
func TestDroppedLinesAreAnnounced(t *testing.T) {
	out := &limitedWriter{err: syscall.EAGAIN}
	scope := tally.NewTestScope("", nil)
	w, logger := newTestWriter(out, scope)
	const n = 3000
	logNumbered(logger, 0, n)
	time.Sleep(2 * flushInterval)
	logNumbered(logger, n, n)
	out.setMost(1 << 20)
	w.Close()
	dropped := checkComplete(t, parseLines(t, out.text()), 2*n)
	if dropped == 0 {
		t.Error("no line announces dropped lines")
	}
	if counted := counterOf(scope, "log_lines_dropped"); counted != int64(dropped) {
		t.Errorf("%d dropped lines counted, %d announced", counted, dropped)
	}
	if size := len(out.text()); size > testLimit+pipeAtomic {
		t.Errorf("%d bytes were kept for a stalled reader, limit %d", size, testLimit)
	}
}

// Guards against status lines and warnings that are lost behind a flood of lines about single tasks.
func TestEssentialLinesOutlastAFlood(t *testing.T) {
	out := &limitedWriter{err: syscall.EAGAIN}
	w, logger := newTestWriter(out, tally.NoopScope)
	logNumbered(logger, 0, 3000)
	logger.Event(PartitionStatus).Int("n", 3000).Msg("")
	logger.Event(RelayLost).Int("n", 3001).Msg("")
	out.setMost(1 << 20)
	w.Close()
	found := map[Code]int{}
	for _, line := range parseLines(t, out.text()) {
		found[line.Event]++
	}
	if found[PartitionStatus] != 1 || found[RelayLost] != 1 || found[LogLinesDropped] == 0 {
		t.Errorf("after a flood: %d status lines, %d warnings, %d announcements of dropped lines",
			found[PartitionStatus], found[RelayLost], found[LogLinesDropped])
	}
}

// blockedWriter never returns from a write until it is released.
type blockedWriter chan struct{}

func (w blockedWriter) Write([]byte) (int, error) {
	<-w
	return 0, io.ErrClosedPipe
}

// Guards against a reader that has stopped reading and thereby blocks scheduling, or keeps the process from ending.
func TestStalledReaderBlocksNeitherLoggingNorExit(t *testing.T) {
	for name, out := range map[string]io.Writer{
		"blocks": make(blockedWriter), "fails": &limitedWriter{err: io.ErrClosedPipe},
	} {
		t.Run(name, func(t *testing.T) {
			if blocked, ok := out.(blockedWriter); ok {
				defer close(blocked)
			}
			w, logger := newTestWriter(out, tally.NoopScope)
			done := make(chan struct{})
			go func() {
				logNumbered(logger, 0, 100)
				time.Sleep(2 * flushInterval)
				logNumbered(logger, 100, 3000)
				w.Close()
				close(done)
			}()
			select {
			case <-done:
			case <-time.After(10 * closeTimeout):
				t.Fatal("logging or Close is blocked by a reader that does not read")
			}
		})
	}
}

// miscountingWriter returns counts that violate the contract of io.Writer.
type miscountingWriter struct{ n int }

func (w *miscountingWriter) Write(p []byte) (int, error) {
	w.n++
	if w.n%2 == 0 {
		return -1, io.ErrShortWrite
	}
	return len(p) + 1, nil
}

// Guards against a wrong count of written bytes that takes the process down.
func TestWrongCountsOfWrittenBytesAreHarmless(t *testing.T) {
	w, logger := newTestWriter(&miscountingWriter{}, tally.NoopScope)
	for n := range 5 {
		logNumbered(logger, 100*n, 100)
		time.Sleep(flushInterval)
	}
	w.Close()
}

// Guards against a line that is longer than an atomic write, such as a stack, being torn or holding up others.
func TestLongLines(t *testing.T) {
	out := &limitedWriter{most: 3000, err: syscall.EAGAIN}
	w, logger := newTestWriter(out, tally.NoopScope)
	logNumbered(logger, 0, 1)
	logger.Event(CallPanicked).Int("n", 1).Str("stack", strings.Repeat("x", 3*pipeAtomic)).Msg("")
	logNumbered(logger, 2, 1)
	logger.Event(CallPanicked).Int("n", 3).Str("stack", strings.Repeat("x", 2*testLimit)).Msg("") // does not fit at all
	logNumbered(logger, 4, 1)
	w.Close()
	if dropped := checkComplete(t, parseLines(t, out.text()), 5); dropped != 1 {
		t.Errorf("%d lines dropped, want the one that is longer than the buffer", dropped)
	}
}
