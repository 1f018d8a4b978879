package dispatch

import (
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// resumption holds planning back after this process was paused, or its machine suspended, for so long that another entry host
// may have taken over. What the owner knows is as old as the pause: workers may have announced their end and jobs may have
// been cancelled since. Planning goes on once the store has confirmed the ownership and the list of workers was read again.
// The zero value holds nothing back.
type resumption struct {
	plannedAt time.Duration // boot time of the last call of holds; 0 before the first
	listedAt  time.Duration // boot time at which the list of workers was last read
	since     time.Duration // boot time at which the pause was noticed; 0 unless planning is held back
}

// holds reports, before a planning run, whether it is held back. validUntil is the time up to which the store has confirmed the
// ownership. While the store fails, planning goes on unless the process was paused as well. pausedFor is not 0 if the process
// has just gone on.
func (r *resumption) holds(now, validUntil time.Duration) (held bool, pausedFor time.Duration) {
	confirmed := now < validUntil
	if r.plannedAt > 0 && now-r.plannedAt >= term.TTL && !confirmed {
		r.since, pausedFor = now, now-r.plannedAt
	}
	if confirmed && r.listedAt > r.since {
		r.since = 0
	}
	r.plannedAt = now
	return r.since > 0, pausedFor
}
