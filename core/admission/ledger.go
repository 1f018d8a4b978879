package admission

import (
	"sort"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
)

// ErrNoSlot means that a runner has no free slot or accepts no new requests.
const ErrNoSlot = errors.ConstError("runner has no free slot")

// Slot is one taken slot of a runner. It is released exactly once.
type Slot struct {
	Runner  structs.HostID
	Address string // IP:port of the runner
	Since   time.Time

	released bool
}

// runner is the slot account of one runner. Invariant: a slot is added to taken only while len(taken) < slots and the
// runner is not leaving.
type runner struct {
	id      structs.HostID
	address string
	slots   int
	leaving bool // the host list marks it as leaving or no longer contains it
	taken   []*Slot
	limit   Limit
	health  Health
}

// free returns the number of slots that can be taken.
func (r *runner) free() int {
	if r.leaving || len(r.taken) >= r.slots {
		return 0
	}
	return r.slots - len(r.taken)
}

// withinLimit reports whether one more request stays within the adaptive limit.
func (r *runner) withinLimit() bool { return len(r.taken) < r.limit.Value(r.slots) }

// Ledger keeps the exact count of taken slots per runner. A runner that disappears from the host list keeps its account
// until its last slot is released, so that its slots cannot be taken twice when it returns.
type Ledger struct {
	runners []*runner // sorted by id
	byID    map[structs.HostID]*runner
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{byID: map[structs.HostID]*runner{}} }

// SetRunners replaces the list of runners. Runners that stay in the list keep their counts. A runner whose slot count
// shrinks below its taken slots gets no new request until enough of them are released.
func (l *Ledger) SetRunners(hosts []structs.Host) {
	listed := make(map[structs.HostID]bool, len(hosts))
	for _, host := range hosts {
		listed[host.ID] = true
		r, known := l.byID[host.ID]
		if !known {
			r = &runner{id: host.ID}
			l.byID[host.ID] = r
		}
		if r.address != host.Address {
			// A new address means a new process, whose speed is not known yet.
			r.address, r.health, r.limit = host.Address, Health{}, Limit{}
		}
		r.slots = max(0, host.Slots)
		r.leaving = host.State != structs.HostLive
	}
	for id, r := range l.byID {
		if !listed[id] {
			r.leaving = true
			if len(r.taken) == 0 {
				delete(l.byID, id)
			}
		}
	}
	l.sort()
}

func (l *Ledger) sort() {
	l.runners = l.runners[:0]
	for _, r := range l.byID {
		l.runners = append(l.runners, r)
	}
	sort.Slice(l.runners, func(i, j int) bool { return l.runners[i].id < l.runners[j].id })
}

// Take takes one slot of runner id. It returns ErrNoSlot if there is none.
func (l *Ledger) Take(now time.Time, id structs.HostID) (*Slot, error) {
	r, known := l.byID[id]
	if !known || r.free() == 0 {
		return nil, errors.Annotatef(ErrNoSlot, "runner %s", id)
	}
	slot := &Slot{Runner: id, Address: r.address, Since: now}
	r.taken = append(r.taken, slot)
	return slot, nil
}

// Release frees a slot. It returns false and changes nothing if the slot was already released.
func (l *Ledger) Release(slot *Slot) bool {
	if slot.released {
		return false
	}
	slot.released = true
	r := l.byID[slot.Runner]
	for i, taken := range r.taken {
		if taken == slot {
			r.taken = append(r.taken[:i], r.taken[i+1:]...)
			break
		}
	}
	return true
}

// Totals holds slot counts summed over runners.
type Totals struct {
	Slots int // all slots of runners that are not leaving
	Free  int // slots that can be taken now
	Taken int // taken slots, including those of leaving runners
}

// Totals returns the slot counts of all runners.
func (l *Ledger) Totals() Totals {
	var t Totals
	for _, r := range l.runners {
		t.Taken += len(r.taken)
		if !r.leaving {
			t.Slots += r.slots
			t.Free += r.free()
		}
	}
	return t
}
