package dispatch

import (
	"time"

	"fulmarcourse.example/core/schedule"
)

// pollTime is when a relay has sent a poll.
type pollTime struct {
	relay time.Duration // boot clock of the relay
	owner time.Duration // boot clock of this host; not later than the actual time
}

// pollOrder converts the times at which a relay has sent polls to this host's boot clock and keeps their order. A single
// conversion is too early by the time that its Collect call took up to the relay's reading of its clock, so that times of
// different calls cannot be compared. The relay's own clock tells the order of its polls. The zero value is ready for use.
type pollOrder struct {
	latest map[schedule.WorkerID]pollTime // of the polls whose reports were applied, the one that was sent last
}

// convert returns the time of a poll on this host's boot clock, given its time on the relay's clock and a lower bound of the
// result. ok is false if the report on a later poll is known: the answers to the polls have overtaken each other.
func (p *pollOrder) convert(id schedule.WorkerID, relay, atLeast time.Duration) (sentAt time.Duration, ok bool) {
	latest, known := p.latest[id]
	if known && relay < latest.relay {
		return 0, false
	}
	if known {
		atLeast = max(atLeast, latest.owner)
	}
	if p.latest == nil {
		p.latest = map[schedule.WorkerID]pollTime{}
	}
	p.latest[id] = pollTime{relay: relay, owner: atLeast}
	return atLeast, true
}

// forget drops what is known about a worker that the relay no longer polls.
func (p *pollOrder) forget(id schedule.WorkerID) { delete(p.latest, id) }

// reset drops what is known about all workers: the relay's boot clock may have been set back by a reboot.
func (p *pollOrder) reset() { clear(p.latest) }
