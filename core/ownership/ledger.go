package ownership

import (
	"time"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/structs"
)

// maxLedgerPeers is the size at which entries with expired promises are removed from the ledger.
const maxLedgerPeers = 256

// peerPromises is the state of the promises given to one host.
type peerPromises struct {
	incarnation  string
	until        time.Time // end of the latest promise, by the clock of this process
	firstPromise uint64    // sequence of the first reply with a promise to this incarnation; 0 if none
	acknowledged bool      // the host has echoed a reply with a promise
}

// Ledger records the promises that this process has given and which hosts have acknowledged them. It is not safe for
// concurrent use; the caller holds a lock.
type Ledger struct {
	limits          Limits
	registrationRev int64 // revision of this process's entry in the member registry; 0 if not registered
	peers           map[structs.HostID]*peerPromises
	withheld        map[structs.ShardID]structs.HostID // hosts that get no promises, by the shard to be claimed
}

// NewLedger returns an empty Ledger for a process that is not registered.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{
		limits:   limits,
		peers:    make(map[structs.HostID]*peerPromises),
		withheld: make(map[structs.ShardID]structs.HostID),
	}
}

// Registered records the revision of this process's new entry in the member registry. Owners that read the registry
// after the previous entry was gone no longer require promises of this process, so all acknowledgements are cleared.
func (l *Ledger) Registered(revision int64) {
	l.registrationRev = revision
	for _, p := range l.peers {
		p.firstPromise, p.acknowledged = 0, false
	}
}

// Unregistered records that this process has no entry in the member registry and may not claim.
func (l *Ledger) Unregistered() { l.Registered(0) }

// Registration returns the revision of this process's entry in the member registry, 0 if it has none.
func (l *Ledger) Registration() int64 { return l.registrationRev }

// Promise records a promise to process `to` and returns its duration, for the reply with the given sequence number to a
// heartbeat of that process. It returns 0 if promises to the host are withheld. The promise starts at now on the clock
// of this process.
func (l *Ledger) Promise(to membership.Process, sequence uint64, now time.Time) time.Duration {
	if l.Withheld(to.Host) {
		return 0
	}
	p := l.entry(to, now)
	if until := now.Add(l.limits.PromiseTTL); until.After(p.until) {
		p.until = until
	}
	if p.firstPromise == 0 && l.registrationRev != 0 {
		p.firstPromise = sequence
	}
	return l.limits.PromiseTTL
}

func (l *Ledger) entry(to membership.Process, now time.Time) *peerPromises {
	p, known := l.peers[to.Host]
	if !known {
		l.prune(now)
		p = &peerPromises{incarnation: to.Incarnation}
		l.peers[to.Host] = p
	}
	if p.incarnation != to.Incarnation {
		p.incarnation, p.firstPromise, p.acknowledged = to.Incarnation, 0, false
	}
	return p
}

func (l *Ledger) prune(now time.Time) {
	if len(l.peers) < maxLedgerPeers {
		return
	}
	for host, p := range l.peers {
		if now.After(p.until) {
			delete(l.peers, host)
		}
	}
}

// Acknowledge records that peer echoed sequence, the sequence number of a reply of this process. It has no effect if
// sequence precedes the first reply that carried a promise.
func (l *Ledger) Acknowledge(peer membership.Process, sequence uint64) {
	p, known := l.peers[peer.Host]
	if known && p.incarnation == peer.Incarnation && p.firstPromise != 0 && sequence >= p.firstPromise {
		p.acknowledged = true
	}
}

// RequiredBy reports whether the owner process, which claimed at revision claimed, requires promises of this process
// to extend its ownership beyond the lease.
func (l *Ledger) RequiredBy(owner membership.Process, claimed structs.Epoch) bool {
	if l.registrationRev == 0 {
		return false
	}
	if l.registrationRev <= int64(claimed) {
		return true
	}
	p, known := l.peers[owner.Host]
	return known && p.incarnation == owner.Incarnation && p.acknowledged
}

// PromisedUntil returns the end of the latest promise to host, zero if there is none.
func (l *Ledger) PromisedUntil(host structs.HostID) time.Time {
	if p, known := l.peers[host]; known {
		return p.until
	}
	return time.Time{}
}

// Withhold stops promises to host, that of the former owner of shard, until Resume is called for shard.
func (l *Ledger) Withhold(shard structs.ShardID, host structs.HostID) { l.withheld[shard] = host }

// Resume ends the effect of Withhold for shard. It must not be called while the result of a claim of shard is unknown.
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
