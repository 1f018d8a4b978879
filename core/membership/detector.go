package membership

import "time"

// Heartbeat intervals. A heartbeat crosses data centres less often because those links cost more.
const (
	LocalInterval  = 500 * time.Millisecond // within a data centre
	RemoteInterval = 1 * time.Second        // to other data centres
)

// Thresholds of the failure detector, in missed heartbeats.
const (
	// SuspectAfterMissed is 3, so that one lost heartbeat and one slow one leave a peer live.
	SuspectAfterMissed = 3
	// DeadAfterMissed is 8: 4 s within a data centre, the time after which a silent owner has lost its lease.
	DeadAfterMissed = 8
)

// ForgetAfter is how long a dead member stays in the table, so that late messages of it are recognised.
const ForgetAfter = 10 * time.Minute

// State is the verdict of the failure detector.
type State int

// States of a member.
const (
	Live    State = iota + 1 // heartbeats arrive in both directions
	Suspect                  // several heartbeats missed in a direction, or not yet seen in both
	Dead                     // silent for the dead threshold
	Leaving                  // shuts down gracefully; receives no new work
)

// String returns the name used in logs.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Leaving:
		return "leaving"
	}
	return "unknown"
}

// contact is when a peer was last heard in each direction.
type contact struct {
	firstSeen    time.Time
	lastReceived time.Time // receipt of the latest heartbeat that the peer sent; zero if none
	lastReplied  time.Time // send time of our latest heartbeat that the peer answered; zero if none
}

// silence returns how long the worse direction has been silent.
func (c contact) silence(now time.Time) time.Duration {
	received, replied := later(c.firstSeen, c.lastReceived), later(c.firstSeen, c.lastReplied)
	if replied.Before(received) {
		return now.Sub(replied)
	}
	return now.Sub(received)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// bothWays reports whether each direction has worked at least once.
func (c contact) bothWays() bool { return !c.lastReceived.IsZero() && !c.lastReplied.IsZero() }

// verdict returns the state of a peer with heartbeats every interval.
func verdict(c contact, leaving bool, interval time.Duration, now time.Time) State {
	silent := c.silence(now)
	switch {
	case silent > DeadAfterMissed*interval:
		return Dead
	case leaving:
		return Leaving
	case silent > SuspectAfterMissed*interval || !c.bothWays():
		return Suspect
	}
	return Live
}
