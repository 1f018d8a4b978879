package requests

import (
	"sync"
	"time"

	"fulmarcourse.example/core/routing"
	"fulmarcourse.example/core/structs"
)

// router chooses shards. It tracks this host's requests in progress on each shard and the failures of shard owners.
type router struct {
	cfg Config

	mu     sync.Mutex // guards the maps and cfg.Rand
	shards map[structs.ShardID]*inFlight
	owners map[ownerKey]*routing.OutlierState
}

// ownerKey identifies one owner of a shard. It contains the address, so that failures of the former owner do not
// count against the new one after a takeover.
type ownerKey struct {
	shard structs.ShardID
	addr  string
}

func ownerKeyOf(target Target) ownerKey { return ownerKey{target.Shard, target.PeerAddr} }

func newRouter(cfg Config) *router {
	return &router{cfg: cfg, shards: map[structs.ShardID]*inFlight{}, owners: map[ownerKey]*routing.OutlierState{}}
}

// choose returns the target for the next attempt, or the reason why there is none. Shards that were not yet tried
// are preferred; those whose owner rejected the request are left out. The attempt counts as in progress on the target
// until attemptEnded is called.
func (r *router) choose(req structs.Request, remaining, serviceTime time.Duration, tried triedTargets) (Target, string) {
	untried, retriable := tried.partition(r.cfg.Directory.Targets(req.Service))
	if len(untried)+len(retriable) == 0 {
		return Target{}, structs.ReasonNoShard
	}
	healthy, ejected := r.splitEjected(untried)
	for _, targets := range [][]Target{healthy, ejected, retriable} {
		if target, ok := r.pick(targets, remaining, serviceTime); ok {
			return target, ""
		}
	}
	return Target{}, structs.ReasonDeadline
}

// splitEjected separates the targets whose owners are ejected after failures. They are used only when there is no
// other target.
func (r *router) splitEjected(targets []Target) (healthy, ejected []Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for _, target := range targets {
		if r.ownerLocked(target).Ejected(now) {
			ejected = append(ejected, target)
		} else {
			healthy = append(healthy, target)
		}
	}
	return healthy, ejected
}

// pick returns the target that the policy chooses and counts the attempt as in progress on its shard. It returns false
// if the policy chooses none.
func (r *router) pick(targets []Target, remaining, serviceTime time.Duration) (Target, bool) {
	if len(targets) == 0 {
		return Target{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	view := routing.View{Remaining: remaining, ServiceTime: serviceTime}
	for _, t := range targets {
		flight := r.shardLocked(t.Shard)
		view.Candidates = append(view.Candidates, routing.Candidate{
			Shard: t.Shard, Local: t.Local, OwnDatacentre: t.OwnDatacentre, LinkDelay: t.LinkDelay,
			Slots:    r.ownerLocked(t).CorrectSlots(now, t.Slots),
			InFlight: flight.current, InFlightChange: flight.changeSince(now, now.Add(-t.Slots.Age)),
		})
	}
	choice, ok := r.cfg.Policy.Choose(view, r.cfg.Rand)
	if !ok {
		return Target{}, false
	}
	chosen := targets[choice.Index]
	r.shardLocked(chosen.Shard).add(now, 1)
	return chosen, true
}

// attemptEnded counts the end of an attempt on target and updates the outlier state of the target's owner.
func (r *router) attemptEnded(target Target, reply structs.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	r.shardLocked(target.Shard).add(now, -1)
	owner := r.ownerLocked(target)
	switch reply.Reason {
	case structs.ReasonCancelled:
	case structs.ReasonOwnerLost:
		owner.RecordLost(now)
	case structs.ReasonOwnerUnreachable, structs.ReasonWrongOwner, structs.ReasonDraining:
		owner.RecordUnavailable(now)
	case structs.ReasonQueueFull:
		owner.RecordFull(now)
	default:
		owner.RecordReply()
	}
}

// ownerLocked returns the outlier state of the target's owner. Callers hold mu.
func (r *router) ownerLocked(target Target) *routing.OutlierState {
	o, ok := r.owners[ownerKeyOf(target)]
	if !ok {
		o = &routing.OutlierState{}
		r.owners[ownerKeyOf(target)] = o
	}
	return o
}

// shardLocked returns the counts of a shard. Callers hold mu.
func (r *router) shardLocked(shard structs.ShardID) *inFlight {
	f, ok := r.shards[shard]
	if !ok {
		f = &inFlight{}
		r.shards[shard] = f
	}
	return f
}

// triedTargets holds the owners that a request has been sent to. The value is true if the owner rejected the request
// and must not be used again.
type triedTargets map[ownerKey]bool

func (t triedTargets) markTried(target Target) {
	if _, tried := t[ownerKeyOf(target)]; !tried {
		t[ownerKeyOf(target)] = false
	}
}

// markRejected marks a target that did not run the request. A refusal by a single runner does not exclude the whole
// shard.
func (t triedTargets) markRejected(target Target, reason string) {
	if reason != structs.ReasonRunnerRefused {
		t[ownerKeyOf(target)] = true
	}
}

// partition splits targets into those not yet tried and those tried without a rejection.
func (t triedTargets) partition(targets []Target) (untried, retriable []Target) {
	for _, target := range targets {
		rejected, tried := t[ownerKeyOf(target)]
		switch {
		case !tried:
			untried = append(untried, target)
		case !rejected:
			retriable = append(retriable, target)
		}
	}
	return untried, retriable
}
