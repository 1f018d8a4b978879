package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

const (
	returningWorkers = 8 // of a site
	jobsForReturned  = 8
	// leasesLapse is the time from a crash until the worker is back, its entry is written, and all leases that its former process
	// had granted have expired by any clock: 1 s, 1 s and 6 s, on a clock that is 2 % slow.
	leasesLapse = 8200 * time.Millisecond
	// maxReturned bounds the time from a submission of jobsForReturned jobs of two steps until all are completed, if each listed
	// worker is used: in each step a task of 0.3 s, a poll of at most 1 s, and one poll that is lost, which is repeated 0.25 s
	// after its time-out of 1.8 s. One worker has room for all tasks of a step.
	maxReturned = 2 * (300 + 1000 + 1800 + 250) * time.Millisecond
)

// returnedLabel is a label of the workers that have returned, and of no other.
const returnedLabel = "b"

const returnedLabelJob = `{"spec":"text","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":300,"requires":"` + returnedLabel + `"}]}`

// returnCase is a way in which workers of a site return.
type returnCase struct {
	returned   int // number of workers that crash and return
	newID      bool
	newAddress bool
	labelled   bool // the returned workers have a new label, which all jobs need
}

func (c returnCase) String() string {
	id, address, label := "same id", "same address", ""
	if c.newID {
		id = "new id"
	}
	if c.newAddress {
		address = "other address"
	}
	if c.labelled {
		label = ", jobs need their label"
	}
	return fmt.Sprintf("%d of %d, %s, %s%s", c.returned, returningWorkers, id, address, label)
}

func returnCases() (cases []returnCase) {
	for _, newID := range []bool{false, true} {
		for _, newAddress := range []bool{false, true} {
			for _, returned := range []int{1, returningWorkers / 2, returningWorkers} {
				cases = append(cases, returnCase{returned: returned, newID: newID, newAddress: newAddress})
			}
			cases = append(cases, returnCase{returned: 1, newID: newID, newAddress: newAddress, labelled: true})
		}
	}
	return cases
}

// Scenario: workers crash and return at another address, or under another id, while their owner lives on. Guards against workers
// that are listed, idle and never used again: with all of them, or with all that have a label, accepted jobs wait for ever.
func TestWorkersThatReturnAtAnotherAddressAreUsed(t *testing.T) {
	for _, c := range returnCases() {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			testReturn(t, c)
		})
	}
}

func testReturn(t *testing.T, c returnCase) {
	job, needs := twoStepJob, fleet.Requirements{Resources: fleet.Resources{CPU: 1000, MemMB: 100}}
	r := fleet.Return{NewID: c.newID, NewAddress: c.newAddress}
	if c.labelled {
		job, needs.Label = returnedLabelJob, returnedLabel
		r.As = func(k *fleet.Kind) { k.Labels = []string{returnedLabel} }
	}
	s := newSite(t, fleet.Config{
		Seed: 36, Datacentres: []string{"dc1"}, Workers: returningWorkers, RunTime: shortTasks, ClockDrift: fleet.MaxClockDrift,
		Requires: func(string) fleet.Requirements { return needs },
	}, 1)
	s.awaitPolls()
	for _, w := range s.platform.Workers()[:c.returned] {
		if err := w.CrashAndReturn(r); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(leasesLapse)
	for n := range jobsForReturned {
		s.submit(0, jobID(n), job)
	}
	s.awaitCompleted(jobsForReturned, maxReturned)
	s.checkHistory()
}

// awaitPolls waits until the owner has polled each worker.
func (s *site) awaitPolls() {
	s.t.Helper()
	poll.Until(s.t, "each worker is polled", func() bool {
		for _, w := range s.platform.Workers() {
			if w.Calls() == 0 {
				return false
			}
		}
		return true
	})
}

// awaitCompleted waits until the first jobs of a test are completed, and fails the test if that takes longer than a bound.
func (s *site) awaitCompleted(jobs int, bound time.Duration) {
	s.t.Helper()
	started := time.Now()
	waiting := 0
	poll.Until(s.t, "jobs are completed or have taken too long", func() bool {
		waiting = 0
		for n := range jobs {
			if s.state(0, jobID(n)) != "completed" {
				waiting++
			}
		}
		return waiting == 0 || time.Since(started) > bound
	})
	if waiting > 0 {
		s.t.Errorf("%d of %d jobs are not completed after %v; %d tasks run", waiting, jobs, bound, s.runningNow())
	} else {
		s.t.Logf("completed after %v", time.Since(started).Round(time.Millisecond))
	}
}

// returnFaults are the faults of workers that return, from which a returning soak run selects as well.
var returnFaults = []fault{
	{"worker returns at another address", returnFault(fleet.Return{NewAddress: true})},
	{"worker returns at another address, silent at the former one", returnFault(fleet.Return{NewAddress: true, OldSilent: true})},
	{"worker returns at another address, listed at the former one", returnFault(fleet.Return{NewAddress: true, StaleEntry: staleEntry})},
	{"worker returns at a former address of any", (*soakRun).reuseAddress},
	{"worker returns with its clock set back", returnFault(fleet.Return{Born: func(former int64) int64 { return former - 1 }})},
	{"worker returns as another kind", returnFault(fleet.Return{As: func(k *fleet.Kind) { k.Labels, k.Rack = []string{"b"}, "r-9" }})},
	{"worker returns with less capacity", returnFault(fleet.Return{As: func(k *fleet.Kind) { k.Capacity.CPU = lessCPU }})},
}

const (
	staleEntry = 2 * time.Second // until the entry of a worker that has returned names its new address
	lessCPU    = 2000            // capacity of a worker that has returned with less, for two tasks of twoStepJob
)

// returnFault is a fault in which a random worker crashes and returns as ret states, at times under a new id.
func returnFault(ret fleet.Return) func(*soakRun) func() {
	return func(r *soakRun) func() {
		r.crashAndReturn(ret)
		return noHeal
	}
}

// crashAndReturn crashes a random worker, unless it is down, and records the address that it leaves.
func (r *soakRun) crashAndReturn(ret fleet.Return) {
	worker := r.randomWorker()
	ret.NewID = r.rnd.IntN(3) == 0
	former := worker.Endpoint()
	if former == nil {
		return
	}
	if ret.NewAddress || ret.At != nil {
		r.left = append(r.left, former)
	}
	r.log(worker.ID + " crashes")
	if err := worker.CrashAndReturn(ret); err != nil {
		r.s.t.Error(err)
	}
}

// reuseAddress crashes a random worker, which returns at an address that another one, or it itself, has left before.
func (r *soakRun) reuseAddress() (heal func()) {
	ret := fleet.Return{NewAddress: true}
	if n := len(r.left); n > 0 {
		ret.At, r.left = r.left[n-1], r.left[:n-1]
	}
	r.crashAndReturn(ret)
	return noHeal
}

// requirements returns what a task of a soak run needs: those of the job of checkWorkersAreUsed need less.
func requirements(task string) fleet.Requirements {
	if strings.HasPrefix(task, usedJobID) {
		return fleet.Requirements{Resources: fleet.Resources{CPU: 100, MemMB: 10}}
	}
	return fleet.Requirements{Resources: fleet.Resources{CPU: 1000, MemMB: 100}}
}

// usedJobID is the id of a job that needs each worker of a site.
const usedJobID = "f000000000000002"

// maxUnused bounds the time from when each worker is listed until each runs a task, if there is one for each: the leases that
// former processes had granted, and what maxReturned allows for a step.
const maxUnused = leasesLapse + maxReturned/2

// checkWorkersAreUsed submits a job with one task for each worker, and fails the test if a worker that is up and listed does not
// get its task.
func (s *site) checkWorkersAreUsed() {
	s.t.Helper()
	workers := s.platform.Workers()
	poll.Until(s.t, "each worker is listed", func() bool {
		return !slices.ContainsFunc(workers, func(w *fleet.Worker) bool { _, listed := w.Listed(); return !listed })
	})
	s.submit(0, usedJobID, fmt.Sprintf(
		`{"spec":"text","steps":[{"count":%d,"cpu":100,"memMb":10,"longRunning":true,"antiAffinity":1}]}`, len(workers)))
	started := time.Now()
	var unused []string
	poll.Until(s.t, "each worker is used or has taken too long", func() bool {
		unused = s.unusedWorkers()
		return len(unused) == 0 || time.Since(started) > maxUnused
	})
	if len(unused) > 0 {
		s.t.Errorf("%v are listed and not used after %v", unused, maxUnused)
	}
	s.cancel(0, usedJobID)
}

// unusedWorkers returns the ids of the workers that run no task of checkWorkersAreUsed.
func (s *site) unusedWorkers() (unused []string) {
	used := map[string]bool{}
	for _, r := range s.platform.History() {
		if r.Ended.IsZero() && strings.HasPrefix(r.Task, usedJobID) {
			used[r.Worker] = true
		}
	}
	for _, w := range s.platform.Workers() {
		if id, _ := w.Listed(); !used[id] {
			unused = append(unused, id)
		}
	}
	return unused
}
