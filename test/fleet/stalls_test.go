package fleet

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
)

const (
	// stallInterval is the time between two looks at the clock.
	stallInterval = 50 * time.Millisecond
	// minStall is the delay of a look from which it is recorded as a stall. It is far below every bound of the tests.
	minStall = 300 * time.Millisecond
	// maxStallPerLease is the time within the longest task lease for which the test process may stand still without an effect on tasks:
	// workers and store are away for as long, and the hosts extend no lease until the store has answered again.
	maxStallPerLease = fleet.MaxTaskLease / 2
)

// stallRecorder records when the test process could not run. The store, the workers and the proxies are part of it, so its stalls hold
// up all hosts, and a test that has failed has to tell them from faults of the hosts.
type stallRecorder struct {
	mu     sync.Mutex // guards stalls
	stalls []stall
}

// stall is a time in which the test process could not run.
type stall struct{ from, until time.Time }

func (s stall) String() string {
	return fmt.Sprintf("%v until %s", s.until.Sub(s.from).Round(time.Millisecond), s.until.UTC().Format("15:04:05.000"))
}

// run records stalls until stop is closed.
func (r *stallRecorder) run(stop <-chan struct{}) {
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		now := time.Now()
		r.record(last, now)
		last = now
	}
}

// record records a stall if two successive looks at the clock are too far apart.
func (r *stallRecorder) record(last, now time.Time) {
	if now.Sub(last)-stallInterval < minStall {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalls = append(r.stalls, stall{last.Add(stallInterval), now})
}

// between returns how long the test process could not run between two times, in stalls that are long enough to be recorded.
func (r *stallRecorder) between(from, until time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := time.Duration(0)
	for _, s := range r.stalls {
		begin, end := s.from, s.until
		if begin.Before(from) {
			begin = from
		}
		if end.After(until) {
			end = until
		}
		total += max(end.Sub(begin), 0)
	}
	return total
}

// lastEnd returns the end of the latest stall, or the zero time.
func (r *stallRecorder) lastEnd() (end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.stalls); n > 0 {
		end = r.stalls[n-1].until
	}
	return end
}

// repeats returns the number of runs whose tasks have to start again because the test process could not run for maxStallPerLease or
// longer within the longest lease before: those that lost their lease, or whose end was lost with it, and those that were stopped
// because their start was not answered in time.
func (r *stallRecorder) repeats(runs []fleet.Run) int {
	n := 0
	for _, run := range runs {
		until := run.Ended
		switch {
		case run.Outcome == "lapsed" || run.Outcome == "stopped":
		case run.EndLost: // the lease has lapsed at an unknown time after the end
			until = until.Add(fleet.MaxTaskLease)
		default:
			continue
		}
		if r.between(run.Ended.Add(-fleet.MaxTaskLease), until) >= maxStallPerLease {
			n++
		}
	}
	return n
}

// log logs the recorded stalls.
func (r *stallRecorder) log(t testing.TB) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.Logf("the test process could not run %d times for %v or longer: %v", len(r.stalls), minStall, r.stalls)
}

// Guards against stalls that are not recorded.
func TestStallsAreRecorded(t *testing.T) {
	r := &stallRecorder{}
	started := time.Unix(100, 0)
	r.record(started, started.Add(stallInterval+minStall-1))
	r.record(started, started.Add(stallInterval+minStall))
	if len(r.stalls) != 1 || r.stalls[0].String() != "300ms until 00:01:40.350" {
		t.Errorf("stalls %v, want one of 300 ms", r.stalls)
	}
}

// Guards against counting more of a stall than has fallen into the time that a test measures.
func TestStallsCountOnlyWithinTheMeasuredTime(t *testing.T) {
	r := &stallRecorder{}
	started := time.Unix(100, 0)
	r.record(started, started.Add(stallInterval+time.Second))
	for _, c := range []struct{ from, until, want time.Duration }{
		{0, time.Minute, time.Second},
		{stallInterval, stallInterval + time.Second, time.Second},
		{stallInterval + 600*time.Millisecond, time.Minute, 400 * time.Millisecond},
		{0, stallInterval + 600*time.Millisecond, 600 * time.Millisecond},
		{2 * time.Second, time.Minute, 0},
	} {
		if got := r.between(started.Add(c.from), started.Add(c.until)); got != c.want {
			t.Errorf("%v between %v and %v, want %v", got, c.from, c.until, c.want)
		}
	}
}

// Guards against leases that lapse, or runs that are stopped, without a stall or beside a short one, and are not counted as a fault.
func TestOnlyRepeatsAfterLongStallsAreAllowed(t *testing.T) {
	started := time.Unix(100, 0)
	lapsed := []fleet.Run{{Outcome: "lapsed", Ended: started.Add(fleet.MaxTaskLease)}}
	for _, c := range []struct {
		stall time.Duration
		runs  []fleet.Run
		want  int
	}{
		{0, lapsed, 0},
		{maxStallPerLease - minStall, lapsed, 0},
		{maxStallPerLease, lapsed, 1},
		{maxStallPerLease, []fleet.Run{{Outcome: "done", EndLost: true, Ended: started.Add(fleet.MaxTaskLease)}}, 1},
		{maxStallPerLease, []fleet.Run{{Outcome: "stopped", Ended: started.Add(fleet.MaxTaskLease)}}, 1},
		{0, []fleet.Run{{Outcome: "stopped", Ended: started.Add(fleet.MaxTaskLease)}}, 0},
		{maxStallPerLease, []fleet.Run{{Outcome: "done", Ended: started.Add(fleet.MaxTaskLease)}}, 0},
		{maxStallPerLease, []fleet.Run{{Outcome: "lapsed", Ended: started.Add(3 * fleet.MaxTaskLease)}}, 0},
	} {
		r := &stallRecorder{}
		r.record(started, started.Add(stallInterval+c.stall))
		if got := r.repeats(c.runs); got != c.want {
			t.Errorf("%d repeats of %+v are allowed after a stall of %v, want %d", got, c.runs, c.stall, c.want)
		}
	}
}
