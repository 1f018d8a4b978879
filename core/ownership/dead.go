package ownership

import (
	"time"

	"fulmarcourse.example/core/membership"
)

// Thresholds for the proof of death by refused connections.
const (
	// RefusalsNeeded consecutive refused connections, over at least RefusalSpan, prove that no process listens on
	// an address. A single refusal can also come from a process that is starting and has not opened its socket yet.
	RefusalsNeeded = 3
	RefusalSpan    = 1 * time.Second
)

// maxDead bounds the set of processes proved dead. Dropping a proof is safe, because it can be obtained again.
const maxDead = 1024

// deadSet is the set of processes proved dead. Entries stay valid, because a restarted process has a new incarnation.
type deadSet map[membership.Process]struct{}

func (d deadSet) has(p membership.Process) bool {
	_, dead := d[p]
	return dead
}

func (d deadSet) add(p membership.Process) {
	if len(d) >= maxDead {
		clear(d)
	}
	d[p] = struct{}{}
}

// Refusals counts refused connections to one address.
type Refusals struct {
	count int
	first time.Time
}

// Record adds the result of a connection attempt made at `at` and reports whether the refusals prove that the
// process is dead. Any other result resets the count.
func (r *Refusals) Record(refused bool, at time.Time) bool {
	if !refused {
		*r = Refusals{}
		return false
	}
	if r.count == 0 {
		r.first = at
	}
	r.count++
	return r.count >= RefusalsNeeded && at.Sub(r.first) >= RefusalSpan
}

// First returns the time of the first of the consecutive refusals. A process that is proved dead was dead by then.
func (r *Refusals) First() time.Time { return r.first }
