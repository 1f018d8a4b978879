package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
)

// slowQuotes returns cluster.Small with the given mean service time of quotes, half of which is constant.
func slowQuotes(quote time.Duration) cluster.Config {
	cfg := cluster.Small()
	cfg.Runner.ServiceTime = map[structs.KindName]time.Duration{"quote": quote, "preview": 20 * time.Millisecond}
	return cfg
}

// sendAll sends n quotes through each of the hosts at once and returns a function that waits for the replies.
func sendAll(c *cluster.Cluster, name string, n int, deadline time.Duration, hosts ...structs.HostID) func() []sentRequest {
	var (
		callers sync.WaitGroup
		mu      sync.Mutex
		all     []sentRequest
	)
	for _, host := range hosts {
		for i := range n {
			call := cluster.Call{Service: service, Kind: "quote", Deadline: deadline, Body: fmt.Sprintf("%s-%s-%d", name, host, i)}
			callers.Go(func() {
				at := time.Now()
				reply := cluster.Send(base(c, host), call)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, sentRequest{host, call, at, reply})
			})
		}
	}
	return func() []sentRequest {
		callers.Wait()
		return all
	}
}

// checkExit fails the test if the process of a host did not end by itself with code 0.
func checkExit(t *testing.T, c *cluster.Cluster, host structs.HostID) {
	t.Helper()
	select {
	case <-c.Entry(host).Exited():
	case <-time.After(time.Minute):
		t.Fatalf("%s has not exited", host)
	}
	if code := c.Entry(host).ExitCode(); code != 0 {
		t.Errorf("%s exited with code %d", host, code)
	}
}

// checkAnswered fails the test if a request was not answered.
func checkAnswered(t *testing.T, all []sentRequest) {
	t.Helper()
	for _, s := range all {
		if s.reply.Outcome != structs.Answered {
			t.Errorf("%s through %s: status %d, outcome %q, %s", s.call.Body, s.host, s.reply.Status, s.reply.Outcome, s.reply.Body)
		}
	}
}

// Guards against a shutdown that interrupts requests in progress: those that the stopping host received, and those that
// other hosts received and that run, or wait for a slot, in the shards that the stopping host owns.
func TestShutdownFinishesSlowRequests(t *testing.T) {
	const perHost, slots = 10, 6 * 8
	const deadline = 25 * time.Second
	c := start(t, slowQuotes(1500*time.Millisecond))
	before := count(c, standin.RequestStarted)
	replies := sendAll(c, "slow", perHost, deadline, c.Entries()...)
	c.Await("every slot is busy", func() bool { return count(c, standin.RequestStarted)-before >= slots })
	shard := structs.ShardID{Datacentre: "a", Index: 0}
	owner := c.Owner(shard)
	c.Stop(owner)
	checkExit(t, c, owner)
	all := replies()
	checkAnswered(t, all)
	checkRequests(t, c, all)
	awaitTakeover(c, shard, owner)
}

// Guards against interrupted or lost requests while all entry hosts are restarted one after another.
func TestRollingRestartUnderLoad(t *testing.T) {
	c := start(t, cluster.Small())
	l := startLoad(t, c, true)
	for _, host := range c.Entries() {
		since := time.Now()
		c.Stop(host)
		checkExit(t, c, host)
		l.awaitAnswers(string(host)+" stopped", since, others(c, host)...)
		c.Restart(host)
		c.AwaitReady(host)
		l.awaitAnswers(string(host)+" restarted", time.Now(), c.Entries()...)
	}
	for _, s := range l.finish() {
		if s.reply.Outcome != structs.Answered && s.reply.Outcome != structs.NotRun {
			t.Errorf("%s through %s: status %d, outcome %q, %s", s.call.Body, s.host, s.reply.Status, s.reply.Outcome, s.reply.Body)
		}
	}
}

// Guards against a shutdown that exceeds the shutdown timeout because a runner is still working (for a minute at least)
// or the store is down.
func TestShutdownIsBounded(t *testing.T) {
	const perHost = 4
	cfg := slowQuotes(2 * time.Minute)
	cfg.ShutdownTimeout = 2 * time.Second
	c := start(t, cfg)
	sendAll(c, "long", perHost, 4*time.Minute, c.Entries()...) // the replies arrive after the end of the test
	quotes := func(event standin.EventType) int { return len(ofKind(c.Platform.History.OfType(event), "quote")) }
	c.Await("requests run", func() bool { return quotes(standin.RequestStarted) == perHost*len(c.Entries()) })
	inA, inB := c.Owner(structs.ShardID{Datacentre: "a"}), c.Owner(structs.ShardID{Datacentre: "b"})
	for _, owner := range []structs.HostID{inA, inB} {
		c.Stop(owner)
		checkExit(t, c, owner)
		if quotes(standin.RequestAnswered) > 0 {
			t.Fatalf("%s waited for its requests", owner)
		}
		c.Platform.Store.SetDown(true) // for the second owner
	}
}
