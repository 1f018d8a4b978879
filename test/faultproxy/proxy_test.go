package faultproxy

import (
	"bytes"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"

	"fulmarcourse.example/fulmarcourse/test/poll"
)

// Guards against goroutines and connections that outlive their proxy.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// target accepts connections and hands them to the test.
type target struct {
	net.Listener
	conns chan net.Conn
}

func newTarget(t *testing.T) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &target{l, make(chan net.Conn, 100)}
	var done sync.WaitGroup
	done.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns <- c
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		done.Wait()
		close(s.conns)
		for c := range s.conns {
			_ = c.Close()
		}
	})
	return s
}

// connect opens a connection through the proxy and returns both ends, with a deadline of one minute.
func connect(t *testing.T, p *Proxy, s *target) (caller, remote net.Conn) {
	t.Helper()
	caller, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	remote = <-s.conns
	for _, c := range []net.Conn{caller, remote} {
		_ = c.SetDeadline(time.Now().Add(time.Minute))
		t.Cleanup(func() { _ = c.Close() })
	}
	return caller, remote
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// expect reads exactly the text.
func expect(t *testing.T, c net.Conn, text string) {
	t.Helper()
	got := make([]byte, len(text))
	if n, err := io.ReadFull(c, got); err != nil || string(got) != text {
		t.Fatalf("read %q, error %v, want %q", got[:n], err, text)
	}
}

// expectEnd reads to the end of the connection, which must be exactly the text.
func expectEnd(t *testing.T, c net.Conn, text string) {
	t.Helper()
	got, err := io.ReadAll(c)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		t.Fatalf("connection did not end after %q", got)
	}
	if string(got) != text {
		t.Fatalf("read %q before the end, want %q", got, text)
	}
}

// Guards against bytes that are changed, reordered or lost without a fault, and against half-closed connections
// that lose the answer.
func TestForwardsUnchanged(t *testing.T) {
	s := newTarget(t)
	p := Start(t, s.Addr().String())
	p.SetDelay(ToTarget, time.Millisecond, time.Millisecond)
	caller, remote := connect(t, p, s)
	sent := bytes.Repeat([]byte("0123456789abcdef!"), 40_000)
	var done sync.WaitGroup
	done.Go(func() {
		_, _ = caller.Write(sent)
		_ = caller.(*net.TCPConn).CloseWrite()
	})
	got, err := io.ReadAll(remote)
	done.Wait()
	if err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("received %d bytes, error %v, want the %d bytes sent", len(got), err, len(sent))
	}
	write(t, remote, "answer")
	_ = remote.Close()
	expectEnd(t, caller, "answer")
}

// Guards against a delay that has no effect. Only the lower bound is checked, because a slow machine cannot violate it.
func TestDelay(t *testing.T) {
	s := newTarget(t)
	p := Start(t, s.Addr().String())
	caller, remote := connect(t, p, s)
	const delay = 30 * time.Millisecond
	p.SetDelay(ToCaller, delay, 0)
	started := time.Now()
	write(t, remote, "late")
	expect(t, caller, "late")
	if took := time.Since(started); took < delay {
		t.Errorf("took %v, want at least %v", took, delay)
	}
}

// Guards against a one-way cut that also cuts the other direction, that delivers lost bytes later, or that lets
// a stream with a gap continue.
func TestOneWayCut(t *testing.T) {
	s := newTarget(t)
	p := Start(t, s.Addr().String())
	caller, remote := connect(t, p, s)
	p.Cut(ToCaller)
	write(t, remote, "lost")
	write(t, caller, "request")
	expect(t, remote, "request")
	poll.Until(t, "the proxy drops bytes", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return slices.ContainsFunc(slices.Collect(maps.Keys(p.pairs)), func(c *pair) bool { return c.lostBytes })
	})
	p.Heal(ToCaller)
	expectEnd(t, caller, "")
	caller, remote = connect(t, p, s)
	write(t, remote, "works")
	expect(t, caller, "works")
}

// Guards against a freeze that loses, reorders or leaks bytes, that lets new connections pass, or that also stops
// the other direction.
func TestFreeze(t *testing.T) {
	s := newTarget(t)
	p := Start(t, s.Addr().String())
	caller, remote := connect(t, p, s)
	p.Freeze(ToTarget)
	write(t, caller, "one")
	write(t, caller, "two")
	later, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = later.Close() }()
	write(t, later, "three")
	received := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		defer close(received)
		got := make([]byte, len("onetwo"))
		if _, err := io.ReadFull(remote, got); err != nil || string(got) != "onetwo" {
			t.Errorf("read %q, error %v, want the bytes in their order", got, err)
		}
	})
	for range 100 { // time for bytes that should not pass
		write(t, remote, "answer")
		expect(t, caller, "answer")
	}
	select {
	case <-received:
		t.Error("bytes passed a frozen proxy")
	case <-s.conns:
		t.Error("a connection passed a frozen proxy")
	default:
	}
	p.Thaw(ToTarget)
	done.Wait()
	other := <-s.conns
	defer func() { _ = other.Close() }()
	expect(t, other, "three")
}

// Guards against a connection that is closed after a number of bytes other than the requested one, and against a
// fault that acts more than once.
func TestCloseAfter(t *testing.T) {
	s := newTarget(t)
	p := Start(t, s.Addr().String())
	for _, n := range []int{0, 1, 5, 9} {
		caller, remote := connect(t, p, s)
		p.CloseAfter(ToCaller, n)
		write(t, remote, "0123456789")
		expectEnd(t, caller, "0123456789"[:n])
	}
	caller, remote := connect(t, p, s)
	p.CloseAfter(ToCaller, 10)
	write(t, remote, "0123456789")
	expect(t, caller, "0123456789")
	write(t, caller, "still open")
	expect(t, remote, "still open")
	write(t, remote, "x")
	expectEnd(t, caller, "")
	caller, remote = connect(t, p, s)
	write(t, remote, "0123456789")
	expect(t, caller, "0123456789")
}

// Guards against random losses that differ between runs with the same seed, or that lose all or no connections.
func TestLossIsSeeded(t *testing.T) {
	const connections, share, maxBytes = 40, 0.5, 20
	draw := func(seed uint64) (carried []int) {
		s := newTarget(t)
		p := Start(t, s.Addr().String())
		p.SetLoss(share, maxBytes, seed)
		message := make([]byte, maxBytes+1)
		for range connections {
			caller, remote := connect(t, p, s)
			if _, err := remote.Write(message); err != nil {
				t.Fatal(err)
			}
			n, _ := io.ReadFull(caller, make([]byte, len(message)))
			carried = append(carried, n)
		}
		return carried
	}
	first, second := draw(3), draw(3)
	if !slices.Equal(first, second) {
		t.Errorf("connections carried %d and then %d bytes", first, second)
	}
	lost := len(slices.DeleteFunc(first, func(n int) bool { return n > maxBytes }))
	if lost < connections/4 || lost > connections*3/4 {
		t.Errorf("lost %d of %d connections at a share of %g", lost, connections, share)
	}
}

// Guards against a refusing proxy that accepts connections or keeps old ones, and against one that does not
// listen again at the same address.
func TestRefuseAndAccept(t *testing.T) {
	s := newTarget(t)
	p := Start(t, s.Addr().String())
	caller, _ := connect(t, p, s)
	p.RefuseConnections()
	expectEnd(t, caller, "")
	if c, err := net.Dial("tcp", p.Addr()); err == nil {
		_ = c.Close()
		t.Error("connection was accepted")
	}
	if err := p.AcceptConnections(); err != nil {
		t.Fatal(err)
	}
	caller, remote := connect(t, p, s)
	write(t, caller, "again")
	expect(t, remote, "again")
	if n := p.Accepted(); n != 2 {
		t.Errorf("accepted %d connections, want 2", n)
	}
}

// Guards against a proxy that cannot be closed while a connection waits for a cut direction: the test that uses it would never
// end.
func TestCloseWhileAConnectionWaitsForACutLink(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	p, err := Listen(target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	p.Cut(ToTarget)
	conn, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	poll.Until(t, "the connection is accepted", func() bool { return p.Accepted() == 1 })
	closed := make(chan struct{})
	go func() {
		p.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("Close does not return")
	}
}

// Guards against silent connections that pass bytes or are closed, and against new ones that are silent as well.
func TestSilencedConnectionsStayOpen(t *testing.T) {
	s := newTarget(t)
	p := Start(t, s.Addr().String())
	caller, remote := connect(t, p, s)
	if n := p.SilenceConnections(); n != 1 {
		t.Fatalf("%d connections are silent, want 1", n)
	}
	for _, c := range []net.Conn{caller, remote} {
		if _, err := c.Write([]byte("lost")); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []net.Conn{caller, remote} {
		if err := c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		if n, err := c.Read(make([]byte, 8)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read %d bytes, %v, want none until the deadline", n, err)
		}
	}
	connect(t, p, s) // exchanges bytes
}
