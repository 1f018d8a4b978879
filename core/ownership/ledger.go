package ownership

import (
	"time"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/structs"
)

// maxGiven bounds the ledger. Entries of hosts that are gone are dropped beyond it.
const maxGiven = 256

// given are the promises to one host.
type given struct {
	incarnation  string
	until        time.Time // end of the latest promise, by the clock of this process
	firstPromise uint64    // sequence of the first reply with a promise to this incarnation; 0 if none
	acknowledged bool      // the host has echoed a reply with a promise
}

// Ledger records the promises that this process gave and who counts on them. It is not safe for concurrent
// use; the caller holds a lock.
type Ledger struct {
	limits     Limits
	registered int64 // revision of this process's entry in the member registry; 0 if not registered
	peers      map[structs.HostID]*given
	withheld   map[structs.ShardID]structs.HostID // claims in progress and the last owner that they concern
}

// NewLedger returns an empty ledger of a process that is not registered.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{
		limits:   limits,
		peers:    make(map[structs.HostID]*given),
		withheld: make(map[structs.ShardID]structs.HostID),
	}
}

// Registered records the revision of this process's new entry in the member registry. Owners that read the
// registry without the former entry no longer count on this process, so all acknowledgements end.
func (l *Ledger) Registered(revision int64) {
	l.registered = revision
	for _, g := range l.peers {
		g.firstPromise, g.acknowledged = 0, false
	}
}

// Unregistered records that this process may no longer claim.
func (l *Ledger) Unregistered() { l.Registered(0) }

// Registration returns the revision of this process's entry in the member registry, 0 if it has none.
func (l *Ledger) Registration() int64 { return l.registered }

// Promise returns the promise for the reply with number sequence to a heartbeat of peer, 0 for none. The
// promise holds from now on the clock of this process.
func (l *Ledger) Promise(to membership.Process, sequence uint64, now time.Time) time.Duration {
	if l.Withheld(to.Host) {
		return 0
	}
	g := l.entry(to, now)
	if until := now.Add(l.limits.PromiseTTL); until.After(g.until) {
		g.until = until
	}
	if g.firstPromise == 0 && l.registered != 0 {
		g.firstPromise = sequence
	}
	return l.limits.PromiseTTL
}

func (l *Ledger) entry(to membership.Process, now time.Time) *given {
	g, known := l.peers[to.Host]
	if !known {
		l.prune(now)
		g = &given{incarnation: to.Incarnation}
		l.peers[to.Host] = g
	}
	if g.incarnation != to.Incarnation {
		g.incarnation, g.firstPromise, g.acknowledged = to.Incarnation, 0, false
	}
	return g
}

func (l *Ledger) prune(now time.Time) {
	if len(l.peers) < maxGiven {
		return
	}
	for host, g := range l.peers {
		if now.After(g.until) {
			delete(l.peers, host)
		}
	}
}

// Acknowledge records that peer echoed the sequence of a reply of ours that carried a promise.
func (l *Ledger) Acknowledge(peer membership.Process, sequence uint64) {
	g, known := l.peers[peer.Host]
	if known && g.incarnation == peer.Incarnation && g.firstPromise != 0 && sequence >= g.firstPromise {
		g.acknowledged = true
	}
}

// RequiredBy reports whether the owner process, which claimed at revision claimed, counts on promises of this
// process before it goes on without the store.
func (l *Ledger) RequiredBy(owner membership.Process, claimed structs.Epoch) bool {
	if l.registered == 0 {
		return false
	}
	if l.registered <= int64(claimed) {
		return true
	}
	g, known := l.peers[owner.Host]
	return known && g.incarnation == owner.Incarnation && g.acknowledged
}

// PromisedUntil returns the end of the latest promise to host, zero if there is none.
func (l *Ledger) PromisedUntil(host structs.HostID) time.Time {
	if g, known := l.peers[host]; known {
		return g.until
	}
	return time.Time{}
}

// Withhold stops promises to host while this process claims shard.
func (l *Ledger) Withhold(shard structs.ShardID, host structs.HostID) { l.withheld[shard] = host }

// Resume ends the effect of Withhold for shard. It must not be called while the result of a claim is unknown.
func (l *Ledger) Resume(shard structs.ShardID) { delete(l.withheld, shard) }

// Withheld reports whether promises to host are withheld.
func (l *Ledger) Withheld(host structs.HostID) bool {
	for _, withheld := range l.withheld {
		if withheld == host {
			return true
		}
	}
	return false
}
