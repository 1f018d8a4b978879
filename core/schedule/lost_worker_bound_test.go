package schedule

import (
	"fmt"
	"testing"
	"time"
)

// Parameters of the plays in which a worker is lost for good around changes of the owner. Times count from the worker's last answer.
const (
	boundStep = 50 * time.Millisecond
	// boundWrite is how long a write of the known workers takes, and boundUpdate how long an update of a relay.
	boundWrite  = 100 * time.Millisecond
	boundUpdate = 50 * time.Millisecond
	// boundCollect is how old the results are that the owner has applied.
	boundCollect = 250 * time.Millisecond
	// boundTakeover is the time from the loss of an owner to the next one.
	boundTakeover = 300 * time.Millisecond
	// boundRefused and boundSilent are the times from a worker's loss to the failure of a poll: of one whose host refuses connections, and
	// of one that is gone with its host, whose poll was held and then times out.
	boundRefused = 50 * time.Millisecond
	boundSilent  = 1200 * time.Millisecond
	boundRetry   = 300 * time.Millisecond // between two failed polls
	boundEnd     = 30 * time.Second
)

// lostWorkerPlay is the loss of the only worker of a service while owners change, the owner is paused or the store is away.
type lostWorkerPlay struct {
	name       string
	pollFails  time.Duration   // from the loss, or from a takeover, to the failure of a poll; boundRefused or boundSilent
	ownersLost []time.Duration // when owners are lost; each is followed by the next after boundTakeover
	paused     [2]time.Duration
	storeAway  [2]time.Duration
}

// lostWorkerRun is a play in progress.
type lostWorkerRun struct {
	*harness
	lostWorkerPlay
	lostAt    time.Duration // boot time
	takenOver time.Duration
	known     []WorkerInfo  // in the store
	writing   []WorkerInfo  // nil unless a write is in progress
	writtenAt time.Duration // when it takes effect
	acked     map[WorkerID]time.Duration
	asked     map[WorkerID]time.Duration
	failedAt  time.Duration // latest failed poll of the lost worker
}

func (r *lostWorkerRun) at() time.Duration { return r.now.Boot - r.lostAt }

// during reports whether the play is within a span.
func (r *lostWorkerRun) during(span [2]time.Duration) bool {
	return r.at() >= span[0] && r.at() < span[1]
}

// advance plays one step of an owner.
func (r *lostWorkerRun) advance() {
	r.pollLost()
	r.report("other")
	confirmed := !r.during(r.storeAway)
	collected := func(WorkerID) time.Duration { return r.now.Boot - boundCollect }
	r.s.Expire(r.now, confirmed, collected)
	r.s.WithholdLeases(r.now, confirmed, func(id WorkerID) time.Duration { return r.acked[id] }, collected)
	r.s.Plan(r.now)
	r.store()
	r.tellRelays()
	r.write()
}

// pollLost lets the polls of the lost worker fail.
func (r *lostWorkerRun) pollLost() {
	if r.now.Boot-max(r.lostAt, r.takenOver) >= r.pollFails && r.now.Boot-r.failedAt >= boundRetry {
		r.failedAt = r.now.Boot
		r.s.PollFailed(r.now, "lost", Grant{At: r.lostAt, Lease: testLease})
	}
}

// tellRelays sends the relays which leases they withhold, and records their responses.
func (r *lostWorkerRun) tellRelays() {
	switch at, asked := r.asked["lost"]; {
	case !r.s.WithholdsLeases("lost"):
		delete(r.asked, "lost")
		delete(r.acked, "lost")
	case !asked:
		r.asked["lost"] = r.now.Boot
	case r.acked["lost"] == 0 && r.now.Boot-at >= boundUpdate:
		r.acked["lost"] = r.now.Boot
	}
}

// write stores the known workers.
func (r *lostWorkerRun) write() {
	if r.during(r.storeAway) {
		r.writing = nil
		return
	}
	if r.writing != nil && r.now.Boot >= r.writtenAt {
		r.known = r.writing
		r.s.KnownWorkersStored(r.writing)
		r.writing = nil
	}
	if r.writing == nil {
		if infos, changed := r.s.KnownWorkers(); changed {
			r.writing, r.writtenAt = infos, r.now.Boot+boundWrite
		}
	}
}

// takeOver lets the next owner follow.
func (r *lostWorkerRun) takeOver() {
	stored := r.s.jobs["job"].progress()
	term := r.s.cfg.Term + 1
	r.newTerm(term)
	r.s.cfg.HandoverGrace = LeaseGrantWindow
	r.takenOver, r.writing, r.failedAt = r.now.Boot, nil, 0
	r.acked, r.asked = map[WorkerID]time.Duration{}, map[WorkerID]time.Duration{}
	r.s.InheritWorkers(r.now, r.known)
	r.s.SetWorkers(r.now, []WorkerInfo{r.workers["other"].info})
	r.s.AddJob(testJob("job", testService(1)), &stored, true)
}

// ownerless reports whether an owner is lost and the next one has not followed yet; next is whether it follows now.
func (r *lostWorkerRun) ownerless() (lost, next bool) {
	for _, at := range r.ownersLost {
		if r.at() >= at && r.at() < at+boundTakeover {
			lost = true
		}
		next = next || r.at() >= at+boundTakeover && r.at() < at+boundTakeover+boundStep
	}
	return lost, next
}

// restartedAfter returns when the service is started on the other worker, from the last answer of the lost one.
func (r *lostWorkerRun) restartedAfter() time.Duration {
	for r.at() < boundEnd {
		r.advanceClock(boundStep)
		lost, next := r.ownerless()
		if next {
			r.takeOver()
		}
		if !lost && !r.during(r.paused) {
			r.advance()
		}
		if len(starts(r.s.TakeOrders())) > 0 {
			return r.at()
		}
	}
	return boundEnd
}

// newLostWorkerRun returns a play whose service runs on the worker that is lost now.
func newLostWorkerRun(t *testing.T, play lostWorkerPlay) *lostWorkerRun {
	h, _, _ := lostWorkerBefore(t)
	h.s.cfg.HandoverGrace = LeaseGrantWindow
	r := &lostWorkerRun{harness: h, lostWorkerPlay: play, lostAt: h.now.Boot,
		acked: map[WorkerID]time.Duration{}, asked: map[WorkerID]time.Duration{}}
	r.known, _ = h.s.KnownWorkers()
	return r
}

// lostWorkerBefore returns a harness with a service on one worker, and another worker with room for it.
func lostWorkerBefore(t *testing.T) (h *harness, lost, other *simWorker) {
	t.Helper()
	h = newHarness(t, 1)
	lost = h.addWorker("lost", nil)
	h.s.AddJob(testJob("job", testService(1)), nil, false)
	h.wantStarts(h.run(), 1)
	h.reportAll()
	other = h.addWorker("other", nil)
	h.s.KnownWorkers()
	h.s.knownWorkersChanged = true
	return h, lost, other
}

// Guards against services that are down for longer than the platform allows after the loss of their worker: 9 s after the worker's last
// answer, or 7 s after an owner was lost, an owner was paused or the store was away. Guards as well against a start while the lost worker,
// if it is only cut off, may still run the service: its clock may be 2 % slow.
func TestServiceOfALostWorkerRunsAgainInTime(t *testing.T) {
	for _, play := range lostWorkerPlays() {
		if !play.storedTooLate() {
			t.Run(play.name, play.check)
		}
	}
}

// Guards against the same if the owner is lost before it has stored that the worker is silent: the next one knows nothing of the loss.
func TestServiceOfAWorkerSilentSinceBeforeTheOwnersLossRunsAgainInTime(t *testing.T) {
	for _, play := range lostWorkerPlays() {
		if play.storedTooLate() {
			t.Run(play.name, play.check)
		}
	}
}

// storedTooLate reports whether the only loss of an owner falls into the time in which it has not stored that the worker is silent.
func (play lostWorkerPlay) storedTooLate() bool {
	return play.pollFails == boundSilent && len(play.ownersLost) == 1 && play.ownersLost[0] > time.Second && play.ownersLost[0] < boundSilent+500*time.Millisecond
}

// check plays the play.
func (play lostWorkerPlay) check(t *testing.T) {
	got := newLostWorkerRun(t, play).restartedAfter()
	disturbed := max(play.paused[1], play.storeAway[1])
	for _, at := range play.ownersLost {
		disturbed = max(disturbed, at)
	}
	if due := max(simServiceDown, disturbed+ruleCalm); got > due {
		t.Errorf("the service runs again %v after the last answer, want %v", got, due)
	}
	if earliest := testLease * 102 / 100; got < earliest {
		t.Errorf("the service runs again %v after the last answer, when the lease may last for %v", got, earliest)
	}
}

// lostWorkerPlays returns the plays. The times at which owners are lost count from the worker's last answer.
func lostWorkerPlays() []lostWorkerPlay {
	plays := []lostWorkerPlay{{name: "no change of owner, refused", pollFails: boundRefused}, {name: "no change of owner, silent", pollFails: boundSilent}}
	for _, before := range []time.Duration{0, 150, 300, 500, 750, 1000, 1250, 1500, 1700, 1850, 2000, 2250, 2500, 3000, 4000, 5000, 6000} {
		before *= time.Millisecond
		for name, fails := range map[string]time.Duration{"refused": boundRefused, "silent": boundSilent} {
			plays = append(plays,
				lostWorkerPlay{name: fmt.Sprintf("%v before the owner, %s", before, name), pollFails: fails, ownersLost: []time.Duration{before}},
				lostWorkerPlay{name: fmt.Sprintf("%v before two owners, %s", before, name), pollFails: fails,
					ownersLost: []time.Duration{before, before + 1500*time.Millisecond}},
				lostWorkerPlay{name: fmt.Sprintf("%v before three owners, %s", before, name), pollFails: fails,
					ownersLost: []time.Duration{before, before + 1500*time.Millisecond, before + 3000*time.Millisecond}})
		}
	}
	return append(plays,
		lostWorkerPlay{name: "right after a takeover", pollFails: boundRefused, ownersLost: []time.Duration{-boundTakeover}},
		lostWorkerPlay{name: "owner paused for 1 s", pollFails: boundRefused, paused: [2]time.Duration{time.Second, 2 * time.Second}},
		lostWorkerPlay{name: "owner paused at the loss", pollFails: boundRefused, paused: [2]time.Duration{0, 2 * time.Second}},
		lostWorkerPlay{name: "store away at the loss", pollFails: boundRefused, storeAway: [2]time.Duration{0, 2 * time.Second}},
		lostWorkerPlay{name: "store away, then the owner is lost", pollFails: boundRefused, storeAway: [2]time.Duration{0, 1500 * time.Millisecond},
			ownersLost: []time.Duration{3 * time.Second}},
	)
}
