package schedule

import (
	"testing"
	"time"
)

// unusedBound is the time within which a worker that has room and answers is used while tasks wait: a report, and the time
// for which it may keep capacity for a displaced service that avoids it.
const unusedBound = poolReportEvery + restartOverdueAfter

// poolLargeTask is the processor time, in thousandths of a core, that suffices for each task of a simulation.
const poolLargeTask = 4200

// cut makes a share of the workers, in percent, neither answer nor get orders for some time. What they run goes on.
func (p *fullPool) cut(percent int, d time.Duration) {
	for _, w := range p.workers[:len(p.workers)*percent/100] {
		w.cutUntil = p.now + d
	}
}

// hang makes the tasks on a share of the workers, in percent, neither go on nor end for some time. The workers answer.
func (p *fullPool) hang(percent int, d time.Duration) {
	for _, w := range p.workers[:len(p.workers)*percent/100] {
		w.hungUntil = p.now + d
	}
}

// watchWorkers measures for how long workers that answer and are not in back-off have room for any task while short tasks wait.
func (p *fullPool) watchWorkers() {
	waiting := false
	for st := range p.s.pendingSteps {
		waiting = waiting || st.pending > 0 && !st.spec.Service
	}
	for _, w := range p.workers {
		s := p.s.workers[w.info.ID]
		unused := waiting && s != nil && !w.gone && !w.info.Draining && p.now >= w.cutUntil && !s.health.inBackOff(p.time().Boot) &&
			s.free().MilliCPU >= poolLargeTask
		since, before := p.freeSince[w.info.ID]
		switch {
		case !unused:
			delete(p.freeSince, w.info.ID)
		case !before || p.now < p.calmFrom:
			p.freeSince[w.info.ID] = p.now
		case p.now-since > p.longestUnused:
			p.longestUnused, p.unusedWorker = p.now-since, w.info.ID
		}
	}
}

// checkUnused fails the test if a worker has had room for any task for longer than unusedBound while short tasks waited.
func (p *fullPool) checkUnused() {
	p.t.Helper()
	p.t.Logf("seed %d: a worker was unused for %v at most", p.seed, p.longestUnused)
	if p.longestUnused > unusedBound {
		p.t.Errorf("seed %d: %v had room for any task for %v while tasks waited, more than %v", p.seed, p.unusedWorker,
			p.longestUnused, unusedBound)
	}
}

// Guards against workers that were silent for some seconds and whose capacity is not used once they answer again, while services
// and tasks that end wait for it: that no report arrives says nothing about the speed of their tasks.
func TestSilentWorkersAreUsedOnceTheyAnswer(t *testing.T) {
	const silence = 4 * time.Second // shorter than the leases, so that nothing is lost
	for _, services := range []poolServices{{50, 0}, {80, 0}, {88, 2}} {
		for seed := range uint64(3) {
			p := newBusyFullPool(t, seed, services)
			p.cut(25, silence)
			p.calmFrom = p.now + silence
			p.play(p.calmFrom+poolEnd/2, burstDemand)
			p.checkUnused()
			p.checkWaits()
		}
	}
}

// Guards against services that wait beside workers which were slow and on which nothing has run since: they count as slow for
// seconds after their tasks go on again, as they get none that would show it.
func TestServicesRestartOnWorkersThatWereSlow(t *testing.T) {
	for _, slow := range []time.Duration{3 * time.Second, 6 * time.Second} {
		for _, services := range []poolServices{{80, 0}, {88, 2}} {
			for seed := range uint64(3) {
				p := newBusyFullPool(t, seed, services)
				p.hang(25, slow)
				p.calmFrom = p.now + slow
				p.play(p.calmFrom+poolEnd/4, burstDemand)
				p.checkWaits()
			}
		}
	}
}
