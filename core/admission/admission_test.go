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

// mustGrant queues an item and takes a slot for it.
func mustGrant(t *testing.T, c *Controller, now time.Time, it *Item) Grant {
	t.Helper()
	want(t, c.Arrive(now, it), Queued, "verdict")
	grant, _ := c.NextGrant(now)
	want(t, grant.Item, it, "item that got a slot")
	return grant
}

// want ends the test unless got equals expected.
func want[T comparable](t testing.TB, got, expected T, subject string) {
	t.Helper()
	if got != expected {
		t.Fatalf("%s: got %v, want %v", subject, got, expected)
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

// recordServiceTimes makes d the typical service time on every runner and returns the time of the last answer.
func recordServiceTimes(t *testing.T, c *Controller, now time.Time, d time.Duration) time.Time {
	t.Helper()
	for range 40 {
		grant := mustGrant(t, c, now, item(now, time.Hour))
		now = now.Add(d)
		c.Answered(now, grant, false)
	}
	return now
}

// Guards against granting slots in order of arrival, which lets short deadlines pass.
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

// Guards against queueing requests that cannot meet their deadlines, and against an unbounded queue.
func TestRejectionOnArrival(t *testing.T) {
	c := NewController()
	want(t, c.Arrive(start, item(start, time.Second)), RejectedNoRunner, "without runners")
	c = newController(1, 1)
	now := recordServiceTimes(t, c, start, 100*ms)
	want(t, c.Arrive(now, item(now, 50*ms)), RejectedDeadline, "remaining time shorter than the service time")
	mustGrant(t, c, now, item(now, time.Hour))
	want(t, c.Arrive(now, item(now, 150*ms)), RejectedDeadline, "service time fits, but not behind the running request")
	for range MinQueue {
		want(t, c.Arrive(now, item(now, time.Hour)), Queued, "within the bound")
	}
	want(t, c.Arrive(now, item(now, time.Hour)), RejectedFull, "beyond the bound")
}

// Guards against sending a request so late that its outcome can only be unknown.
func TestInfeasibleItemsAreDropped(t *testing.T) {
	c := newController(1, 1)
	now := recordServiceTimes(t, c, start, 100*ms)
	running := mustGrant(t, c, now, item(now, time.Hour))
	waiting := item(now, 300*ms)
	c.Arrive(now, waiting)
	want(t, found(c.NextInfeasible(now.Add(150*ms))), false, "item with enough time left dropped")
	next, ok := c.NextWakeup(now.Add(150 * ms))
	want(t, ok && !next.After(waiting.Deadline), true, "next wake-up covers the deadline")
	late := now.Add(210 * ms)
	infeasible, _ := c.NextInfeasible(late)
	want(t, infeasible, waiting, "item with less than the service time left")
	c.Answered(late, running, false)
	want(t, found(c.NextGrant(late)), false, "dropped item granted")
}

// Guards against rejecting requests indefinitely after a temporary slowdown: without new samples the estimated service
// time stays too long.
func TestProbesEndRejectionAfterSlowdown(t *testing.T) {
	c := newController(1, 8)
	now := recordServiceTimes(t, c, start, 400*ms)
	admitted := 0
	for range 400 { // 20 s of requests whose deadline is shorter than the old service time
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

// Guards against assigning a slot twice: a runner may still be processing an attempt whose outcome is unknown.
func TestUncertainSlotStaysTakenUntilEndOfHold(t *testing.T) {
	c := newController(1, 1)
	grant := mustGrant(t, c, start, item(start, time.Second))
	until := start.Add(3 * time.Second)
	c.Uncertain(start, grant, until)
	c.Arrive(start, item(start, time.Hour))
	want(t, found(c.NextGrant(until.Add(-1))), false, "held slot granted")
	next, ok := c.NextWakeup(start)
	want(t, ok && !next.After(until), true, "next wake-up covers the end of the hold")
	want(t, c.Sweep(until), 1, "ended holds")
	want(t, found(c.NextGrant(until)), true, "slot granted after the hold")
}

// Guards against requests with long deadlines that take the last slots while requests with short deadlines arrive, and
// against reserving slots when there are no such requests.
func TestReserveForShortDeadlines(t *testing.T) {
	for first, kept := range map[time.Duration]int{time.Hour: 0, 300 * ms: 2} {
		c := newController(2, 16)
		now := recordServiceTimes(t, c, start, 100*ms)
		mustGrant(t, c, now, item(now, first))
		for range 40 {
			c.Arrive(now, item(now, time.Hour))
		}
		now = now.Add(110 * ms) // after a typical service time the adaptive limits no longer apply
		for found(c.NextGrant(now)) {
		}
		want(t, c.Totals().Free, kept, "slots kept free for short deadlines")
		if kept > 0 {
			mustGrant(t, c, now, item(now, 300*ms))
		}
	}
}

// Guards against sending a hedge or retry to the runner that holds or failed the first attempt.
func TestAvoidedRunnersComeLast(t *testing.T) {
	c := newController(2, 1)
	for _, runner := range []structs.HostID{"r01", "r00"} { // r00 is used only when r01 is taken
		it := item(start, time.Second)
		it.Avoid = []structs.HostID{"r00"}
		want(t, mustGrant(t, c, start, it).Slot.Runner, runner, "runner")
	}
}

// Guards against choosing a runner in back-off or beyond its adaptive limit while another one has free slots, and
// against never using such a runner for a request that has waited.
func TestLimitAndBackOffArePreferences(t *testing.T) {
	c := newController(2, 8)
	now := recordServiceTimes(t, c, start, 100*ms)
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
	c.ledger.byID[other].leaving = true
	c.Arrive(now, item(now, time.Hour))
	want(t, mustGrantNext(t, c, now.Add(110*ms)), full.id, "runner beyond its limit, after waiting")
}

// behaviour returns the service time of one request on a runner and whether the request fails.
type behaviour func(runner structs.HostID, rnd *rand.Rand) (time.Duration, bool)

// simulate generates requests at a fixed rate and returns the number that each runner got. It checks the slot counts.
func simulate(t *testing.T, c *Controller, interval time.Duration, n int, serve behaviour) map[structs.HostID]int {
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
		now = now.Add(interval)
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

func drawTime(rnd *rand.Rand) time.Duration { return time.Duration(40+20*rnd.ExpFloat64()) * ms }

// Guards against sending a full share to a runner that is slow or that fails at once; the latter has short service
// times.
func TestSlowAndFailingRunnersGetFewerRequests(t *testing.T) {
	cases := map[string]behaviour{
		"slow": func(id structs.HostID, rnd *rand.Rand) (time.Duration, bool) {
			if id == "r00" {
				return 4 * drawTime(rnd), false
			}
			return drawTime(rnd), false
		},
		"fails at once": func(id structs.HostID, rnd *rand.Rand) (time.Duration, bool) {
			if id == "r00" {
				return ms, true
			}
			return drawTime(rnd), false
		},
	}
	for name, serve := range cases {
		t.Run(name, func(t *testing.T) {
			const requests, runners = 4000, 8
			got := simulate(t, newController(runners, 8), 3*ms, requests, serve)
			want(t, got["r00"] <= requests/runners/4, true, "at most a quarter of an equal share")
			want(t, got["r00"] != 0, true, "runner still gets requests, so that its recovery is detected")
		})
	}
}

// Guards against an adaptive limit that reduces capacity: when service times rise on all runners at once, at a load
// that needs nearly all slots, requests must still be served.
func TestLimitDoesNotReduceCapacity(t *testing.T) {
	c := newController(4, 8)
	served := 0
	for _, n := range simulate(t, c, 6*ms, 4000, func(_ structs.HostID, rnd *rand.Rand) (time.Duration, bool) {
		served++
		if served > 2000 {
			return 3 * drawTime(rnd), false
		}
		return drawTime(rnd), false
	}) {
		want(t, n >= 800, true, "each runner serves requests")
	}
	want(t, c.Queued() <= 32, true, "short queue at a load below capacity")
}

// Guards against a limit that leaves its bounds or does not follow the slowdown.
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
