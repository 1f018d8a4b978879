package shard

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
	"fulmarcourse.example/fulmarcourse/pkg/worker"
)

// uncertainStart runs a loop until one start command of a kind was sent and its answer was lost.
func uncertainStart(t *testing.T, kind structs.KindName) (*world, *Loop) {
	t.Helper()
	w := newWorld()
	w.workers = w.workers[:1]
	w.records = []jobs.Stored{storedJob("j", kind, pendingTask())}
	w.startErr = errors.WithType(errors.New("lost"), worker.ErrUncertain)
	l := newTestLoop(t, w)
	for len(w.starts) == 0 {
		step(t, l, w, time.Second)
	}
	return w, l
}

// Guards against a second attempt after a start whose answer was lost: a repetition that did not reach the worker, or
// that the worker refused, says nothing about the first sending.
func TestRefusedRepetitionProvesNothing(t *testing.T) {
	w, l := uncertainStart(t, "template")
	w.mu.Lock()
	w.startErr = errors.WithType(errors.New("unreachable"), worker.ErrRefused)
	w.silent["w1"] = true
	w.workers = testWorkers
	w.mu.Unlock()
	for range 3 {
		step(t, l, w, commandRepeat+time.Second)
	}
	for _, cmd := range w.starts {
		if cmd.Attempt != 1 {
			t.Fatalf("another attempt was started: %+v", cmd)
		}
	}
}

// Guards against new work on a leaving worker by the repetition of an unanswered start, and against a task that is
// stuck because the attempt that never started takes no checkpoint.
func TestUnansweredStartIsNotRepeatedOnLeavingWorker(t *testing.T) {
	w, l := uncertainStart(t, "trace")
	sent := len(w.starts)
	leaving := testWorker("w1")
	leaving.State = structs.HostLeaving
	w.mu.Lock()
	w.startErr = nil
	w.checkpointErr = errors.WithType(errors.New("not running"), worker.ErrRefused)
	w.workers = []structs.Host{leaving, testWorker("w2")}
	w.mu.Unlock()
	for range 5 {
		step(t, l, w, commandRepeat+time.Second)
	}
	if len(w.starts) != sent+1 {
		t.Fatalf("starts %+v, want one more on the other worker", w.starts)
	}
	_, rec := l.table.task(w.starts[sent].Task)
	if rec.Worker != "w2" || rec.State != structs.TaskRunning {
		t.Fatalf("task %+v", rec)
	}
}
