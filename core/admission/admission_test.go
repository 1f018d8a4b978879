package admission

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
)

const ms = time.Millisecond

func newController(runners, slots int) *Controller {
	c := NewController()
	c.SetRunners(runnerHosts(runners, slots))
	return c
}

func item(arrived time.Time, remaining time.Duration) *Item {
	return &Item{Kind: "quote", Arrived: arrived, Deadline: arrived.Add(remaining)}
}

// mustGrant queues an item and takes its slot.
func mustGrant(t *testing.T, c *Controller, now time.Time, it *Item) Grant {
	t.Helper()
	if verdict := c.Arrive(now, it); verdict != Queued {
		t.Fatalf("verdict %s", verdict)
	}
	grant, ok := c.NextGrant(now)
	if !ok || grant.Item != it {
		t.Fatalf("no slot for the item: %+v", c.Totals())
	}
	return grant
}

// learn makes d the usual service time on every runner and returns the time after that.
func learn(t *testing.T, c *Controller, now time.Time, d time.Duration) time.Time {
	t.Helper()
	for range 40 {
		grant := mustGrant(t, c, now, item(now, time.Hour))
		now = now.Add(d)
		c.Answered(now, grant, false)
	}
	return now
}

// Guards against requests leaving the queue in order of arrival, which lets short deadlines pass.
func TestEarliestDeadlineLeavesFirst(t *testing.T) {
	c := newController(1, 1)
	running := mustGrant(t, c, start, item(start, time.Second))
	late, soon, middle := item(start, 9*time.Second), item(start, 5*time.Second), item(start, 7*time.Second)
	for _, it := range []*Item{late, soon, middle} {
		c.Arrive(start, it)
	}
	if !c.Withdraw(middle) || c.Withdraw(middle) {
		t.Fatal("an item must be withdrawn exactly once")
	}
	for _, want := range []*Item{soon, late} {
		c.Answered(start, running, false)
		grant, ok := c.NextGrant(start)
		if !ok || grant.Item != want {
			t.Fatalf("got %+v, want %+v", grant.Item, want)
		}
		running = grant
	}
}

// Guards against queueing requests that can only miss their deadlines, and against an unbounded queue.
func TestRejectionOnArrival(t *testing.T) {
	c := NewController()
	if v := c.Arrive(start, item(start, time.Second)); v != RejectedNoRunner {
		t.Fatalf("without runners: %s", v)
	}
	c = newController(1, 1)
	now := learn(t, c, start, 100*ms)
	if v := c.Arrive(now, item(now, 50*ms)); v != RejectedDeadline {
		t.Fatalf("shorter than the service time: %s", v)
	}
	mustGrant(t, c, now, item(now, time.Hour))
	if v := c.Arrive(now, item(now, 150*ms)); v != RejectedDeadline {
		t.Fatalf("service time fits, but not behind the running request: %s", v)
	}
	for range MinQueue {
		if v := c.Arrive(now, item(now, time.Hour)); v != Queued {
			t.Fatalf("within the bound: %s", v)
		}
	}
	if v := c.Arrive(now, item(now, time.Hour)); v != RejectedFull {
		t.Fatalf("beyond the bound: %s", v)
	}
}

// Guards against sending a request so late that its outcome could only be unknown.
func TestHopelessItemsAreDropped(t *testing.T) {
	c := newController(1, 1)
	now := learn(t, c, start, 100*ms)
	running := mustGrant(t, c, now, item(now, time.Hour))
	waiting := item(now, 300*ms)
	c.Arrive(now, waiting)
	if _, ok := c.NextHopeless(now.Add(150 * ms)); ok {
		t.Fatal("dropped with enough time left")
	}
	if next, ok := c.NextChange(now.Add(150 * ms)); !ok || next.After(waiting.Deadline) {
		t.Fatalf("next change at %v does not cover the deadline", next)
	}
	late := now.Add(210 * ms)
	if it, ok := c.NextHopeless(late); !ok || it != waiting {
		t.Fatal("kept an item with less than the service time left")
	}
	c.Answered(late, running, false)
	if _, ok := c.NextGrant(late); ok {
		t.Fatal("granted a dropped item")
	}
}

// Guards against rejecting for ever after a passing slowdown: without samples the service time stays too long.
func TestProbesEndARejectingState(t *testing.T) {
	c := newController(1, 8)
	now := learn(t, c, start, 400*ms)
	admitted := 0
	for range 400 { // 20 s of requests with a deadline that the old service time exceeds
		now = now.Add(50 * ms)
		it := item(now, 200*ms)
		if c.Arrive(now, it) != Queued {
			continue
		}
		if _, hopeless := c.NextHopeless(now); hopeless {
			t.Fatal("a probe was dropped")
		}
		grant, ok := c.NextGrant(now)
		if !ok {
			t.Fatal("no slot for a probe")
		}
		admitted++
		now = now.Add(10 * ms)
		c.Answered(now, grant, false)
	}
	if admitted < 200 {
		t.Fatalf("%d of 400 requests admitted after the slowdown", admitted)
	}
}

// Guards against committing a slot twice: a runner may still work on an attempt whose outcome is unknown.
func TestUncertainSlotStaysTakenUntilItsBound(t *testing.T) {
	c := newController(1, 1)
	grant := mustGrant(t, c, start, item(start, time.Second))
	until := start.Add(3 * time.Second)
	c.Uncertain(start, grant, until)
	c.Arrive(start, item(start, time.Hour))
	if _, ok := c.NextGrant(until.Add(-1)); ok {
		t.Fatal("held slot was granted")
	}
	if next, ok := c.NextChange(start); !ok || next.After(until) {
		t.Fatalf("next change %v does not cover the end of the hold", next)
	}
	if c.Sweep(until) != 1 {
		t.Fatal("hold did not end")
	}
	if _, ok := c.NextGrant(until); !ok {
		t.Fatal("slot was lost after the hold")
	}
}

// Guards against long deadlines taking the last slots while requests with short deadlines arrive, and against
// keeping slots free where there are none.
func TestReserveForShortDeadlines(t *testing.T) {
	c := newController(2, 16)
	now := learn(t, c, start, 100*ms)
	fill := func() {
		for {
			if _, ok := c.NextGrant(now); !ok {
				return
			}
		}
	}
	for range 40 {
		c.Arrive(now, item(now, time.Hour))
	}
	fill()
	if free := c.Totals().Free; free != 0 {
		t.Fatalf("%d slots kept free without short deadlines", free)
	}

	c = newController(2, 16)
	now = learn(t, c, start, 100*ms)
	mustGrant(t, c, now, item(now, 300*ms))
	for range 40 {
		c.Arrive(now, item(now, time.Hour))
	}
	now = now.Add(100 * ms) // waited for a typical service time, so adaptive limits do not matter
	fill()
	if free := c.Totals().Free; free != 2 {
		t.Fatalf("%d slots kept free with short deadlines, want 2", free)
	}
	mustGrant(t, c, now, item(now, 300*ms))
}

// Guards against a hedge or retry landing on the runner that already holds or failed the request.
func TestAvoidedRunnersComeLast(t *testing.T) {
	c := newController(2, 1)
	it := item(start, time.Second)
	it.Avoid = []structs.HostID{"r00"}
	if grant := mustGrant(t, c, start, it); grant.Slot.Runner != "r01" {
		t.Fatalf("got avoided runner %s", grant.Slot.Runner)
	}
	again := item(start, time.Second)
	again.Avoid = []structs.HostID{"r00"}
	if grant := mustGrant(t, c, start, again); grant.Slot.Runner != "r00" {
		t.Fatal("an avoided runner is better than none")
	}
}

// Guards against choosing a runner in back-off or beyond its adaptive limit while another one has room, and against
// such a runner never being used when a request has waited.
func TestLimitAndBackOffArePreferences(t *testing.T) {
	c := newController(2, 8)
	now := learn(t, c, start, 100*ms)
	first := mustGrant(t, c, now, item(now, time.Hour))
	full, other := c.ledger.byID[first.Slot.Runner], structs.HostID("r00")
	if full.id == other {
		other = "r01"
	}
	full.limit.value = 1
	c.Refused(now, mustGrant(t, c, now, item(now, time.Hour)))
	waiting := item(now, time.Hour)
	if c.Arrive(now, waiting); c.ledger.byID[other].health.Avoided(now) != true {
		t.Fatal("the busy runner is not in back-off")
	}
	if _, ok := c.NextGrant(now); ok {
		t.Fatal("neither runner is to be used yet")
	}
	now = now.Add(BusyBackOff)
	if grant, ok := c.NextGrant(now); !ok || grant.Slot.Runner != other {
		t.Fatal("the back-off did not end")
	}
	c.ledger.byID[other].draining = true
	c.Arrive(now, item(now, time.Hour))
	if grant, ok := c.NextGrant(now.Add(110 * ms)); !ok || grant.Slot.Runner != full.id {
		t.Fatal("a request that has waited for a service time does not get a slot beyond the limit")
	}
}

// behaviour returns the service time of one request on runner i and whether it fails.
type behaviour func(runner structs.HostID, rnd *rand.Rand) (time.Duration, bool)

// simulate offers requests at a fixed rate and returns how many each runner got. It checks the slot accounts.
func simulate(t *testing.T, c *Controller, every time.Duration, n int, serve behaviour) map[structs.HostID]int {
	t.Helper()
	type end struct {
		at     time.Time
		grant  Grant
		failed bool
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	var ends []end
	got := map[structs.HostID]int{}
	now := start
	for range n {
		now = now.Add(every)
		sort.Slice(ends, func(i, j int) bool { return ends[i].at.Before(ends[j].at) })
		for len(ends) > 0 && !ends[0].at.After(now) {
			c.Answered(ends[0].at, ends[0].grant, ends[0].failed)
			ends = ends[1:]
		}
		c.Arrive(now, item(now, time.Minute))
		for grant, ok := c.NextGrant(now); ok; grant, ok = c.NextGrant(now) {
			d, failed := serve(grant.Slot.Runner, rnd)
			got[grant.Slot.Runner]++
			ends = append(ends, end{now.Add(d), grant, failed})
		}
		if taken := c.Totals().Taken; taken != len(ends) {
			t.Fatalf("%d slots taken with %d requests running", taken, len(ends))
		}
	}
	return got
}

func usual(rnd *rand.Rand) time.Duration { return time.Duration(40+20*rnd.ExpFloat64()) * ms }

// Guards against sending the usual share to a runner that is slow or fails at once; the latter looks fast.
func TestSlowAndFailingRunnersGetLess(t *testing.T) {
	cases := map[string]behaviour{
		"slow": func(id structs.HostID, rnd *rand.Rand) (time.Duration, bool) {
			if id == "r00" {
				return 4 * usual(rnd), false
			}
			return usual(rnd), false
		},
		"fails at once": func(id structs.HostID, rnd *rand.Rand) (time.Duration, bool) {
			if id == "r00" {
				return ms, true
			}
			return usual(rnd), false
		},
	}
	for name, serve := range cases {
		t.Run(name, func(t *testing.T) {
			const requests, runners = 4000, 8
			got := simulate(t, newController(runners, 8), 3*ms, requests, serve)
			if share := requests / runners; got["r00"] > share/4 {
				t.Fatalf("runner got %d requests, a quarter of the usual share is %d", got["r00"], share/4)
			}
			if got["r00"] == 0 {
				t.Fatal("a runner that is never tried cannot recover")
			}
		})
	}
}

// Guards against an adaptive limit that costs capacity: at a load that needs nearly all slots, with service times
// that rise on all runners at once, requests must still be served.
func TestLimitDoesNotCostCapacity(t *testing.T) {
	c := newController(4, 8)
	served := 0
	for _, n := range simulate(t, c, 6*ms, 4000, func(_ structs.HostID, rnd *rand.Rand) (time.Duration, bool) {
		served++
		if served > 2000 {
			return 3 * usual(rnd), false
		}
		return usual(rnd), false
	}) {
		if n < 800 {
			t.Fatalf("a runner got %d of 4000 requests", n)
		}
	}
	if waiting := c.Queued(); waiting > 32 {
		t.Fatalf("%d requests wait at a load below the slots", waiting)
	}
}

// Guards against the limit leaving its bounds or failing to follow the slowdown.
func TestLimitFollowsSlowdown(t *testing.T) {
	var l Limit
	for range 100 {
		l.Update(6, 8, 8)
	}
	if low := l.Value(8); low != MinLimit {
		t.Fatalf("limit %d under a steady slowdown, want %d", low, MinLimit)
	}
	for range 100 {
		l.Update(1, l.Value(8), 8)
	}
	if l.Value(8) != 8 {
		t.Fatalf("limit %d after the recovery", l.Value(8))
	}
	if l.Value(3) != 3 {
		t.Fatal("limit above the slots")
	}
}
