package schedule

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// runInterval is the time between two planning runs in these tests. It is below fillerRetryDelay, after which a step is searched
// for again.
const runInterval = fillerRetryDelay / 2

// runFor makes planning runs for a time and returns the number of tasks of a job that have started.
func (h *harness) runFor(d time.Duration, job workload.JobID) int {
	started := 0
	for range int(d / runInterval) {
		for _, order := range starts(h.run()) {
			if order.Task.Job == job {
				started++
			}
		}
		h.advanceClock(runInterval)
		h.reportAll()
	}
	return started
}

// addLabelledWorker adds a worker with one label.
func (h *harness) addLabelledWorker(id WorkerID, label string) {
	h.addWorker(id, func(info *WorkerInfo) { info.Labels = []string{label} })
}

// addLabelledFillers adds jobs of fillers of different sizes that need the label "rare".
func (h *harness) addLabelledFillers(jobs, tasks int) {
	for n := range jobs {
		step := fillerStep("image", tasks)
		step.Size.MilliCPU, step.Label = int64(1000+n), "rare"
		h.s.AddJob(testJob(workload.JobID(fmt.Sprint("labelled", n)), step), nil, false)
	}
}

// wantStartsBehind adds a job of fillers that come last and fails the test unless all of them start within a second.
func (h *harness) wantStartsBehind(tasks int) {
	h.t.Helper()
	h.s.AddJob(testJob("behind", lessUrgent(fillerStep("image", tasks))), nil, false)
	if started := h.runFor(time.Second, "behind"); started != tasks {
		h.t.Errorf("%d of %d fillers have started on free workers", started, tasks)
	}
}

// Scenario: many fillers wait that need a label which no worker has, and behind them fillers for which there is room. Guards
// against searches for each task of a step that fits nowhere, which use up those of a planning run, so that free workers stay
// unused for as long as such steps wait.
func TestFillersWithALabelThatNoWorkerHasDoNotStopOthers(t *testing.T) {
	const waiting, tasks = 100, 8
	h := newHarness(t, 1)
	for n := range 10 {
		h.addLabelledWorker(WorkerID(fmt.Sprint("w", n)), "common")
	}
	h.addLabelledFillers(waiting, tasks)
	h.wantStartsBehind(tasks)
}

// Scenario: the workers with a label are full, and fillers of many sizes wait for them, before others for which there is room.
// Guards against the same as the test above where the label exists.
func TestFillersWithALabelOfFullWorkersDoNotStopOthers(t *testing.T) {
	const waiting, tasks = 100, 8
	h := newHarness(t, 1)
	h.addLabelledWorker("rare", "rare")
	h.addLabelledWorker("common", "common")
	full := testStep(1)
	full.Size.MilliCPU, full.Label = h.workers["rare"].info.Capacity.MilliCPU, "rare"
	h.s.AddJob(testJob("full", full), nil, false)
	h.wantStarts(h.run(), 1)
	h.addLabelledFillers(waiting, tasks)
	h.wantStartsBehind(tasks)
}

// Scenario: fillers of so many different sizes fit nowhere that one planning run cannot search for all of them, and runs follow
// each other more quickly than a step is searched for again. Guards against runs that begin with the same steps each time, so
// that those behind them are never tried.
func TestEachWaitingFillerIsTried(t *testing.T) {
	const waiting, tasks = 6 * maxFillerSearches, 8
	h := newHarness(t, 1)
	for n := range 10 {
		h.addWorker(WorkerID(fmt.Sprint("w", n)), nil)
	}
	h.addTooLargeFillers(waiting)
	h.wantStartsBehind(tasks)
}

// Scenario: as above, and a worker joins on which the most urgent fillers fit. Guards against urgent fillers that wait until all
// others have had their turn.
func TestUrgentFillersAreTriedBesideThoseThatWaitForTheirTurn(t *testing.T) {
	const waiting, tasks = 20 * maxFillerSearches, 8
	h := newHarness(t, 1)
	h.addLabelledWorker("w0", "common")
	h.addTooLargeFillers(waiting)
	urgent := fillerStep("image", tasks)
	urgent.EstimateMs, urgent.Label = 1, "rare"
	h.s.AddJob(testJob("urgent", urgent), nil, false)
	h.runFor(5*runInterval, "urgent")
	h.addLabelledWorker("w1", "rare")
	if started := h.runFor(fillerRetryDelay+runInterval, "urgent"); started != tasks {
		t.Errorf("%d of %d fillers have started", started, tasks)
	}
}

// addTooLargeFillers adds jobs of fillers that are larger than worker w0, each smaller than those before, so that none is known
// to fit nowhere.
func (h *harness) addTooLargeFillers(jobs int) {
	for n := range jobs {
		step := fillerStep("image", 8)
		step.EstimateMs = int64(n + 1)
		step.Size.MilliCPU = 3*h.workers["w0"].info.Capacity.MilliCPU - int64(n)
		h.s.AddJob(testJob(workload.JobID(fmt.Sprint("large", n)), step), nil, false)
	}
}

// lessUrgent returns a step that comes after others of the same priority.
func lessUrgent(step workload.Step) workload.Step {
	step.EstimateMs *= 1000
	return step
}

// Scenario: a task that needs a label which no worker has comes before tasks of the same size that need another label or none.
// Guards against tasks that are not tried because one with a different label fits nowhere.
func TestTasksThatFitNowhereStopOnlyThoseThatNeedTheirLabel(t *testing.T) {
	h := newHarness(t, 1)
	h.addLabelledWorker("w", "common")
	for id, label := range map[workload.JobID]string{"a-rare": "rare", "b-common": "common", "c-any": ""} {
		step := testStep(2)
		step.Label = label
		h.s.AddJob(testJob(id, step), nil, false)
	}
	started := map[workload.JobID]int{}
	for _, order := range h.run() {
		started[order.Task.Job]++
	}
	if started["a-rare"] != 0 || started["b-common"] != 2 || started["c-any"] != 2 {
		t.Errorf("started tasks by job: %v", started)
	}
}

// Scenario: the first task of a step avoids the only worker with room, on which it has failed. Guards against its other tasks
// waiting beside that worker.
func TestATaskThatAvoidsAWorkerDoesNotStopOthersOfItsStep(t *testing.T) {
	h := newHarness(t, 1)
	h.addLabelledWorker("w", "common")
	step := testStep(2)
	step.Label = "common"
	h.s.AddJob(testJob("job", step), nil, false)
	first := h.s.jobs["job"].steps[0].tasks[0]
	first.recordFailedOn(h.now.Boot, "w")
	orders := starts(h.run())
	h.wantStarts(orders, 1)
	if got := orders[0].Task.Index; got != 1 {
		t.Errorf("task %d has started, want 1", got)
	}
}

// Scenario: two large steps of fillers fit nowhere, and each of their tasks has failed on a worker before. Guards against a search for
// each of these tasks, which use up those of every planning run, so that fillers behind them are never tried beside free workers.
func TestFillersThatHaveFailedDoNotStopOthers(t *testing.T) {
	const workers, tasks = 10, 8
	h := newHarness(t, 1)
	for n := range workers {
		h.addWorker(WorkerID(fmt.Sprint("w", n)), nil)
	}
	for _, id := range []workload.JobID{"failed1", "failed2"} {
		step := fillerStep("image", 3*maxFillerSearches)
		step.EstimateMs = 1
		step.Size.MilliCPU = 3 * h.workers["w0"].info.Capacity.MilliCPU
		h.s.AddJob(testJob(id, step), nil, false)
		for n, task := range h.s.jobs[id].steps[0].tasks {
			task.recordFailedOn(h.now.Boot, WorkerID(fmt.Sprint("w", n%workers)))
		}
	}
	h.wantStartsBehind(tasks)
}

// Scenario: all tasks of a step have failed on one worker or another, and one worker has room. Guards against tasks that are not tried
// on it because others of their step avoid it.
func TestTasksThatAvoidAWorkerDoNotStopThoseThatAvoidOthers(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w", nil)
	h.s.AddJob(testJob("job", testStep(4)), nil, false)
	for n, failedOn := range [][]WorkerID{{"w", "other"}, {"w"}, {"other"}, {"other", "third"}} {
		for _, id := range failedOn {
			h.s.jobs["job"].steps[0].tasks[n].recordFailedOn(h.now.Boot, id)
		}
	}
	orders := starts(h.run())
	h.wantStarts(orders, 2)
	for n, order := range orders {
		if order.Task.Index != n+2 {
			t.Errorf("task %d has started, want 2 and 3", order.Task.Index)
		}
	}
}
