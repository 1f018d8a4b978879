package schedule

import (
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

const (
	// serviceJob is the job of the fault simulation whose tasks are services, if the simulation has one. Each of their runs
	// fails at some time.
	serviceJob   = workload.JobID("service")
	simServices  = 8
	simFaultsEbb = 20 * time.Second // delayed orders and leases from before the last fault have ended by then
	// simServiceDown is how long a service task may be down while there is room: the platform demands that it runs again
	// within 3 s from 6 s after its last run.
	simServiceDown = 9 * time.Second
)

// addServices adds serviceJob.
func (f *faultSim) addServices() {
	f.jobs = append(f.jobs, testJob(serviceJob, testService(simServices)))
	f.s.AddJob(f.jobs[len(f.jobs)-1], nil, false)
}

// servicesAtWork returns which service tasks run on a worker.
func (f *faultSim) servicesAtWork() (atWork [simServices]bool) {
	for _, worker := range f.workers {
		for key := range worker.running {
			if key.task.Job == serviceJob {
				atWork[key.task.Index] = true
			}
		}
	}
	return atWork
}

// Guards against a service task that runs in two places under the faults of TestNoTaskRunsTwiceUnderFaults, and against one
// that stays down after them although there is room. Random crashes soon after starts may look as if the service caused
// them; a service that is given up for that does not run again, and such seeds check only that nothing runs twice.
func TestServiceTasksRunAgainAfterFaults(t *testing.T) {
	playServices(t, newFaultSim)
}

// Guards against the same after the owner has applied reports late and the store was slow, was down or has lost responses: each
// start of a service waits for the store.
func TestServiceTasksRunAgainAfterLateReports(t *testing.T) {
	playServices(t, func(t *testing.T, seed uint64) *faultSim { return newLateFaultSim(newFaultSim(t, seed)) })
}

// Guards against the same while workers drain and come back, and while known workers are stored late or cannot be read.
func TestServiceTasksRunAgainWhileKnownWorkersChange(t *testing.T) {
	playServices(t, func(t *testing.T, seed uint64) *faultSim { return newKnownFaultSim(newFaultSim(t, seed)) })
}

// playServices plays simulations with services and fails the test if a task of theirs stays down after the faults.
func playServices(t *testing.T, newSim func(*testing.T, uint64) *faultSim) {
	t.Helper()
	checked := 0
	for seed := range uint64(100) {
		f := newSim(t, seed)
		f.addServices()
		var seenAt [simServices]time.Duration
		for f.now < time.Hour+simEnd {
			f.step()
			if f.now < time.Hour+simFaultsEnd+simFaultsEbb || f.s.jobs[serviceJob].state.Final() {
				seenAt = [simServices]time.Duration{}
				continue
			}
			for index, atWork := range f.servicesAtWork() {
				if atWork || seenAt[index] == 0 {
					seenAt[index] = f.now
				}
				if f.now-seenAt[index] > simServiceDown {
					f.fatalf("service task %d has been down for %v", index, f.now-seenAt[index])
				}
			}
		}
		if !f.s.jobs[serviceJob].state.Final() {
			checked++
		}
		f.checkWorkSpreads()
	}
	if checked == 0 {
		t.Error("the service was given up with every seed")
	}
	t.Logf("the service was not given up with %d seeds", checked)
}
