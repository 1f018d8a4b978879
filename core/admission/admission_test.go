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
	want(t, c.Arrive(now, it), Queued, "verdict")
	grant, _ := c.NextGrant(now)
	want(t, grant.Item, it, "item that got a slot")
	return grant
}

// want ends the test unless got is what is expected.
func want[T comparable](t testing.TB, got, expected T, what string) {
	t.Helper()
	if got != expected {
		t.Fatalf("%s: got %v, want %v", what, got, expected)
	}
}

// found returns the second result of a call.
func found[T any](_ T, ok bool) bool { return ok }

// mustGrantNext takes the slot of the next item and returns its runner.
func mustGrantNext(t *testing.T, c *Controller, now time.Time) structs.HostID {
	t.Helper()
	grant, ok := c.NextGrant(now)
	want(t, ok, true, "slot granted")
	return grant.Slot.Runner
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
	want(t, c.Withdraw(middle) && !c.Withdraw(middle), true, "an item must be withdrawn exactly once")
	for _, next := range []*Item{soon, late} {
		c.Answered(start, running, false)
		grant, ok := c.NextGrant(start)
		want(t, ok && grant.Item == next, true, "next deadline leaves")
		running = grant
	}
}

// Guards against queueing requests that can only miss their deadlines, and against an unbounded queue.
func TestRejectionOnArrival(t *testing.T) {
	c := NewController()
	want(t, c.Arrive(start, item(start, time.Second)), RejectedNoRunner, "without runners")
	c = newController(1, 1)
	now := learn(t, c, start, 100*ms)
	want(t, c.Arrive(now, item(now, 50*ms)), RejectedDeadline, "shorter than the service time")
	mustGrant(t, c, now, item(now, time.Hour))
	want(t, c.Arrive(now, item(now, 150*ms)), RejectedDeadline, "service time fits, but not behind the running request")
	for range MinQueue {
		want(t, c.Arrive(now, item(now, time.Hour)), Queued, "within the bound")
	}
	want(t, c.Arrive(now, item(now, time.Hour)), RejectedFull, "beyond the bound")
}

// Guards against sending a request so late that its outcome could only be unknown.
func TestHopelessItemsAreDropped(t *testing.T) {
	c := newController(1, 1)
	now := learn(t, c, start, 100*ms)
	running := mustGrant(t, c, now, item(now, time.Hour))
	waiting := item(now, 300*ms)
	c.Arrive(now, waiting)
	want(t, found(c.NextInfeasible(now.Add(150*ms))), false, "item with enough time left dropped")
	next, ok := c.NextWakeup(now.Add(150 * ms))
	want(t, ok && !next.After(waiting.Deadline), true, "next change covers the deadline")
	late := now.Add(210 * ms)
	hopeless, _ := c.NextInfeasible(late)
	want(t, hopeless, waiting, "item with less than the service time left")
	c.Answered(late, running, false)
	want(t, found(c.NextGrant(late)), false, "dropped item granted")
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
		want(t, found(c.NextInfeasible(now)), false, "probe dropped")
		grant, ok := c.NextGrant(now)
		want(t, ok, true, "probe got a slot")
		admitted++
		now = now.Add(10 * ms)
		c.Answered(now, grant, false)
	}
	want(t, admitted >= 200, true, "at least half of the requests admitted after the slowdown")
}

// Guards against committing a slot twice: a runner may still work on an attempt whose outcome is unknown.
func TestUncertainSlotStaysTakenUntilItsBound(t *testing.T) {
	c := newController(1, 1)
	grant := mustGrant(t, c, start, item(start, time.Second))
	until := start.Add(3 * time.Second)
	c.Uncertain(start, grant, until)
	c.Arrive(start, item(start, time.Hour))
	want(t, found(c.NextGrant(until.Add(-1))), false, "held slot granted")
	next, ok := c.NextWakeup(start)
	want(t, ok && !next.After(until), true, "next change covers the end of the hold")
	want(t, c.Sweep(until), 1, "ended holds")
	want(t, found(c.NextGrant(until)), true, "slot granted after the hold")
}

// Guards against long deadlines taking the last slots while requests with short deadlines arrive, and against
// keeping slots free where there are none.
func TestReserveForShortDeadlines(t *testing.T) {
	for first, kept := range map[time.Duration]int{time.Hour: 0, 300 * ms: 2} {
		c := newController(2, 16)
		now := learn(t, c, start, 100*ms)
		mustGrant(t, c, now, item(now, first))
		for range 40 {
			c.Arrive(now, item(now, time.Hour))
		}
		now = now.Add(110 * ms) // waited for a typical service time, so adaptive limits do not matter
		for found(c.NextGrant(now)) {
		}
		want(t, c.Totals().Free, kept, "slots kept free for short deadlines")
		if kept > 0 {
			mustGrant(t, c, now, item(now, 300*ms))
		}
	}
}

// Guards against a hedge or retry landing on the runner that already holds or failed the request.
func TestAvoidedRunnersComeLast(t *testing.T) {
	c := newController(2, 1)
	for _, runner := range []structs.HostID{"r01", "r00"} { // the avoided one when there is no other
		it := item(start, time.Second)
		it.Avoid = []structs.HostID{"r00"}
		want(t, mustGrant(t, c, start, it).Slot.Runner, runner, "runner")
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
	c.Arrive(now, waiting)
	want(t, c.ledger.byID[other].health.InBackOff(now), true, "busy runner in back-off")
	want(t, found(c.NextGrant(now)), false, "runner used in back-off or beyond its limit")
	now = now.Add(BusyBackOff)
	want(t, mustGrantNext(t, c, now), other, "runner after its back-off")
	c.ledger.byID[other].draining = true
	c.Arrive(now, item(now, time.Hour))
	want(t, mustGrantNext(t, c, now.Add(110*ms)), full.id, "runner beyond its limit, after waiting")
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
		want(t, c.Totals().Taken, len(ends), "slots taken for the running requests")
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
			want(t, got["r00"] <= requests/runners/4, true, "at most a quarter of the usual share")
			want(t, got["r00"] != 0, true, "runner is still tried, so that it can recover")
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
		want(t, n >= 800, true, "each runner serves requests")
	}
	want(t, c.Queued() <= 32, true, "short queue at a load below the slots")
}

// Guards against the limit leaving its bounds or failing to follow the slowdown.
func TestLimitFollowsSlowdown(t *testing.T) {
	var l Limit
	for range 100 {
		l.Update(6, 8, 8)
	}
	want(t, l.Value(8), MinLimit, "limit under a steady slowdown")
	for range 100 {
		l.Update(1, l.Value(8), 8)
	}
	want(t, l.Value(8), 8, "limit after the recovery")
	want(t, l.Value(3), 3, "limit above the slots")
}
