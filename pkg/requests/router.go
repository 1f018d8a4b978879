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

	mu     sync.Mutex // guards shards and cfg.Rand
	shards map[structs.ShardID]*inFlight
}

func newRouter(cfg Config) *router {
	return &router{cfg: cfg, shards: map[structs.ShardID]*inFlight{}}
}

// choose returns the target for the next attempt, or the reason why there is none. Shards that were not yet tried
// are preferred; those that refused the request without sending it are left out. The attempt counts as in
// progress on the target until ended is called.
func (r *router) choose(req structs.Request, remaining, service time.Duration, tried triedTargets) (Target, string) {
	fresh, used := tried.sort(r.cfg.Directory.Targets(req.Service))
	if len(fresh)+len(used) == 0 {
		return Target{}, structs.ReasonNoShard
	}
	for _, targets := range [][]Target{fresh, used} {
		if target, ok := r.pick(targets, remaining, service); ok {
			return target, ""
		}
	}
	return Target{}, structs.ReasonDeadline
}

func (r *router) pick(targets []Target, remaining, service time.Duration) (Target, bool) {
	if len(targets) == 0 {
		return Target{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	view := routing.View{Remaining: remaining, Service: service}
	for _, t := range targets {
		flight := r.shardLocked(t.Shard)
		view.Candidates = append(view.Candidates, routing.Candidate{
			Shard: t.Shard, Local: t.Local, OwnDatacentre: t.OwnDatacentre, LinkDelay: t.LinkDelay, Slots: t.Slots,
			InFlight: flight.current, Since: flight.changeSince(now, now.Add(-t.Slots.Age)),
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

func (r *router) ended(shard structs.ShardID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shardLocked(shard).add(r.cfg.Now(), -1)
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
type triedTargets map[triedKey]bool // true: refused, not to be asked again

// triedKey tells owners of one shard apart: after a takeover the new owner may be asked.
type triedKey struct {
	shard structs.ShardID
	addr  string
}

func (t triedTargets) used(target Target) {
	key := triedKey{target.Shard, target.PeerAddr}
	if _, tried := t[key]; !tried {
		t[key] = false
	}
}

// refused notes a target that did not run the request. A refusal by one runner is no reason to leave out the
// whole shard.
func (t triedTargets) refused(target Target, reason string) {
	if reason != structs.ReasonRunnerRefused {
		t[triedKey{target.Shard, target.PeerAddr}] = true
	}
}

// sort splits targets into those not yet tried and those tried without a refusal.
func (t triedTargets) sort(targets []Target) (fresh, used []Target) {
	for _, target := range targets {
		refused, tried := t[triedKey{target.Shard, target.PeerAddr}]
		switch {
		case !tried:
			fresh = append(fresh, target)
		case !refused:
			used = append(used, target)
		}
	}
	return fresh, used
}
