package fleet

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

const (
	// stallInterval is the time between two looks at the clock.
	stallInterval = 50 * time.Millisecond
	// minStall is the delay of a look from which it is recorded as a stall. It is far below every bound of the tests.
	minStall = 300 * time.Millisecond
)

// stallRecorder records when the test process could not run. The store, the workers and the proxies are part of it, so its stalls hold
// up all hosts, and a test that has failed has to tell them from faults of the hosts.
type stallRecorder struct {
	mu     sync.Mutex // guards stalls
	stalls []string
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
	stall := now.Sub(last) - stallInterval
	if stall < minStall {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalls = append(r.stalls, fmt.Sprintf("%v until %s", stall.Round(time.Millisecond), now.UTC().Format("15:04:05.000")))
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
	if len(r.stalls) != 1 || r.stalls[0] != "300ms until 00:01:40.350" {
		t.Errorf("stalls %q, want one of 300 ms", r.stalls)
	}
}
