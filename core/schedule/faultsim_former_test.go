package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Parameters of polls that are carried out late.
const (
	simMaxPollDelay = 12 * time.Second // maximum delay of a poll
	simMaxTaskLease = 10 * time.Second // longest lease that a worker grants
)

// formerCallFaults are timed polls without an answer that are carried out late, also by the next process of the worker. They use a source
// of random numbers of their own.
type formerCallFaults struct {
	rnd    *rand.Rand
	polls  []formerPoll
	fences map[WorkerID]int64 // offsets of the fencing tokens that the relays of the owner use
}

// formerPoll is a timed poll that has not been answered.
type formerPoll struct {
	at       time.Duration // when it is carried out
	worker   *faultSimWorker
	id       WorkerID
	process  int64 // on whose clock it names the end of a lease
	fence    int64
	leaseEnd time.Duration // on the clock of that process
}

// newFormerCallFaultSim returns a simulation with formerCallFaults, of workers that grant longer leases than the owner.
func newFormerCallFaultSim(f *faultSim) *faultSim {
	f.former = &formerCallFaults{rnd: rand.New(rand.NewPCG(f.seed, 11)), fences: map[WorkerID]int64{}}
	f.s.cfg = f.config()
	return f
}

// config returns the configuration of an owner.
func (f *faultSim) config() Config {
	cfg := Config{Term: f.term, TaskLease: testLease, StopTime: 400 * time.Millisecond, HandoverGrace: LeaseGrantWindow,
		EndsPerReport: cmp.Or(f.endsPerReport, maxEndedPerReport)}
	if f.former != nil {
		cfg.MaxTaskLease, cfg.CallDelay = simMaxTaskLease, simMaxPollDelay
	}
	return cfg
}

// fenceOf returns the fencing token that the relay of a worker uses.
func (f *faultSim) fenceOf(id WorkerID) int64 {
	if f.former == nil {
		return f.term
	}
	return f.term + f.former.fences[id]
}

// updateFences lets the relays learn the fencing tokens of a new owner at once, and those that it raises after some time.
func (f *faultSim) updateFences(newOwner bool) {
	if f.former == nil {
		return
	}
	if newOwner {
		f.former.fences = map[WorkerID]int64{}
	}
	for _, worker := range f.workers {
		id := worker.info.ID
		if newOwner || f.former.rnd.IntN(3) == 0 {
			f.former.fences[id] = f.s.FenceOffset(id)
		}
	}
}

// delayPoll lets a timed poll without an answer be carried out late, half of them.
func (f *faultSim) delayPoll(worker *faultSimWorker, leaseEnd time.Duration) {
	if f.former == nil || leaseEnd == 0 || !f.injects() || f.former.rnd.IntN(2) == 0 {
		return
	}
	f.former.polls = append(f.former.polls, formerPoll{
		at:     f.now + time.Duration(f.former.rnd.Int64N(int64(simMaxPollDelay))),
		worker: worker, id: worker.info.ID, process: worker.processes, fence: f.fenceOf(worker.info.ID), leaseEnd: leaseEnd,
	})
}

// executeFormerPolls carries out the polls that are due. The next process of a worker takes the end of the lease for a time on its own
// clock, and shortens it to the longest lease that it grants. A process with another ID rejects the poll, and none reaches a worker that is cut
// off.
func (f *faultSim) executeFormerPolls() {
	if f.former == nil {
		return
	}
	f.former.polls = slices.DeleteFunc(f.former.polls, func(p formerPoll) bool {
		if f.now < p.at {
			return false
		}
		if p.id != p.worker.info.ID || p.fence < p.worker.fence || f.unreachable(p.worker) {
			return true
		}
		p.worker.fence = p.fence
		if p.worker.processes != p.process {
			f.logf("%s carries out a poll for its former process", p.id)
			p.leaseEnd = f.now + simMaxTaskLease
		}
		p.worker.leaseEnd = max(p.worker.leaseEnd, p.leaseEnd)
		return true
	})
}

// Guards against a task that runs twice because a poll for the former process of a worker is carried out seconds late by the next one, with
// the same ID, whose path is cut then: the poll extends its leases by the longest one that it grants, beyond those that the owner has granted.
// Owners change meanwhile, and write the known workers late or without a response.
func TestNoTaskRunsTwiceAfterPollsForFormerProcesses(t *testing.T) {
	playSeeds(func(seed uint64) { newFormerCallFaultSim(newFaultSim(t, seed)).playJobs() })
	playSeeds(func(seed uint64) { newFormerCallFaultSim(newKnownFaultSim(newFaultSim(t, seed))).playJobs() })
	playSeeds(func(seed uint64) {
		newFormerCallFaultSim(newKnownFaultSim(newLateFaultSim(newFaultSim(t, seed)))).playJobs()
	})
}
