package requests

import (
	"sync"
	"time"

	"fulmarcourse.example/core/routing"
	"fulmarcourse.example/core/structs"
)

// router chooses shards. It tracks the requests that this host has in progress on each shard.
type router struct {
	cfg Config

	mu     sync.Mutex // guards the maps and cfg.Rand
	shards map[structs.ShardID]*inFlight
	owners map[ownerKey]*routing.OutlierState
}

// ownerKey tells owners of one shard apart: after a takeover the new owner may be asked at once.
type ownerKey struct {
	shard structs.ShardID
	addr  string
}

func keyOf(target Target) ownerKey { return ownerKey{target.Shard, target.PeerAddr} }

func newRouter(cfg Config) *router {
	return &router{cfg: cfg, shards: map[structs.ShardID]*inFlight{}, owners: map[ownerKey]*routing.OutlierState{}}
}

// choose returns the target for the next attempt, or the reason why there is none. Shards that were not yet tried
// are preferred; those that refused the request without sending it are left out. The attempt counts as in
// progress on the target until ended is called.
func (r *router) choose(req structs.Request, remaining, service time.Duration, tried triedTargets) (Target, string) {
	fresh, used := tried.sort(r.cfg.Directory.Targets(req.Service))
	if len(fresh)+len(used) == 0 {
		return Target{}, structs.ReasonNoShard
	}
	good, ejected := r.split(fresh)
	for _, targets := range [][]Target{good, ejected, used} {
		if target, ok := r.pick(targets, remaining, service); ok {
			return target, ""
		}
	}
	return Target{}, structs.ReasonDeadline
}

// split sets targets apart whose owners have just failed; they are asked when there is no other.
func (r *router) split(targets []Target) (good, ejected []Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for _, target := range targets {
		if r.ownerLocked(target).Ejected(now) {
			ejected = append(ejected, target)
		} else {
			good = append(good, target)
		}
	}
	return good, ejected
}

func (r *router) pick(targets []Target, remaining, service time.Duration) (Target, bool) {
	if len(targets) == 0 {
		return Target{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	view := routing.View{Remaining: remaining, ServiceTime: service}
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

// ended counts the end of an attempt on target and learns from its reply.
func (r *router) ended(target Target, reply structs.Reply) {
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

// ownerLocked returns what was seen of the target's owner. Callers hold mu.
func (r *router) ownerLocked(target Target) *routing.OutlierState {
	o, ok := r.owners[keyOf(target)]
	if !ok {
		o = &routing.OutlierState{}
		r.owners[keyOf(target)] = o
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

// triedTargets notes what the attempts of one request have learned about targets.
type triedTargets map[ownerKey]bool // true: refused, not to be asked again

func (t triedTargets) used(target Target) {
	if _, tried := t[keyOf(target)]; !tried {
		t[keyOf(target)] = false
	}
}

// refused notes a target that did not run the request. A refusal by one runner is no reason to leave out the
// whole shard.
func (t triedTargets) refused(target Target, reason string) {
	if reason != structs.ReasonRunnerRefused {
		t[keyOf(target)] = true
	}
}

// sort splits targets into those not yet tried and those tried without a refusal.
func (t triedTargets) sort(targets []Target) (fresh, used []Target) {
	for _, target := range targets {
		refused, tried := t[keyOf(target)]
		switch {
		case !tried:
			fresh = append(fresh, target)
		case !refused:
			used = append(used, target)
		}
	}
	return fresh, used
}
