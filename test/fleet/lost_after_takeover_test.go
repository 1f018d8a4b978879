package fleet

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/test/poll"
)

// Scenario: the owner's process is killed, and a worker that runs services is lost for good soon after the next owner has begun: for some of
// the delays after its first answer to that owner, and before the relay has granted a lease. Guards against a failed poll that counts from
// now, as the longest lease that workers grant, because no relay of this owner has granted one yet: the services wait, beside free workers,
// for longer than the platform allows.
func TestServicesOfAWorkerLostAfterItsFirstAnswerRunAgainInTime(t *testing.T) {
	for _, delay := range []time.Duration{40, 120, 200} {
		delay *= time.Millisecond
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			t.Parallel()
			s := newServiceSite(t, 3)
			former := s.owner()
			s.kill(former)
			poll.Until(t, "a next owner", func() bool { next := s.owner(); return next >= 0 && next != former })
			time.Sleep(delay)
			s.loseWorkerWithServices(false)
			lost := time.Now()
			poll.Until(t, "all services run again", func() bool { return s.runningNow() == 3 })
			s.checkOutage(lost)
			s.checkHistory()
		})
	}
}
