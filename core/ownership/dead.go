package ownership

import (
	"time"

	"fulmarcourse.example/core/membership"
)

// Proof of death by refused connections.
const (
	// RefusalsNeeded refused connections in a row, over at least RefusalSpan, prove that no process listens on
	// an address. One alone may fall into the moment in which a starting process opens its socket.
	RefusalsNeeded = 3
	RefusalSpan    = 1 * time.Second
)

// maxDead bounds the set of processes proved dead. Dropping a proof is safe; it is then gathered again.
const maxDead = 1024

// deadSet holds processes that were proved dead. A process never comes back under the same incarnation.
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
// process is dead. Any result but a refusal starts the count anew.
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

// First returns the time of the first refusal in a row. A process that is proved dead was dead then.
func (r *Refusals) First() time.Time { return r.first }
