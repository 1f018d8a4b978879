package schedule

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
)

// Workers of the tests of network partitions: each data centre has partitionWorkers, each of which reports once in
// partitionPoll.
const (
	partitionWorkers = 20
	partitionPoll    = 400 * time.Millisecond
	partitionStep    = partitionPoll / partitionWorkers
)

// partitionHarness returns a harness with two data centres whose workers have reported for some time.
func partitionHarness(t *testing.T) *harness {
	h := newHarness(t, 1)
	for n := range 2 * partitionWorkers {
		h.addWorker(partitionWorker(n), func(info *WorkerInfo) {
			info.Datacentre = structs.DatacentreID(fmt.Sprint("dc", n%2))
		})
	}
	h.reportInTurn(2*gapWindow, "dc0", "dc1")
	return h
}

func partitionWorker(n int) WorkerID { return WorkerID(fmt.Sprintf("w%02d", n)) }

// reportInTurn makes the workers of data centres report one after the other.
func (h *harness) reportInTurn(length time.Duration, dcs ...structs.DatacentreID) {
	for k := range int(length / partitionStep) {
		h.advanceClock(partitionStep)
		for n := 2 * (k % partitionWorkers); n < 2*(k%partitionWorkers)+2; n++ {
			for _, dc := range dcs {
				if id := partitionWorker(n); h.workers[id].info.Datacentre == dc {
					h.report(id)
				}
			}
		}
	}
}

// startsIn plans a job of several tasks and counts its starts by data centre.
func (h *harness) startsIn(tasks int) map[structs.DatacentreID]int {
	step := testStep(tasks)
	step.Size.MilliCPU = 9000
	h.s.AddJob(testJob("job", step), nil, false)
	started := map[structs.DatacentreID]int{}
	for _, o := range starts(h.plan()) {
		started[h.workers[o.Worker].info.Datacentre]++
	}
	return started
}

// Scenario: a data centre is cut off without a reset of its connections, and short tasks arrive. Guards against starts on
// its workers until each of them is unreachable by itself: every task that starts there waits for the end of its lease,
// which is longer than its job has value.
func TestNoStartsInADatacentreThatIsCutOff(t *testing.T) {
	h := partitionHarness(t)
	h.reportInTurn(minSilence+scanInterval, "dc0")
	if started := h.startsIn(partitionWorkers / 2); started["dc1"] > 0 || started["dc0"] != partitionWorkers/2 {
		t.Fatalf("starts by data centre: %v", started)
	}
}

// Guards against a data centre that stays unused after a network partition.
func TestStartsInADatacentreThatReportsAgain(t *testing.T) {
	h := partitionHarness(t)
	h.reportInTurn(2*minSilence, "dc0")
	h.reportInTurn(2*partitionPoll, "dc0", "dc1")
	if started := h.startsIn(2 * partitionWorkers); started["dc1"] != partitionWorkers {
		t.Fatalf("starts by data centre: %v", started)
	}
}

// Guards against taking a pause of this host, in which it receives no reports at all, for a network partition.
func TestPauseOfTheOwnerIsNoPartition(t *testing.T) {
	h := partitionHarness(t)
	h.advanceClock(2 * time.Second)
	if started := h.startsIn(2 * partitionWorkers); started["dc0"] != partitionWorkers || started["dc1"] != partitionWorkers {
		t.Fatalf("starts by data centre: %v", started)
	}
}

// Guards against taking a data centre for cut off whose workers are idle and all report at the same moment.
func TestDatacentreThatReportsInBurstsIsNotCutOff(t *testing.T) {
	h := partitionHarness(t)
	for range 8 {
		h.reportInTurn(time.Second, "dc0")
		for n := range partitionWorkers {
			h.report(partitionWorker(2*n + 1))
		}
	}
	h.reportInTurn(900*time.Millisecond, "dc0")
	if started := h.startsIn(2 * partitionWorkers); started["dc1"] != partitionWorkers {
		t.Fatalf("starts by data centre: %v", started)
	}
}
