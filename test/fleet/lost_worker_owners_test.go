package fleet

import (
	"strings"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/test/poll"
)

// maxCalmOutage is how long the platform lets a service be away after the last disturbance, if that is later than maxServiceOutage allows.
const maxCalmOutage = 7 * time.Second

// Scenario: a worker that runs services is lost for good, and some time later the process of the owner is killed, or those of two owners one
// after another. Guards against a next owner that waits as long as if the worker was lost with the former one.
func TestServicesOfAWorkerLostBeforeTheOwnersRunAgainInTime(t *testing.T) {
	for name, c := range map[string]struct {
		silent bool
		kills  []time.Duration // after the loss
	}{
		"2 s before the owner":                  {kills: []time.Duration{2 * time.Second}},
		"3 s before the owner, no response":     {silent: true, kills: []time.Duration{3 * time.Second}},
		"1 s and 2.5 s before two owners":       {kills: []time.Duration{time.Second, 2500 * time.Millisecond}},
		"3 s and 4.5 s before two, no response": {silent: true, kills: []time.Duration{3 * time.Second, 4500 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newServiceSite(t, 4)
			s.loseWorkerWithServices(c.silent)
			lost := time.Now()
			due := lost.Add(maxServiceOutage)
			for _, at := range c.kills {
				time.Sleep(time.Until(lost.Add(at)))
				s.kill(s.owner())
				if calm := time.Now().Add(maxCalmOutage); calm.After(due) {
					due = calm
				}
			}
			poll.Until(t, "all services run again", func() bool { return s.runningNow() == 3 })
			s.checkRestartedBy(lost, due)
			s.checkHistory()
		})
	}
}

// checkRestartedBy fails the test if a service that ended at the loss of its worker started again after a time, beside the time for which the
// test process stood still.
func (s *site) checkRestartedBy(lost, due time.Time) {
	s.t.Helper()
	again := 0
	for _, r := range s.platform.History() {
		if !strings.HasPrefix(r.Task, longRunningID) || r.Started.Before(lost) {
			continue
		}
		again++
		s.t.Logf("%s runs again after %v, want %v", r.Task, r.Started.Sub(lost).Round(time.Millisecond), due.Sub(lost).Round(time.Millisecond))
		if r.Started.Add(-s.stalls.between(lost, r.Started)).After(due) {
			s.t.Errorf("%s runs again too late", r.Task)
		}
	}
	if again == 0 {
		s.t.Error("no service has started again")
	}
}
