package schedule

import (
	"fmt"
	"slices"
	"time"
)

// crash ends the process of a worker. The next one has the same ID or, as often, another one at the same address.
func (f *faultSim) crash(worker *faultSimWorker) {
	f.logf("%s crashes", worker.info.ID)
	f.recordCrash(worker)
	if worker.cut == nil {
		if f.polled[worker.info.ID] && !f.withheld.flags[worker.info.ID] {
			f.delayPoll(worker, f.permittedFor(0)+testLease) // the poll in flight
		}
		broken := f.polled[worker.info.ID] && f.breaksConnection(worker) // as in package relay, which has had no failed poll since the last answer
		f.polled[worker.info.ID] = false
		f.addResult(lateResult{worker: worker.info.ID, failed: true, broken: broken, granted: f.granted[worker.info.ID]}) // the poll in flight, so that the next process gets no acknowledgement of former ends
	}
	// Orders that are delayed within a worker are lost with its process.
	f.delayed = slices.DeleteFunc(f.delayed, func(d delayedOrder) bool { return d.order.Worker == worker.info.ID })
	worker.processes++
	if f.moves != nil {
		f.moves.restart(f, worker)
	} else {
		worker.incarnation++
		worker.info.StartedMs = worker.incarnation
	}
	worker.fence, worker.ends, worker.ended, worker.leaseEnd = 0, 0, nil, 0
	clear(worker.running)
	clear(worker.endedAt)
	clear(worker.newest)
	worker.unreachableUntil = f.now + time.Duration(f.rnd.IntN(5000))*time.Millisecond
	if f.evidence != nil {
		worker.incarnation = max(worker.incarnation, f.time().unixMsAt(worker.unreachableUntil))
	}
	worker.info.StartedMs = worker.incarnation
	if f.rnd.IntN(2) == 0 {
		number := worker.incarnation
		if f.moves != nil {
			number = f.moves.started // starts may repeat
		}
		worker.info.ID = WorkerID(fmt.Sprint(worker.info.Address, "-", number))
		worker.cut = nil
	}
}

// crashesNow reports whether the worker runs a task of crashingJob.
func (worker *faultSimWorker) crashesNow() bool {
	for key := range worker.running {
		if key.task.Job == crashingJob {
			return true
		}
	}
	return false
}

// advance ends the attempts that are due on a worker and injects crashes and network failures.
func (f *faultSim) advance(worker *faultSimWorker) {
	if worker.crashesNow() || f.faulty(400) || f.crashesBehindCut(worker) {
		f.crash(worker)
		return
	}
	if f.faulty(300) {
		f.logf("%s is unreachable", worker.info.ID)
		worker.unreachableUntil = f.now + time.Duration(f.rnd.IntN(12000))*time.Millisecond
	}
	if f.now >= worker.leaseEnd {
		clear(worker.endedAt)
	}
	keys := make([]attemptKey, 0, len(worker.running))
	for key := range worker.running {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b attemptKey) int { return compareTasks(a.task, b.task) })
	for _, key := range keys {
		switch {
		case f.now >= worker.leaseEnd:
			worker.end(f.now, key, EndExpired)
		case f.now >= worker.running[key]:
			kind := EndDone
			if key.task.Job == serviceJob || f.rnd.IntN(12) == 0 {
				kind = EndFailed
			}
			if kind == EndFailed && f.evidence != nil {
				f.evidence.failures[key.task]++
			}
			worker.end(f.now, key, kind)
		}
	}
}

func (worker *faultSimWorker) end(now time.Duration, key attemptKey, kind EndKind) {
	delete(worker.running, key)
	worker.newest[key.task] = max(worker.newest[key.task], key.number)
	worker.ends++
	worker.endedAt[worker.ends], worker.lastEndAt = now, now
	worker.ended = append(worker.ended, Ended{Number: worker.ends, Task: key.task, Attempt: key.number, Kind: kind})
}

func (f *faultSim) unreachable(worker *faultSimWorker) bool { return f.now < worker.unreachableUntil }

// poll polls a worker as package relay does: it extends the task leases only after a poll that was answered, and
// acknowledges ends only once their progress is stored.
func (f *faultSim) poll(worker *faultSimWorker) {
	id := worker.info.ID
	f.observer.polledAt[worker] = f.now
	if f.holdsPoll(worker) {
		return
	}
	if worker.cut == nil && f.faulty(300) {
		f.cutRelay(worker)
	}
	if worker.cut != nil {
		f.pollBehindCut(worker)
		return
	}
	lease := time.Duration(0)
	if f.polled[id] && !f.withheld.flags[id] {
		lease = f.permittedFor(0) + testLease
		f.granted[id] = f.permittedFor(0)
	}
	if f.unreachable(worker) || !f.findable(worker) || f.faulty(15) {
		f.delayPoll(worker, lease)
		f.pollFailed(id)
		return
	}
	if worker.fence > f.fenceOf(id) && f.former != nil {
		f.polled[id] = false
		f.addResult(lateResult{worker: id, failed: true, fenced: true, granted: f.granted[id]})
		return
	}
	if worker.fence > f.fenceOf(id) {
		f.fatalf("%s has seen a later owner", id)
	}
	worker.fence = f.fenceOf(id)
	worker.leaseEnd = max(worker.leaseEnd, lease)
	if f.polled[id] {
		worker.ended = slices.DeleteFunc(worker.ended, func(e Ended) bool { return f.dropEnd(worker, e) })
	}
	report := Report{Incarnation: f.identify(worker), Address: worker.info.Address, SentAt: f.now, Fence: worker.fence,
		Ended: slices.Clone(worker.ended[:min(len(worker.ended), f.s.cfg.EndsPerReport)])}
	for key := range worker.running {
		report.Running = append(report.Running, Running{Task: key.task, Attempt: key.number, Percent: f.percentOf(worker, key)})
	}
	if f.faulty(15) {
		f.pollFailed(id) // the answer is lost
		return
	}
	f.recordAnswer(worker)
	f.addResult(lateResult{worker: id, report: report})
	if !f.polled[id] {
		f.listedEnd[id], f.acknowledged[id] = 0, 0
	}
	for _, end := range report.Ended {
		f.listedEnd[id] = max(f.listedEnd[id], end.Number)
	}
	f.polled[id] = true
}

// identified is the process of a worker that a relay has polled last.
type identified struct{ process, startedMs, incarnation int64 }

// identify returns the incarnation of a worker's process, as package incarnation does: the clock of a process begins anew.
func (f *faultSim) identify(worker *faultSimWorker) int64 {
	last, known := f.identified[worker.info.ID]
	switch {
	case !known || last.startedMs != worker.incarnation:
		last = identified{worker.processes, worker.incarnation, worker.incarnation}
	case last.process != worker.processes:
		last.process, last.incarnation = worker.processes, NextIncarnation(last.incarnation)
	}
	f.identified[worker.info.ID] = last
	return last.incarnation
}

// acknowledge makes the relay of a worker acknowledge the ends up to a number, as far as the process has listed them.
func (f *faultSim) acknowledge(worker *faultSimWorker, number int64) {
	f.acknowledged[worker.info.ID] = min(number, f.listedEnd[worker.info.ID])
}

// dropEnd reports whether the worker drops an end that the owner has acknowledged, and records a done end. As on the
// platform an end that was not acknowledged before the lease of the worker lapsed does not count.
func (f *faultSim) dropEnd(worker *faultSimWorker, e Ended) bool {
	if e.Number > f.acknowledged[worker.info.ID] {
		return false
	}
	if at, counts := worker.endedAt[e.Number]; counts && e.Kind == EndDone {
		if f.lastStart[e.Task] > at {
			f.fatalf("%v was started after it was done", e.Task)
		}
		f.done[e.Task] = true
	}
	delete(worker.endedAt, e.Number)
	return true
}

// cutRelay cuts the owner off from the relay that polls a worker.
func (f *faultSim) cutRelay(worker *faultSimWorker) {
	f.logf("relay of %s is cut off", worker.info.ID)
	worker.cut = &relayCut{f.now + simRelayLost, f.permittedFor(simPermission)}
	f.dropResults(worker.info.ID)
	f.s.ReportsLost(worker.info.ID)
}

// pollBehindCut makes the relay that the owner does not reach poll a worker. When the owner gives it up, the relay has
// extended the leases of a worker that it reaches for as long as it was permitted.
func (f *faultSim) pollBehindCut(worker *faultSimWorker) {
	id, cut := worker.info.ID, worker.cut
	lost := f.now >= cut.lostAt
	if !f.unreachable(worker) && worker.fence <= f.fenceOf(id) {
		worker.fence = f.fenceOf(id)
		if !f.withheld.flags[id] {
			until := min(f.now, cut.permittedUntil)
			if lost {
				until = cut.permittedUntil
			}
			worker.leaseEnd = max(worker.leaseEnd, until+testLease)
		}
	}
	if lost {
		worker.cut, f.polled[id] = nil, false
		delete(f.identified, id)
		delete(f.granted, id)
		f.s.PollerLost(id, Grant{At: cut.permittedUntil, Lease: testLease})
		f.withheld.assign(f, id) // to the next relay
		if f.faulty(2) {
			f.cutRelay(worker) // the next relay is lost before a report arrives, as when hosts stop in turn
		}
	}
}

func (f *faultSim) pollFailed(id WorkerID) {
	f.polled[id] = false
	f.addResult(lateResult{worker: id, failed: true, granted: f.granted[id]})
}
