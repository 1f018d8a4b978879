//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
)

// link is a proxy in front of an entry host, through which the other entry hosts reach it.
type link struct {
	target   string
	listener net.Listener

	mu     sync.Mutex // guards the fields below
	open   map[*pair]struct{}
	closed bool
}

// pair is a connection through a link and its continuation.
type pair struct {
	in, out net.Conn

	mu     sync.Mutex // guards the fields below
	silent bool
	ending bool // userTimeout runs
}

// userTimeout is the TCP_USER_TIMEOUT that the entry hosts set on their connections to each other (the timeout of their keep-alive):
// their kernel ends a connection on which what they have sent is not acknowledged for so long. The kernel of this proxy acknowledges
// what it discards, so the proxy resets a silent connection in the kernel's place.
const userTimeout = 10 * time.Second

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{target: target, listener: listener, open: map[*pair]struct{}{}}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p := &pair{in: in, out: out}
		l.mu.Lock()
		l.open[p] = struct{}{}
		l.mu.Unlock()
		go l.copy(p, in, out)
		go l.copy(p, out, in)
	}
}

// copy forwards what arrives. On a silent connection it discards it, and passes no end on either.
func (l *link) copy(p *pair, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		silent := p.silent
		if silent && n > 0 && !p.ending {
			p.ending = true
			time.AfterFunc(userTimeout, p.reset)
		}
		p.mu.Unlock()
		if silent {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
			} else {
				_, _ = from.Close(), to.Close()
			}
			return
		}
	}
}

// reset ends both parts of a connection.
func (p *pair) reset() {
	for _, c := range []net.Conn{p.in, p.out} {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// silence makes all open connections silent for good, without a reset. New ones work.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.open {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
	n := len(l.open)
	clear(l.open)
	return n
}

// connectThroughLinks makes the entry hosts at the given addresses reach each other through links: each reads the store through a
// view that names the links in place of the other hosts' addresses. It returns the links and, by host, the address of its view.
func (p *platform) connectThroughLinks(ips []string) (links []*link, views []*standin.Server, err error) {
	addresses := make([]string, len(ips))
	for n, ip := range ips {
		addresses[n] = fmt.Sprintf("%s:%d", ip, firstPort)
		l, err := newLink(addresses[n])
		if err != nil {
			return nil, nil, err
		}
		links = append(links, l)
	}
	for reader := range ips {
		var swaps []string
		for n, address := range addresses {
			if n != reader {
				swaps = append(swaps, `"`+address+`"`, `"`+links[n].listener.Addr().String()+`"`)
			}
		}
		replacer := strings.NewReplacer(swaps...)
		view, err := fleet.NewView(&fleet.View{Store: p.store.inner, Rewrite: func(key string, value []byte) []byte {
			if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
				return value
			}
			return []byte(replacer.Replace(string(value)))
		}})
		if err != nil {
			return nil, nil, err
		}
		views = append(views, view)
	}
	return links, views, nil
}
