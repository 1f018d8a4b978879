package dispatch

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// waiting returns a step of a job that waits for a reason.
func waiting(job string, reason schedule.WaitReason, waited time.Duration) schedule.Waiting {
	return schedule.Waiting{Task: workload.TaskID{Job: workload.JobID(job)}, Reason: reason, Waited: waited}
}

// names returns the jobs of waiting steps.
func names(steps []schedule.Waiting) string {
	var jobs []string
	for _, w := range steps {
		jobs = append(jobs, string(w.Task.Job))
	}
	return strings.Join(jobs, " ")
}

// Guards against a log that many steps with one reason fill, so that a rare reason is not in it, and against more lines than
// the bound.
func TestWaitLinesAreBoundedAndNameEachReason(t *testing.T) {
	var steps []schedule.Waiting
	for n := range 20 {
		steps = append(steps, waiting(fmt.Sprint("full", n), schedule.WaitCapacity, time.Minute))
	}
	steps = append(steps, waiting("takeover", schedule.WaitTakeover, 5*time.Second), waiting("slow", schedule.WaitSlow, 3*time.Second))
	var l waitLog
	if got, want := names(l.choose(time.Hour, steps)), "full0 takeover slow full1 full2 full3 full4 full5"; got != want {
		t.Errorf("logged %s, want %s", got, want)
	}
	if got, want := names(l.choose(time.Hour+statusInterval, steps)), "full6 full7 full8 full9 full10 full11 full12 full13"; got != want {
		t.Errorf("then logged %s, want %s", got, want)
	}
}

// Guards against a line for the same step with each status, and against a change of its reason that is not logged.
func TestWaitLineIsRepeatedRarely(t *testing.T) {
	var l waitLog
	start := time.Hour
	log := func(after time.Duration, reason schedule.WaitReason, want int) {
		t.Helper()
		if got := len(l.choose(start+after, []schedule.Waiting{waiting("job", reason, time.Minute)})); got != want {
			t.Errorf("%d lines after %v, want %d", got, after, want)
		}
	}
	log(0, schedule.WaitCapacity, 1)
	log(2*time.Second, schedule.WaitCapacity, 0)
	log(4*time.Second, schedule.WaitTurn, 1)
	log(6*time.Second, schedule.WaitCapacity, 1)
	log(8*time.Second, schedule.WaitCapacity, 0)
	log(15*time.Second, schedule.WaitCapacity, 0)
	log(16*time.Second, schedule.WaitCapacity, 1)
	for n := range 1000 { // steps that have started are forgotten
		l.choose(start+time.Minute+time.Duration(n)*statusInterval, []schedule.Waiting{waiting(fmt.Sprint(n), schedule.WaitTurn, time.Minute)})
	}
	if len(l.logged) > int(waitLogInterval/statusInterval) {
		t.Errorf("%d steps are remembered", len(l.logged))
	}
}

// Guards against lines about a waiting task from which its needs, the reason or the worker cannot be told.
func TestWaitLineTellsTheReason(t *testing.T) {
	o, _, text := measuredOwner(t)
	w := waiting("job", schedule.WaitCapacity, 12*time.Second)
	w.Tasks, w.Worker, w.Label, w.Service = 3, "w1", "ssd", true
	w.Size = structs.Resources{MilliCPU: 3000, MemoryBytes: 1 << 30}
	w.Workers[schedule.WaitCapacity], w.Workers[schedule.WaitLabel] = 5, 7
	w.BesideServices = 4
	w.ExpiresIn = 2500 * time.Millisecond
	logWaiting(o.cfg.Log, 2, &w)
	o.logEvent(schedule.Event{Kind: schedule.EventTaskStarted, Task: w.Task, Attempt: 1, Waited: 12 * time.Second,
		WaitReason: schedule.WaitCapacity})
	var line, start map[string]any
	decoder := json.NewDecoder(text)
	if err := decoder.Decode(&line); err != nil {
		t.Fatal(err)
	}
	if err := decoder.Decode(&start); err != nil {
		t.Fatal(err)
	}
	for field, want := range map[string]string{
		"event": fmt.Sprint(eventlog.TaskWaits), "job": "job", "reason": "no_capacity", "waited": "12000", "tasks": "3",
		"worker": "w1", "label": "ssd", "kind": "service", "cpu": "3000", "memory_mib": "1024", "workers": "no_capacity=5 no_label=7", "term": "2",
		"beside_services": "4", "expires_in": "2500",
	} {
		if got := fmt.Sprint(line[field]); got != want {
			t.Errorf("%s is %s, want %s", field, got, want)
		}
	}
	if start["reason"] != "no_capacity" || fmt.Sprint(start["waited"]) != "12000" {
		t.Errorf("the start has waited %v for %v", start["waited"], start["reason"])
	}
}

// Guards against a status that counts waiting tasks without their reasons, and against gauges that keep the last value.
func TestStatusCountsWaitingTasksByReason(t *testing.T) {
	o, _, text := measuredOwner(t)
	o.Announce(workload.Job{ID: "job", Steps: []workload.Step{{Tasks: 3}}, Queue: workload.Queue{CapacityGuarded: true}})
	s := o.takeStatus()
	s.log(o.cfg.Log, 1)
	if !strings.Contains(text.String(), `"waiting_for":"unreachable=3"`) || !strings.Contains(text.String(), `"unstored_workers":1`) {
		t.Errorf("status without the reason: %s", text)
	}
	scope := tally.NewTestScope("", nil)
	m := newStatusMetrics(scope)
	m.publish(&s)
	if got := gauge(scope, "tasks_waiting+reason=unreachable"); got != 3 {
		t.Errorf("the gauge is %v", got)
	}
	m.publish(&status{})
	if got := gauge(scope, "tasks_waiting+reason=unreachable"); got != 0 {
		t.Errorf("the gauge of an owner that has ended is %v", got)
	}
}

// gauge returns the value of a gauge; -1 if there is none.
func gauge(scope tally.TestScope, name string) float64 {
	snapshot, known := scope.Snapshot().Gauges()[name]
	if !known {
		return -1
	}
	return snapshot.Value()
}
