package shard

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/core/drain"
	"fulmarcourse.example/core/placement"
	"fulmarcourse.example/core/quarantine"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
)

// quarantineWorker makes the tracker of a loop attribute the failures of several jobs to a worker.
func quarantineWorker(t *testing.T, l *Loop, host structs.HostID, now time.Time) {
	t.Helper()
	for n := 0; !l.tracker.Quarantined(host); n++ {
		if n == 100 {
			t.Fatalf("%s is not quarantined", host)
		}
		task := structs.TaskID{Job: structs.JobID(fmt.Sprintf("failed-%s-%d", host, n))}
		l.tracker.Record(quarantine.Result{Worker: host, Task: task, At: now})
		for other := range 20 { // successes elsewhere, so that the failures have no common cause
			good := structs.HostID(fmt.Sprint("good-", other))
			l.tracker.Record(quarantine.Result{Worker: good, Task: structs.TaskID{Job: "good", Index: n}, OK: true, At: now})
		}
	}
}

// Guards against quarantined workers that are never probed because another one has no candidate: the only pending task
// has failed on the worker that is due first.
func TestEachQuarantinedWorkerIsProbed(t *testing.T) {
	f := newFakes()
	l := newTestLoop(t, f)
	l.tracker = quarantine.NewTracker(40)
	now := f.clock()
	task := structs.TaskID{Job: "job"}
	l.tracker.Restore(task, []structs.HostID{"w1"}, now)
	l.tracker.Record(quarantine.Result{Worker: "w1", Task: structs.TaskID{Job: "good"}, OK: true, At: now})
	quarantineWorker(t, l, "w1", now.Add(time.Second)) // the failure of the task is older and excludes w1
	quarantineWorker(t, l, "w2", now.Add(2*time.Second))
	pending := []placement.Pending{{Task: task, Kind: "trace"}}
	l.assignProbes(pending, now.Add(time.Hour))
	if pending[0].Probe != "w2" {
		t.Errorf("the task probes %q, want w2", pending[0].Probe)
	}
}

// Guards against a start beyond the capacity of its worker, which also would use up a start of the ramp that follows the
// return of a data centre.
func TestPlacementBeyondCapacityMayNotBegin(t *testing.T) {
	f := newFakes()
	f.records = []jobs.Stored{storedJob("j", "trace", pendingTask())}
	l := newTestLoop(t, f)
	step(t, l, f, 0)
	full := placement.Placement{Task: structs.TaskID{Job: "j"}, Host: "w1", Reserved: structs.Resources{MilliCPU: 1 << 40}}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mayBegin(full) {
		t.Error("a placement beyond the capacity of its worker may begin")
	}
}

// Guards against a stop that is delayed by a whole repeat interval because no call could be made when it was due.
func TestStopWithoutFreeCallStaysDue(t *testing.T) {
	f := newFakes()
	f.records = []jobs.Stored{storedJob("j", "trace", pendingTask())}
	l := newTestLoop(t, f)
	for range 3 {
		step(t, l, f, time.Second)
	}
	for range maxConcurrentCalls {
		l.callTokens <- struct{}{}
	}
	now := f.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.table.workers {
		for id, c := range w.commitments {
			c.stopAt = now
			l.repeatCommand(t.Context(), w, id, c, now)
			if !c.stopAt.Equal(now) {
				t.Errorf("the stop is due %v later", c.stopAt.Sub(now))
			}
			for range maxConcurrentCalls {
				<-l.callTokens
			}
			return
		}
	}
	t.Error("no task was started")
}

// Guards against memory that grows with every worker that ever refused a start or was drained: names of workers are new each
// day.
func TestStateOfFormerWorkersIsDropped(t *testing.T) {
	f := newFakes()
	l := newTestLoop(t, f)
	now := f.clock()
	for n := range 100 {
		id := structs.HostID(fmt.Sprint("former-", n))
		now = now.Add(refusalBackOff)
		l.planner.recordRefusal(id, now)
		l.workerDrainers[id] = drain.NewDrainer(drain.DefaultLimits(), now)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainLeavingWorkers(now)
	if len(l.planner.refusedAt) > 1 || len(l.workerDrainers) > 0 {
		t.Errorf("%d refusals and %d drainers of former workers", len(l.planner.refusedAt), len(l.workerDrainers))
	}
}
