// Package fleet runs entry hosts as separate processes on the stand-in of the firms' platform.
package fleet

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
	"fulmarcourse.example/fulmarcourse/test/cluster"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

func TestMain(m *testing.M) { cluster.Main(m) }

// shortTasks gives every task the same short time, but for jobs whose id starts with f, which last.
func shortTasks(task string) time.Duration {
	if task[0] == 'f' {
		return 0
	}
	return 300 * time.Millisecond
}

// lastingID is the id of a job whose tasks last.
const lastingID = "f000000000000001"

// jobID returns the id of the n-th job of a test.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

const twoSteps = `{"spec":"text","steps":[{"count":3,"cpu":1000,"memMb":100,"estimateMs":300},` +
	`{"count":2,"cpu":1000,"memMb":100,"estimateMs":300,"after":[0]}]}`

// twoStepsTasks is the number of tasks of twoSteps.
const twoStepsTasks = 5

const lasting = `{"spec":"text","steps":[{"count":3,"cpu":1000,"memMb":100,"longRunning":true,"mayMiss":1}]}`

// Guards against a path from a caller to the workers and back that does not work with separate processes: every host
// accepts jobs and tells their states, whichever of them owns the partition.
func TestJobsRunThroughSeparateProcesses(t *testing.T) {
	s := newSite(t, fleet.Config{Seed: 1, Datacentres: []string{"dc1", "dc2"}, Workers: 4, RunTime: shortTasks}, 3)
	for n := range 9 {
		s.submit(n%3, jobID(n), twoSteps)
	}
	for n := range 9 {
		s.awaitState((n+1)%3, jobID(n), "completed")
	}
	s.checkHistory()
	if got := len(s.platform.History()); got != 9*5 {
		t.Fatalf("%d attempts for 45 tasks", got)
	}
}

// Guards against jobs that are lost, run twice or stay unfinished when the owner is killed while their tasks run.
func TestOwnerIsKilled(t *testing.T) {
	s := newSite(t, fleet.Config{Seed: 2, Datacentres: []string{"dc1"}, Workers: 3, RunTime: shortTasks}, 3)
	s.submit(0, lastingID, lasting)
	for n := range 6 {
		s.submit(n%3, jobID(n), twoSteps)
	}
	owner := s.owner()
	s.kill(owner)
	other := (owner + 1) % 3
	for n := range 6 {
		s.awaitState(other, jobID(n), "completed")
	}
	s.checkHistory()
}

// Guards against a cancelled job whose tasks run on, and against a state that the next host tells differently.
func TestCancelReachesTheOwner(t *testing.T) {
	s := newSite(t, fleet.Config{Seed: 3, Datacentres: []string{"dc1"}, Workers: 2, RunTime: shortTasks}, 2)
	s.submit(0, lastingID, lasting)
	poll.Until(t, "all tasks run", func() bool { return s.runningNow() == 3 })
	s.cancel(1, lastingID)
	s.awaitState(0, lastingID, "cancelled")
	poll.Until(t, "no task runs", func() bool { return s.runningNow() == 0 })
	s.checkHistory()
}

// Guards against a refusal that is not given at once, or not true, while the store is down, and against tasks that end
// with the outage.
func TestStoreOutage(t *testing.T) {
	s := newSite(t, fleet.Config{Seed: 4, Datacentres: []string{"dc1"}, Workers: 2, RunTime: shortTasks}, 2)
	s.submit(0, lastingID, lasting)
	poll.Until(t, "all tasks run", func() bool { return s.runningNow() == 3 })
	s.platform.Store.SetFaults(fleet.StoreFaults{Unresponsive: true})
	poll.Until(t, "a job is refused", func() bool { return s.post(0, jobID(2), twoSteps) == 503 })
	s.platform.Store.SetFaults(fleet.StoreFaults{})
	poll.Until(t, "a job is accepted again", func() bool { return s.post(1, jobID(3), twoSteps) == 200 })
	s.awaitState(0, jobID(3), "completed")
	if got := s.runningNow(); got != 3 {
		t.Fatalf("%d tasks of the lasting job run, want 3", got)
	}
	s.checkHistory()
}

// Guards against entries of other writers, unreadable bytes and dropped history that stop a process or hide a worker.
func TestBrokenEntriesAreLeftOut(t *testing.T) {
	s := newSite(t, fleet.Config{Seed: 5, Datacentres: []string{"dc1"}, Workers: 2, RunTime: shortTasks}, 2)
	for key, value := range map[string]string{
		"servers/x1": "\xff\xfe", "servers/x2": `{"service":7}`, "servers/x3": `{"state":"gone","service":"pool"}`,
		"op/evacuate/dc9": "[", "op/unknown": "\x00",
	} {
		s.platform.Store.PutRaw(key, []byte(value))
	}
	s.platform.Store.Compact()
	s.submit(0, jobID(1), twoSteps)
	s.awaitState(1, jobID(1), "completed")
	s.checkHistory()
}

// Guards against an acknowledged job that is lost, a refused job that runs, a task that runs twice, a final state that
// changes and a job that never ends, under random faults of the store, the workers, the hosts and the connections. A
// seed that has ever failed stays in the list, with its cause.
func TestShortSoak(t *testing.T) {
	seeds := []uint64{
		1, 2,
		301,        // the owner was paused for longer than its relay waits; its workers stayed without looks for good
		1003, 1023, // a host that stopped without a lease had the store end lease 0, and with it all keys without one
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, 12*time.Second)
		})
	}
}

var (
	soakCount  = flag.Int("soak.count", 0, "number of seeds that TestLongSoak plays")
	soakFirst  = flag.Uint64("soak.first", 1, "first seed of TestLongSoak")
	soakLength = flag.Duration("soak.length", 20*time.Second, "time with faults for each seed of TestLongSoak")
)

// Guards against the same faults as TestShortSoak, with as many seeds as the command line names.
func TestLongSoak(t *testing.T) {
	if *soakCount == 0 {
		t.Skip("-soak.count names no seeds")
	}
	for n := range *soakCount {
		seed := *soakFirst + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, *soakLength)
		})
	}
}
