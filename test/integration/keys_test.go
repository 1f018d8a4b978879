package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
)

// idempotencyPrefix is the store prefix of the records of idempotency keys.
const idempotencyPrefix = "/fulmarcourse/production/idempotency/"

// keyed returns a request for a quote whose idempotency key is also its body.
func keyed(key string) cluster.Call {
	return cluster.Call{Service: service, Kind: "quote", Key: key, Deadline: callDeadline, Body: key}
}

// checkRuns fails the test if the number of runs of a body on runners is not want.
func checkRuns(t *testing.T, c *cluster.Cluster, body string, want int) {
	t.Helper()
	if got := runs(c, body); got != want {
		t.Errorf("%s ran %d times, want %d", body, got, want)
	}
}

// checkRepeats repeats a keyed quote through each host until the key is no longer in progress, and fails the test if
// the final reply does not have the wanted outcome or is not the answer to the call.
func checkRepeats(t *testing.T, c *cluster.Cluster, call cluster.Call, want string, hosts ...structs.HostID) {
	t.Helper()
	for _, host := range hosts {
		var reply cluster.Reply
		c.Await(call.Key+" is resolved at "+string(host), func() bool {
			reply = cluster.Send(base(c, host), call)
			return reply.Status != http.StatusConflict && reply.Status != http.StatusServiceUnavailable
		})
		if got := outcomeOf(reply); got != want {
			t.Errorf("repeat of %s through %s: %s, want %s", call.Key, host, got, want)
		}
		if reply.Outcome == structs.Answered && string(reply.Body) != "quote answer to "+call.Body {
			t.Errorf("repeat of %s through %s: %q", call.Key, host, reply.Body)
		}
	}
}

const (
	answered   = string(structs.Answered)
	holderLost = "unknown (holder-lost)"
)

// Guards against a second run, or a different answer, for a key that is repeated through every entry host: while it is
// in progress, after its answer, and after the entry host that accepted it was killed and restarted.
func TestKeyRepeatedThroughOtherHosts(t *testing.T) {
	c := start(t, slowQuotes(time.Second))
	const first = structs.HostID("a-entry-0")
	rest := others(c, first)
	quote, lost := keyed("quote"), keyed("lost")
	lost.Deadline = 20 * time.Second
	replies := make(chan cluster.Reply, 1)
	go func() { replies <- cluster.Send(base(c, first), quote) }()
	c.Await("the quote runs", func() bool { return runs(c, quote.Body) > 0 })
	for _, host := range rest {
		if reply := cluster.Send(base(c, host), quote); reply.Status != http.StatusConflict && reply.Outcome != structs.Answered {
			t.Errorf("repeat through %s while in progress: %d %s", host, reply.Status, reply.Body)
		}
	}
	if reply := <-replies; reply.Outcome != structs.Answered {
		t.Errorf("first quote: %d %s", reply.Status, reply.Body)
	}
	checkRepeats(t, c, quote, answered, c.Entries()...)

	go func() { replies <- cluster.Send(base(c, first), lost) }()
	c.Await("the second quote runs", func() bool { return runs(c, lost.Body) > 0 })
	c.Kill(first)
	<-replies
	checkRepeats(t, c, quote, answered, rest...)
	checkRepeats(t, c, lost, holderLost, rest...)
	c.Restart(first)
	c.AwaitReady(first)
	checkRepeats(t, c, quote, answered, first)
	checkRepeats(t, c, lost, holderLost, first)
	checkRuns(t, c, quote.Body, 1)
	checkRuns(t, c, lost.Body, 1)
}

// Guards against a second run of a key whose outcome could not be recorded because the store failed during the run, and
// against a keyed quote that runs although its intent is not stored.
func TestKeysDuringStoreOutage(t *testing.T) {
	c := start(t, slowQuotes(500*time.Millisecond))
	const first, second = structs.HostID("a-entry-0"), structs.HostID("b-entry-0")
	done, running, orphan, rejected := keyed("done"), keyed("running"), keyed("orphan"), keyed("rejected")
	checkRepeats(t, c, done, answered, first)
	replies := make(chan cluster.Reply, 2)
	go func() { replies <- cluster.Send(base(c, first), running) }()
	go func() { replies <- cluster.Send(base(c, second), orphan) }()
	c.Await("both quotes run", func() bool { return runs(c, running.Body) > 0 && runs(c, orphan.Body) > 0 })
	c.Platform.Store.SetDown(true)
	for range 2 {
		if reply := <-replies; reply.Outcome != structs.Answered {
			t.Errorf("quote that runs when the outage begins: %d %s", reply.Status, reply.Body)
		}
	}
	checkRepeats(t, c, running, answered, first) // first handled the request and holds its outcome
	c.Kill(second)
	for _, host := range others(c, second) {
		for _, call := range []cluster.Call{done, orphan, rejected} {
			if reply := cluster.Send(base(c, host), call); reply.Status != http.StatusServiceUnavailable {
				t.Errorf("%s through %s during the outage: %d %s", call.Key, host, reply.Status, reply.Body)
			}
		}
	}
	checkRuns(t, c, rejected.Body, 0)
	c.Platform.Store.SetDown(false)
	rest := others(c, second)
	checkRepeats(t, c, done, answered, rest...)
	checkRepeats(t, c, running, answered, rest...)
	checkRepeats(t, c, orphan, holderLost, rest...)
	checkRepeats(t, c, rejected, answered, rest...)
	for _, call := range []cluster.Call{done, running, orphan, rejected} {
		checkRuns(t, c, call.Body, 1)
	}
}

// Guards against a second run, or different answers, when keys are repeated through random hosts while the store loses
// responses, is slow and has an outage, and entry hosts are killed and restarted.
func TestKeysRepeatedDuringFailures(t *testing.T) {
	c := start(t, cluster.Small())
	const callers = 24
	var (
		senders sync.WaitGroup
		mu      sync.Mutex
		all     []sentRequest
		stop    = make(chan struct{})
	)
	for caller := range callers {
		random := rand.New(rand.NewPCG(1, uint64(caller)))
		senders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				// Two callers share each key, and each sends it three times.
				call := keyed(fmt.Sprintf("key-%d-%d", caller/2, n))
				call.Deadline = loadDeadline
				for range 3 {
					host := c.Entries()[random.IntN(len(c.Entries()))]
					at := time.Now()
					reply := cluster.Send(base(c, host), call)
					mu.Lock()
					all = append(all, sentRequest{host, call, at, reply})
					mu.Unlock()
				}
			}
		})
	}
	answers := func() int {
		mu.Lock()
		defer mu.Unlock()
		n := 0
		for _, s := range all {
			if s.reply.Outcome == structs.Answered {
				n++
			}
		}
		return n
	}
	awaitMore := func(phase string) {
		from := answers()
		c.Await(phase+": answers", func() bool { return answers() >= from+200 })
	}
	awaitMore("no fault")
	c.Platform.Store.SetTxnFault(standin.TxnFault{Prefix: idempotencyPrefix, Count: 60})
	awaitMore("lost responses")
	c.Platform.Store.SetDelay(50 * time.Millisecond)
	awaitMore("slow store")
	c.Kill("a-entry-0")
	c.Platform.Store.SetTxnFault(standin.TxnFault{Prefix: idempotencyPrefix, Count: 20})
	awaitMore("entry host killed")
	c.Restart("a-entry-0")
	c.Platform.Store.SetDelay(0)
	c.Platform.Store.SetTxnFault(standin.TxnFault{Prefix: idempotencyPrefix, Count: 1, Down: true})
	c.Kill("b-entry-0")
	c.Await("requests are rejected during the outage", func() bool {
		reply := cluster.Send(base(c, "c-entry-0"), keyed("outage"))
		return reply.Status == http.StatusServiceUnavailable
	})
	c.Platform.Store.SetDown(false)
	c.Restart("b-entry-0")
	awaitMore("after the outage")
	close(stop)
	senders.Wait()
	checkKeys(t, c, all)
}

// checkKeys fails the test if a key ran twice, was answered without a run, or got the answer to another request.
func checkKeys(t *testing.T, c *cluster.Cluster, all []sentRequest) {
	t.Helper()
	ran := map[string]int{}
	for _, e := range c.Platform.History.OfType(standin.RequestStarted) {
		ran[e.Body]++
	}
	counts := map[string]int{}
	for _, s := range all {
		counts[outcomeOf(s.reply)]++
		if s.reply.Outcome != structs.Answered {
			continue
		}
		if string(s.reply.Body) != "quote answer to "+s.call.Body || !s.reply.Complete {
			t.Errorf("%s through %s: %q", s.call.Body, s.host, s.reply.Body)
		}
		if ran[s.call.Body] != 1 {
			t.Errorf("%s through %s was answered and ran %d times", s.call.Body, s.host, ran[s.call.Body])
		}
	}
	for body, n := range ran {
		if n > 1 && body != "probe" {
			t.Errorf("%s ran %d times", body, n)
		}
	}
	t.Log(counts)
}
