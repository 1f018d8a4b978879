package term

import (
	"encoding/json"
	"sync"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// State is the ownership of one partition as last read from the store.
type State struct {
	Owner Record // zero if there is no owner
	Term  int64  // term of the newest owner; 0 if there has been none

	read          bool // the store has been read
	ownerRevision int64
	termRevision  int64
	cores         float64 // of the newest owner's host; 0 if unknown
	lease         kv.LeaseID
}

// TermRevision returns the store revision of the term key, a condition of writes addressed to the owner in that term.
func (s State) TermRevision() int64 { return s.termRevision }

// Lease returns the lease of the owner's record, or 0 if there is no owner.
func (s State) Lease() kv.LeaseID { return s.lease }

// acquirableBy reports whether self may acquire the partition: it has no owner, or its owner is a process with the same
// host and address as self, that is self or a previous process that has certainly ended.
func (s State) acquirableBy(self Record) bool {
	if !s.read {
		return false
	}
	return s.ownerRevision == 0 || (s.Owner.Host == self.Host && s.Owner.Address == self.Address)
}

// View is a local copy of all ownership records in the store.
type View struct {
	log *eventlog.Logger

	mu      sync.Mutex // guards the fields below
	read    bool       // Reset has been called
	items   map[string]kv.Item
	changed chan struct{} // closed and replaced on each change
}

// NewView returns an empty view. Reset and Apply are the callbacks of a mirror of statekeys.Owners.
func NewView(log *eventlog.Logger) *View {
	return &View{log: log, items: map[string]kv.Item{}, changed: make(chan struct{})}
}

// Reset replaces all records.
func (v *View) Reset(items []kv.Item) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.read = true
	clear(v.items)
	for _, item := range items {
		v.items[item.Key] = item
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
		} else {
			v.items[change.Item.Key] = change.Item
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
		v.decode(item, &state.Owner)
	}
	if item, found := v.items[statekeys.Term(p)]; found {
		var value termValue
		v.decode(item, &value)
		state.Term, state.termRevision, state.cores = value.Term, item.Revision, value.Cores
	}
	return state
}

func (v *View) decode(item kv.Item, out any) {
	if err := json.Unmarshal(item.Value, out); err != nil {
		v.log.Event(eventlog.RecordUnreadable).Str("key", item.Key).Err(err).Msg("")
	}
}
