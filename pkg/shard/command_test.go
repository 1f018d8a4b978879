package shard

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
	"fulmarcourse.example/fulmarcourse/pkg/worker"
)

// unansweredStart runs a loop until it has sent one start command for a task of kind. The response to it is lost.
func unansweredStart(t *testing.T, kind structs.KindName) (*fakes, *Loop) {
	t.Helper()
	f := newFakes()
	f.workers = f.workers[:1]
	f.records = []jobs.Stored{storedJob("j", kind, pendingTask())}
	f.startErr = errors.WithType(errors.New("lost"), worker.ErrUncertain)
	l := newTestLoop(t, f)
	for len(f.starts) == 0 {
		step(t, l, f, time.Second)
	}
	return f, l
}

// Guards against a second attempt after a start whose response was lost: a repeated command that does not reach the
// worker, or that the worker refuses, does not prove that the first one was not executed.
func TestRefusedRepeatLeavesStartUncertain(t *testing.T) {
	f, l := unansweredStart(t, "template")
	f.mu.Lock()
	f.startErr = errors.WithType(errors.New("unreachable"), worker.ErrRefused)
	f.unresponsive["w1"] = true
	f.workers = testWorkers
	f.mu.Unlock()
	for range 3 {
		step(t, l, f, commandRepeatInterval+time.Second)
	}
	for _, cmd := range f.starts {
		if cmd.Attempt != 1 {
			t.Fatalf("another attempt was started: %+v", cmd)
		}
	}
}

// Guards against new work on a leaving worker when an unanswered start is repeated, and against a task that never
// continues because an attempt that did not start cannot take a checkpoint.
func TestUnansweredStartIsNotRepeatedOnLeavingWorker(t *testing.T) {
	f, l := unansweredStart(t, "trace")
	sent := len(f.starts)
	leaving := testWorker("w1")
	leaving.State = structs.HostLeaving
	f.mu.Lock()
	f.startErr = nil
	f.checkpointErr = errors.WithType(errors.New("not running"), worker.ErrRefused)
	f.workers = []structs.Host{leaving, testWorker("w2")}
	f.mu.Unlock()
	for range 5 {
		step(t, l, f, commandRepeatInterval+time.Second)
	}
	if len(f.starts) != sent+1 {
		t.Fatalf("starts %+v, want one more on the other worker", f.starts)
	}
	_, rec := l.table.task(f.starts[sent].Task)
	if rec.Worker != "w2" || rec.State != structs.TaskRunning {
		t.Fatalf("task %+v", rec)
	}
}

// Guards against a task that starts after its job was cancelled: a start that waits until its intent is stored, and the
// repetition of one whose response was lost.
func TestNoStartIsSentForACancelledJob(t *testing.T) {
	task := structs.TaskID{Job: "j"}
	t.Run("unanswered", func(t *testing.T) {
		f, l := unansweredStart(t, "template")
		sent := len(f.starts)
		l.onCancel("j")
		// Steps shorter than commandRepeatInterval leave time for an inventory between two repetitions of the stop.
		for range 12 {
			step(t, l, f, commandRepeatInterval/2)
		}
		_, rec := l.table.task(task)
		if len(f.starts) != sent || rec.State != structs.TaskCancelled {
			t.Errorf("%d starts after the cancellation, task %+v", len(f.starts)-sent, rec)
		}
	})
	t.Run("not sent", func(t *testing.T) {
		f := newFakes()
		f.records = []jobs.Stored{storedJob("j", "template", pendingTask())}
		l := newTestLoop(t, f)
		f.permit = errors.New("nothing starts before the cancellation")
		for range 3 {
			step(t, l, f, time.Second)
		}
		f.permit = nil
		starts := l.planStarts()
		if len(starts) != 1 {
			t.Fatalf("%d starts planned", len(starts))
		}
		l.onCancel("j")
		l.sendStart(t.Context(), starts[0].worker, task, starts[0].commitment)
		step(t, l, f, time.Second)
		_, rec := l.table.task(task)
		if len(f.starts) != 0 || rec.State != structs.TaskCancelled {
			t.Errorf("starts %+v, task %+v, want none", f.starts, rec)
		}
	})
}
