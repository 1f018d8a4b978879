package integration

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/problem"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
	"fulmarcourse.example/fulmarcourse/test/invariants"
)

const (
	loadDeadline = time.Second
	// loadInterval is the interval between two requests of one sender.
	loadInterval = 25 * time.Millisecond
	// sendersPerHost is the number of senders for each entry host. Each sends one request at a time.
	sendersPerHost = 2
)

// sentRequest is a request of a load and its reply.
type sentRequest struct {
	host  structs.HostID
	call  cluster.Call
	at    time.Time // when it was sent
	reply cluster.Reply
}

// load sends alternating requests for quotes and previews, each with a unique body, through all entry hosts until it is
// stopped.
type load struct {
	t        *testing.T
	c        *cluster.Cluster
	balanced bool // send only to hosts that report ready, as the platform's load balancer does
	stop     chan struct{}
	senders  sync.WaitGroup

	mu     sync.Mutex
	number int
	all    []sentRequest
}

// startLoad starts a load. The test stops it with finish.
func startLoad(t *testing.T, c *cluster.Cluster, balanced bool) *load {
	l := &load{t: t, c: c, balanced: balanced, stop: make(chan struct{})}
	for _, host := range c.Entries() {
		for range sendersPerHost {
			l.senders.Go(func() { l.send(host) })
		}
	}
	return l
}

func (l *load) send(host structs.HostID) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	url := base(l.c, host)
	for {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		if l.balanced && !cluster.RespondsOK(url, "/readyz") {
			continue
		}
		call := l.next()
		at := time.Now()
		reply := cluster.Send(url, call)
		if reply.DialFailed {
			continue
		}
		l.mu.Lock()
		l.all = append(l.all, sentRequest{host, call, at, reply})
		l.mu.Unlock()
	}
}

func (l *load) next() cluster.Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	kind := structs.KindName("quote")
	if l.number%2 == 0 {
		kind = "preview"
	}
	return cluster.Call{Service: service, Kind: kind, Deadline: loadDeadline, Body: fmt.Sprintf("load-%d", l.number)}
}

// awaitAnswers waits until each host has answered requests of both kinds that were sent after from.
func (l *load) awaitAnswers(phase string, from time.Time, hosts ...structs.HostID) {
	l.t.Helper()
	const minAnswers = 5
	for _, host := range hosts {
		for _, kind := range []structs.KindName{"quote", "preview"} {
			l.c.Await(fmt.Sprintf("%s: answers to requests of kind %s through %s", phase, kind, host), func() bool {
				return l.answered(from, host, kind) >= minAnswers
			})
		}
	}
	l.t.Logf("%s: %v", phase, l.outcomes(from))
}

// answered counts the answers through host to requests of a kind that were sent after from.
func (l *load) answered(from time.Time, host structs.HostID, kind structs.KindName) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.all {
		if s.host == host && s.call.Kind == kind && s.at.After(from) && s.reply.Outcome == structs.Answered {
			n++
		}
	}
	return n
}

// outcomes counts the outcomes, with their reasons, of the requests that were sent after from.
func (l *load) outcomes(from time.Time) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for _, s := range l.all {
		if s.at.After(from) {
			counts[outcomeOf(s.reply)]++
		}
	}
	return counts
}

// outcomeOf returns the outcome of a reply, followed by the reason in parentheses unless the request was answered.
func outcomeOf(reply cluster.Reply) string {
	if reply.Status == 0 {
		return "no reply"
	}
	if reply.Outcome == structs.Answered {
		return string(reply.Outcome)
	}
	var p problem.Problem
	_ = json.Unmarshal(reply.Body, &p) // the reason stays empty if the body is not a problem document
	return fmt.Sprintf("%s (%s)", reply.Outcome, p.Detail)
}

// finish stops the load, checks every reply against the history of the runners and returns all requests.
func (l *load) finish() []sentRequest {
	l.t.Helper()
	close(l.stop)
	l.senders.Wait()
	l.t.Log("all requests: ", l.outcomes(time.Time{}))
	checkRequests(l.t, l.c, l.all)
	return l.all
}

// checkRequests fails the test if a quote ran twice, a request that was reported as not run did run, or an answer is
// not the complete answer to its request.
func checkRequests(t *testing.T, c *cluster.Cluster, all []sentRequest) {
	t.Helper()
	var notRun []string
	for _, s := range all {
		switch s.reply.Outcome {
		case structs.NotRun:
			notRun = append(notRun, s.call.Body)
		case structs.Answered:
			want := fmt.Sprintf("%s answer to %s", s.call.Kind, s.call.Body)
			if got := string(s.reply.Body); got != want || !s.reply.Complete || s.reply.Status != 200 {
				t.Errorf("%s through %s was answered with %d %q, complete: %t", s.call.Body, s.host, s.reply.Status, got, s.reply.Complete)
			}
		}
	}
	events := c.Platform.History.Events()
	violations := append(invariants.RequestsAtMostOnce(ofKind(events, "quote")), invariants.NotRun(events, notRun)...)
	for _, v := range violations {
		t.Error(v)
	}
}

// ofKind returns the events of one kind of request.
func ofKind(events []standin.Event, kind structs.KindName) []standin.Event {
	var selected []standin.Event
	for _, e := range events {
		if e.Kind == kind {
			selected = append(selected, e)
		}
	}
	return selected
}

// runs returns how often runners started a request with the given body.
func runs(c *cluster.Cluster, body string) int {
	n := 0
	for _, e := range c.Platform.History.OfType(standin.RequestStarted) {
		if e.Body == body {
			n++
		}
	}
	return n
}
