package fleet

import (
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// Scenario: workers grant leases that outlast the time for which a service may be away. One of them starts again under its ID, runs a service
// again, and is lost for good some time later; a call to its former process reaches it before. Guards against a service that waits for leases
// which such calls could have extended, and against one that runs twice because one has.
func TestServicesOfAWorkerLostAfterItsReturnRunAgainInTime(t *testing.T) {
	for name, c := range map[string]struct {
		after       time.Duration // from the return until the loss
		lateCall    bool
		ownerKilled bool
	}{
		"at once":                    {},
		"after 1 s":                  {after: time.Second},
		"after 3 s, and a late call": {after: 3 * time.Second, lateCall: true},
		"after 3 s, with the owner":  {after: 3 * time.Second, ownerKilled: true},
		"at once, with the owner":    {ownerKilled: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, w := newReturnedWorkerSite(t, 58, 3)
			if _, err := s.platform.AddWorker(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(c.after)
			if c.lateCall {
				w.CarryOutFormerPoll()
			}
			mustReturn(w, fleet.Return{After: gone})
			lost := time.Now()
			if c.ownerKilled {
				s.kill(s.owner())
			}
			poll.Until(t, "all services run again", func() bool { return s.runningNow() == 2 })
			s.checkOutage(lost)
			s.checkHistory()
		})
	}
}
