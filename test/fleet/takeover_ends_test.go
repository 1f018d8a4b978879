package fleet

import (
	"syscall"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

const (
	manyEndsJobs = 40
	// manyEndsJob has 40 tasks, so that the tasks of all jobs together need three responses of two workers.
	manyEndsJob   = `{"spec":"text","steps":[{"count":40,"cpu":20,"memMb":80,"estimateMs":3000}]}`
	manyEndsTasks = 40 * manyEndsJobs
	ownerPause    = 4 * time.Second
)

// Scenario: the owner is paused just before the tasks on two workers are done, so that each worker has more ends than it lists at a time when
// the next owner polls it. Guards against tasks that are started again because the first response leaves out their ends.
func TestTasksWithMoreEndsThanAResponseListsRunOnce(t *testing.T) {
	runTime := func(string) time.Duration { return 3 * time.Second }
	s := newSite(t, fleet.Config{Seed: 58, Datacentres: []string{"dc1"}, Workers: 2, RunTime: runTime}, 3)
	for n := range manyEndsJobs {
		s.submit(n%3, jobID(n), manyEndsJob)
	}
	poll.Until(t, "all tasks have started", func() bool { return len(s.platform.History()) == manyEndsTasks })
	owner := s.owner()
	poll.Until(t, "a task has ended", func() bool { return s.runningNow() < manyEndsTasks })
	s.signal(owner, syscall.SIGSTOP)
	resume := time.AfterFunc(ownerPause, func() { s.signal(owner, syscall.SIGCONT) })
	defer resume.Stop()
	for n := range manyEndsJobs {
		s.awaitState((owner+1)%3, jobID(n), "completed")
	}
	s.checkHistory()
	if got := len(s.platform.History()); got != manyEndsTasks {
		t.Errorf("%d attempts for %d tasks, want one each", got, manyEndsTasks)
	}
}
