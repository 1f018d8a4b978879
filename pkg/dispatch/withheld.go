package dispatch

import (
	"time"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

// withheldLeases records of which workers a relay has certainly withheld the leases. Owner.mu guards it.
type withheldLeases struct {
	since    map[schedule.WorkerID]time.Duration // boot time of the response to the update; void once another one has to be sent
	resets   int                                 // number of times at which all were void
	taken    int                                 // resets when the latest update was taken
	observed bool                                // the relay has stated that it observes Assignment.WithholdLeases
}

func newWithheldLeases() withheldLeases {
	return withheldLeases{since: map[schedule.WorkerID]time.Duration{}}
}

// reset voids everything: the relay may have lost its sessions, or may be another process.
func (w *withheldLeases) reset() {
	clear(w.since)
	w.resets++
	w.observed = false
}

// updateApplied records of which workers the relay withholds the leases from now on, unless the record was voided since the update
// was taken.
func (l *link) updateApplied(u relay.Update) {
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	if l.closed || l.withheld.resets != l.withheld.taken {
		return
	}
	for _, a := range u.Assign {
		if id := a.Worker.ID; a.WithholdLeases && l.workers[id].withhold && !l.assign[id] {
			l.withheld.since[id] = bootclock.Uptime()
		}
	}
}

// withheldSince returns the boot time since which the present relay of a worker has certainly withheld its leases; 0 if there is none.
// o.mu is held.
func (o *Owner) withheldSince(id schedule.WorkerID) time.Duration {
	if l, assigned := o.linkOf[id]; assigned && l.withheld.observed {
		return l.withheld.since[id]
	}
	return 0
}
