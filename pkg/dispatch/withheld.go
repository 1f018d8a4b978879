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

// recordWithheld records of which workers the relay withholds the leases from now on, unless the record was voided since the update
// was taken. Owner.mu is held.
func (l *link) recordWithheld(u relay.Update) {
	if l.closed || l.withheld.resets != l.withheld.taken {
		return
	}
	for _, a := range u.Assign {
		if id := a.Worker.ID; a.WithholdLeases && l.workers[id].withhold && !l.assign[id] {
			l.withheld.since[id] = bootclock.Uptime()
		}
	}
}

// withheldSince returns the boot time since which the present relay of a worker has certainly withheld its leases; 0 if there is none,
// or if a former one may not have stopped yet: that one may extend them. o.mu is held.
func (o *Owner) withheldSince(id schedule.WorkerID) time.Duration {
	for _, former := range o.links {
		if former.leaving[id] {
			return 0
		}
	}
	if l, assigned := o.linkOf[id]; assigned && l.withheld.observed {
		return l.withheld.since[id]
	}
	return 0
}
