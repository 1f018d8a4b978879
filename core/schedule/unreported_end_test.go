package schedule

import (
	"testing"
	"time"
)

// Scenario: a service has run for long and ends failed right after its worker's last answer, so that no report lists the end that reaches
// the owner. Guards against such an end that makes the service wait longer than the loss of its worker while it ran does, in each way in which
// a report or the worker may be lost, and longer than until the next report where the worker answers again.
func TestUnreportedEndWaitsNoLongerThanALostWorker(t *testing.T) {
	const (
		otherProcess = 1000 // start of a process
		nextReport   = reportingStep
	)
	lose := func(h *harness, id WorkerID) {
		delete(h.workers, id)
		h.s.PollFailed(h.now, id, Grant{})
	}
	for name, c := range map[string]struct {
		happens func(h *harness, id WorkerID)
		each    func(h *harness, id WorkerID) // every reportingStep
		most    time.Duration                 // 0 for the wait without the end
	}{
		"worker lost":                 {happens: lose},
		"worker lost, polled in vain": {happens: lose, each: func(h *harness, id WorkerID) { h.s.PollFailed(h.now, id, Grant{}) }},
		"results lost, then the worker": {happens: func(h *harness, id WorkerID) {
			h.s.ReportsLost(id)
			lose(h, id)
		}},
		"relay lost, then the worker": {happens: func(h *harness, id WorkerID) {
			h.s.PollerLost(id, Grant{At: h.now.Boot})
			lose(h, id)
		}},
		"overtaken answer, then the worker": {happens: func(h *harness, id WorkerID) {
			w := h.workers[id]
			h.s.Report(h.now, id, Report{Incarnation: w.incarnation, Address: w.info.Address, SentAt: h.now.Boot - time.Second, Ended: w.ended})
			lose(h, id)
		}},
		"results lost": {happens: func(h *harness, id WorkerID) { h.s.ReportsLost(id) }, most: nextReport},
		"the end is dropped after a number of another process": {happens: func(h *harness, id WorkerID) { h.workers[id].ended = nil }, most: nextReport},
		"the next process answers": {happens: func(h *harness, id WorkerID) {
			h.s.PollFailed(h.now, id, Grant{})
			h.restart(id)
			h.workers[id].incarnation, h.workers[id].info.StartedMs = otherProcess, otherProcess
		}, most: nextReport + reportingStep}, // the crash is stored first
	} {
		t.Run(name, func(t *testing.T) {
			wait := func(ends bool) time.Duration {
				h := newStartedHarness(t, 3)
				h.startedService("service", 1)
				task := taskID("service", 0, 0)
				h.elapse(briefRun)
				h.elapse(restartOverdueAfter)
				id := h.workerOf(task)
				if ends {
					h.end(task, EndFailed)
				}
				c.happens(h, id)
				each := func() {}
				if c.each != nil {
					each = func() { c.each(h, id) }
				}
				return h.waitOf(task, each)
			}
			most := c.most
			if most == 0 {
				most = wait(false)
			}
			if got := wait(true); got > most {
				t.Errorf("the service has waited for %v, want at most %v", got, most)
			}
		})
	}
}

// Scenario: a worker is lost, and from then on the results of its relay are lost, or the relay itself, every 500 ms for 6 s. Guards against
// a wait that begins anew with each such loss: nothing has extended the leases once the relay withholds them, nor after the latest grant
// where the relay tells it.
func TestLossesOfResultsRenewTheWaitOnlyUntilLeasesAreWithheld(t *testing.T) {
	const (
		every  = 500 * time.Millisecond
		lasts  = 6 * time.Second
		notice = 2 * reportingStep // the relay is told, and its results are collected
	)
	for name, c := range map[string]struct {
		loss  func(h *harness, id WorkerID)
		tells bool          // failed polls tell the latest grant
		last  time.Duration // from the loss to the latest grant that counts
	}{
		"results lost, grant told":   {loss: func(h *harness, id WorkerID) { h.s.ReportsLost(id) }, tells: true},
		"results lost, grant unsaid": {loss: func(h *harness, id WorkerID) { h.s.ReportsLost(id) }, last: answerTime + repeatTime + notice},
		"relay lost": {loss: func(h *harness, id WorkerID) { h.s.PollerLost(id, Grant{At: h.now.Boot}) }, tells: true,
			last: answerTime + repeatTime + notice},
	} {
		t.Run(name, func(t *testing.T) {
			h := newStartedHarness(t, 3)
			h.startedService("service", 1)
			task := taskID("service", 0, 0)
			h.elapse(briefRun)
			id := h.workerOf(task)
			delete(h.workers, id)
			lost := h.now.Boot
			var granted Grant
			if c.tells {
				granted.At = lost
			}
			h.s.PollFailed(h.now, id, granted)
			next := lost + every
			h.waitOf(task, func() {
				if h.now.Boot >= next && h.now.Boot < lost+lasts {
					c.loss(h, id)
					h.s.PollFailed(h.now, id, granted)
					next += every
				}
			})
			if end := (Grant{At: lost + c.last}).end(h.s.cfg) + reportingStep; h.now.Boot > end {
				t.Errorf("the service has waited for %v, want at most %v", h.now.Boot-lost, end-lost)
			}
		})
	}
}
