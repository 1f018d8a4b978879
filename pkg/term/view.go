package term

import (
	"encoding/json"
	"sync"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// State is the ownership of one partition as last read from the store.
type State struct {
	Owner Record // zero if there is no owner
	Term  int64  // term of the newest owner, as its record says; 0 if there has been none

	read          bool // the store has been read
	ownerRevision int64
	unleasedSince time.Time // since when the owner's record has had no lease; zero if it has one or does not exist
	termRevision  int64
	copyRevision  int64   // of the copy of the term
	highestTerm   int64   // no owner has had a term above it
	newestOwner   Record  // as the copy of the term says; zero unless it was written with the term
	cores         float64 // of the newest owner's host; 0 if unknown
	lease         kv.LeaseID
}

// TermRevision returns the store revision of the term key, a condition of writes addressed to the owner in that term.
func (s State) TermRevision() int64 { return s.termRevision }

// Lease returns the lease of the owner's record, or 0 if there is no owner.
func (s State) Lease() kv.LeaseID { return s.lease }

// unleasedGrace is how long a record of an owner without a lease excludes other candidates. No owner writes such a record: another
// writer has overwritten one. An owner that is alive finds and replaces it after checkInterval. One that cannot is confirmed for
// maxUnchecked and TTL at most.
const unleasedGrace = maxUnchecked + TTL + time.Second

// acquirableBy reports whether self may acquire the partition: it has no owner, or its owner is a process with the same
// host and address as self, that is self or a previous process that has certainly ended, or the owner's record does not end with a
// lease. Such a record comes from another writer, and the owner may be alive whatever it says, unless it is known to be a previous
// process of this host.
func (s State) acquirableBy(self Record) bool {
	if !s.read {
		return false
	}
	return s.ownerRevision == 0 || s.abandoned() || s.ownedByFormerProcess(self) ||
		(s.lease != 0 && s.Owner.Host == self.Host && s.Owner.Address == self.Address)
}

// abandoned reports whether the owner's record will not end by itself and no owner has replaced it in time.
func (s State) abandoned() bool {
	return !s.unleasedSince.IsZero() && time.Since(s.unleasedSince) >= unleasedGrace
}

// ownedByFormerProcess reports whether another writer has overwritten the owner's record, and the newest owner is a previous process with the
// host and address of self, which has certainly ended. The copy of the term tells, since it was written with the term.
func (s State) ownedByFormerProcess(self Record) bool {
	return !s.unleasedSince.IsZero() && s.newestOwner.Host == self.Host && s.newestOwner.Address == self.Address &&
		s.newestOwner.Incarnation != self.Incarnation
}

// View is a local copy of all ownership records in the store.
type View struct {
	log *eventlog.Logger

	mu      sync.Mutex // guards the fields below
	read    bool       // Reset has been called
	items   map[string]kv.Item
	since   map[string]time.Time // when the revision in items was first seen
	logged  map[string]int64     // revisions of undecodable records that were logged
	changed chan struct{}        // closed and replaced on each change
}

// NewView returns an empty view. Reset and Apply are the callbacks of a mirror of statekeys.Owners.
func NewView(log *eventlog.Logger) *View {
	return &View{log: log, items: map[string]kv.Item{}, since: map[string]time.Time{}, logged: map[string]int64{},
		changed: make(chan struct{})}
}

// Reset replaces all records.
func (v *View) Reset(items []kv.Item) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.read = true
	before, since := v.items, v.since
	v.items, v.since = make(map[string]kv.Item, len(items)), make(map[string]time.Time, len(items))
	for _, item := range items {
		v.items[item.Key], v.since[item.Key] = item, time.Now()
		if before[item.Key].Revision == item.Revision {
			v.since[item.Key] = since[item.Key]
		}
	}
	v.signal()
}

// Apply applies changes to the records.
func (v *View) Apply(changes []kv.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, change := range changes {
		if change.Deleted {
			delete(v.items, change.Item.Key)
			delete(v.since, change.Item.Key)
		} else {
			v.items[change.Item.Key], v.since[change.Item.Key] = change.Item, time.Now()
		}
	}
	v.signal()
}

// signal closes the channel returned by Changed. v.mu is held.
func (v *View) signal() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// State returns the current ownership of a partition.
func (v *View) State(p statekeys.Partition) State {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := State{read: v.read}
	if item, found := v.items[statekeys.Owner(p)]; found {
		state.ownerRevision, state.lease = item.Revision, item.Lease
		if item.Lease == 0 {
			state.unleasedSince = v.since[item.Key]
		}
		if !v.decode(item, &state.Owner) {
			state.Owner = Record{}
		}
	}
	if item, found := v.items[statekeys.Term(p)]; found {
		state.Term, state.cores = v.term(item)
		state.termRevision = item.Revision
	}
	if item, found := v.items[statekeys.TermCopy(p)]; found {
		state.copyRevision = item.Revision
		if item.Revision != state.termRevision || !v.decode(item, &state.newestOwner) {
			state.newestOwner = Record{}
		}
	}
	state.highestTerm = state.newestTerm()
	return state
}

// newestTerm returns a term that is not below any that an owner has had. The record of the term says so if its copy was written in the same
// transaction. Else another writer has changed one of the two, for instance put a former record back, or the owner was of a version without
// copies. Then the greater of their revisions takes its place: no term is above the revision at which it was written.
func (s State) newestTerm() int64 {
	if s.copyRevision == s.termRevision {
		return s.Term
	}
	return max(s.termRevision, s.copyRevision)
}

// term returns the term in a record, and the cores of its owner's host. Each term takes a revision of the store at least, so a term
// above the record's revision comes from another writer, as one that cannot be decoded does. The revision takes its place: it is not
// below any earlier term, which the workers may have seen.
func (v *View) term(item kv.Item) (term int64, cores float64) {
	var value termValue
	if v.decode(item, &value) && value.Term > 0 && value.Term <= item.Revision {
		return value.Term, value.Cores
	}
	return item.Revision, 0
}

// decode decodes a record and reports whether it could. A failure is logged once for each revision.
func (v *View) decode(item kv.Item, out any) bool {
	err := json.Unmarshal(item.Value, out)
	if err == nil {
		return true
	}
	if v.logged[item.Key] != item.Revision {
		v.logged[item.Key] = item.Revision
		v.log.Event(eventlog.RecordUnreadable).Str("key", item.Key).Str("error", eventlog.Truncate(err.Error())).Msg("")
	}
	return false
}
