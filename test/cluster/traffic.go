package cluster

import (
	"io"
	"sync/atomic"
	"time"

	"fulmarcourse.example/fulmarcourse/test/faultproxy"
)

// Traffic is the number of bytes of TCP payload that a link has carried so far.
type Traffic struct {
	ToTarget int64
	ToCaller int64
}

// counters count the traffic of one link.
type counters struct {
	toTarget, toCaller atomic.Int64
}

// countingWriter adds the number of bytes written to a counter.
type countingWriter struct {
	io.Writer
	bytes *atomic.Int64
}

// Write implements io.Writer.
func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.Writer.Write(b)
	w.bytes.Add(int64(n))
	return n, err
}

// Traffic returns the traffic of all links that were used. Links to backends without proxies are not included.
func (c *Cluster) Traffic() map[Link]Traffic {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	all := make(map[Link]Traffic, len(c.net.traffic))
	for link, count := range c.net.traffic {
		all[link] = Traffic{ToTarget: count.toTarget.Load(), ToCaller: count.toCaller.Load()}
	}
	return all
}

// DelayLinks sets the one-way delay of the links for which selected returns true, instead of the configured delay.
// Names are as in CutLinks.
func (c *Cluster) DelayLinks(delay time.Duration, selected func(from, to string) bool) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	for link, proxy := range c.net.proxies {
		if selected(string(link.From), link.To) {
			proxy.SetDelay(faultproxy.ToTarget, delay, delay/4)
			proxy.SetDelay(faultproxy.ToCaller, delay, delay/4)
		}
	}
}

// LoseConnections closes the open connections of the links for which lossy returns true, and a share of their new
// connections after at most maxBytes. A share of 0 ends the loss. Links that are used for the first time later are not
// affected.
func (c *Cluster) LoseConnections(share float64, maxBytes int, lossy func(from, to string) bool) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	for link, proxy := range c.net.proxies {
		if lossy(string(link.From), link.To) {
			proxy.SetLoss(share, maxBytes, c.cfg.Seed)
			proxy.CloseConnections()
		}
	}
}
