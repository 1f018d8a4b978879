package fleet

import (
	"slices"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
	"fulmarcourse.example/fulmarcourse/test/faultproxy"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

const (
	crashesBehindCuts = 4
	// confirmTime is the time from the start of a task until its worker is cut off. The owner has the answer by then.
	confirmTime = 100 * time.Millisecond
	// cutBeforeCrash is the time from a cut until the worker crashes behind it. The tasks of a batch job are done by then.
	cutBeforeCrash = 700 * time.Millisecond
)

const oneTaskJob = `{"spec":"text","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":300}]}`

// Scenario: the worker of a task is cut off right after the task has started, crashes behind the cut for a reason of its own, and returns;
// the same happens to the next workers of the task. Then all workers answer and most of the pool is free. Guards against a task, of a
// batch job or of a service, that could run and is held back for longer than the platform allows, because nothing tells it from a task
// that crashes its workers. A job under whose task workers have crashed may be given up.
func TestTaskRunsOnceCrashesBehindCutsAreOver(t *testing.T) {
	for name, job := range map[string]struct{ id, body string }{
		"batch": {jobID(1), oneTaskJob}, "service": {longRunningID, longRunningJob},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, fleet.Config{Seed: 47, Datacentres: []string{"dc1"}, Workers: 6, RunTime: shortTasks}, 3)
			o := startObserver(s)
			o.submitted(job.id, job.body)
			s.submit(0, job.id, job.body)
			o.accepted(job.id)
			task, attempt := taskName(job.id, 0, 0), int64(0)
			for range crashesBehindCuts {
				run, found := s.awaitRunAfter(job.id, task, attempt)
				if !found {
					break
				}
				attempt = run.Attempt
				time.Sleep(confirmTime)
				o.faultStarts()
				s.crashBehindCut(run.Worker)
				o.faultEnds()
			}
			o.trafficEnds()
			s.awaitRunAfter(job.id, task, attempt)
			o.stop()
			t.Log(o.longestWaits())
			s.checkHistory()
		})
	}
}

// awaitRunAfter waits until a task runs in a later attempt than the given one, or until its job has ended.
func (s *site) awaitRunAfter(job, task string, attempt int64) (run fleet.Run, found bool) {
	s.t.Helper()
	poll.Until(s.t, task+" runs again", func() bool {
		for _, r := range s.platform.History() {
			if r.Task == task && r.Attempt > attempt && r.Ended.IsZero() {
				run, found = r, true
			}
		}
		return found || isFinal(s.state(0, job))
	})
	return run, found
}

// crashBehindCut cuts a worker off, crashes it after cutBeforeCrash, and ends the cut.
func (s *site) crashBehindCut(id string) {
	s.behindCut(id, func(w *fleet.Worker) {
		time.Sleep(cutBeforeCrash)
		w.CrashUnderNewID()
	})
}

// behindCut cuts a worker off while something happens to it.
func (s *site) behindCut(id string, happens func(w *fleet.Worker)) {
	for _, w := range s.platform.Workers() {
		if present, _ := w.Listed(); present != id {
			continue
		}
		address := w.Endpoint().Address
		link := s.links[slices.IndexFunc(s.links, func(p *faultproxy.Proxy) bool { return p.Addr() == address })]
		link.Cut(faultproxy.Both...)
		happens(w)
		healLink(link)
	}
}

// Scenario: the worker of a short task is cut off, the task is done behind the cut, the worker crashes right after that, and the end of the
// cut breaks its connections, all within schedule.MaxUnobserved after the worker's last answer; the same happens to the next worker.
// Guards against a job that is shown as failed although no worker has crashed under its task.
func TestShortTaskDoneBehindCutsIsNotGivenUp(t *testing.T) {
	const cuts = 2 // with as many crashes of its workers that are certain a task is given up
	s := newSite(t, fleet.Config{Seed: 50, Datacentres: []string{"dc1"}, Workers: 6, RunTime: shortTasks}, 3)
	id := jobID(1)
	s.submit(0, id, oneTaskJob)
	task, attempt := taskName(id, 0, 0), int64(0)
	for range cuts {
		run, found := s.awaitRunAfter(id, task, attempt)
		if !found {
			break
		}
		attempt = run.Attempt
		time.Sleep(confirmTime)
		s.crashOnceDoneBehindCut(run)
	}
	s.awaitState(0, id, "completed")
}

// crashOnceDoneBehindCut cuts the worker of a run off until the run has ended, crashes it, and ends the cut.
func (s *site) crashOnceDoneBehindCut(run fleet.Run) {
	s.behindCut(run.Worker, func(w *fleet.Worker) {
		poll.Until(s.t, run.Task+" ends", func() bool {
			return slices.ContainsFunc(s.platform.History(), func(r fleet.Run) bool {
				return r.Task == run.Task && r.Attempt == run.Attempt && !r.Ended.IsZero()
			})
		})
		w.CrashUnderNewID()
	})
}
