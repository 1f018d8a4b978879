package fleet

import (
	"strings"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// Scenario: owners follow each other for twice the longest task lease, each for as long as a short job takes, because another writer
// overwrites the term. Guards against services whose task leases run out although each owner has adopted them: an owner that lasts for
// less than a poll of their worker extends none.
func TestServicesOutlastASeriesOfOwners(t *testing.T) {
	const length = 12 * time.Second // twice the longest task lease
	s := newSite(t, fleet.Config{Seed: 19, Datacentres: []string{"dc1"}, Workers: 3, RunTime: shortTasks}, 3)
	s.submit(0, longRunningID, longRunningJob)
	poll.Until(t, "all services run", func() bool { return s.runningNow() == 3 })
	n := 0
	for started := time.Now(); time.Since(started) < length; n++ {
		s.platform.Store.PutRaw(termKey, []byte("{}"))
		s.submit(n%3, jobID(n), twoStepJob)
		s.awaitState(n%3, jobID(n), "completed")
	}
	for _, r := range s.platform.History() {
		if strings.HasPrefix(r.Task, longRunningID) && !r.Ended.IsZero() {
			t.Errorf("%s on %s has ended %q after %v, beside %d owners", r.Task, r.Worker, r.Outcome, r.Ended.Sub(r.Started), n)
		}
	}
	s.checkHistory()
}
