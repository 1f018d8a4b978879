package fleet

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
)

// Scenario: the store is away for 5 s and nothing else happens. Guards against task leases that expire meanwhile, so that everything that runs
// is lost: the latest ones begin LeaseGrantWindow after the latest renewal, and the next ones need a renewal, a permission and a poll.
func TestLeasesOutlastAnOutageOfTheStore(t *testing.T) {
	const outage, moments = 5 * time.Second, 8
	for n := range 2 * moments {
		faults := fleet.StoreFaults{Unresponsive: n%2 == 0, Unavailable: n%2 == 1}
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			s := newServiceSite(t, 3)
			time.Sleep(time.Duration(n/2) * 40 * time.Millisecond)
			began := time.Now()
			s.platform.Store.SetFaults(faults)
			time.Sleep(outage)
			s.platform.Store.SetFaults(fleet.StoreFaults{})
			ended := time.Now()
			time.Sleep(2 * time.Second)
			for _, r := range s.platform.History() {
				if r.Outcome == "lapsed" {
					t.Errorf("%s lapsed %v after an outage of %v began, stalls of %v", r.Task, r.Ended.Sub(began), ended.Sub(began),
						s.stalls.between(began, r.Ended))
				}
			}
			s.checkHistory()
		})
	}
}
