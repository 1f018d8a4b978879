package membership

import "time"

// Heartbeat intervals. The interval between data centres is longer because those links cost more.
const (
	LocalInterval  = 500 * time.Millisecond // within a data centre
	RemoteInterval = 1 * time.Second        // to other data centres
)

// Thresholds of the failure detector, in missed heartbeats.
const (
	// SuspectAfterMissed is 3, so that a peer stays live after one lost and one slow heartbeat.
	SuspectAfterMissed = 3
	// DeadAfterMissed is 8: 4 s within a data centre, the time after which the lease of a silent owner has expired.
	DeadAfterMissed = 8
)

// RemoveAfter is the silence after which a member is removed from the table. Dead members are kept until then, so
// that late messages from them are recognised.
const RemoveAfter = 10 * time.Minute

// State is the state of a member as determined by the failure detector.
type State int

// States of a member.
const (
	Live    State = iota + 1 // recent heartbeats in both directions
	Suspect                  // several heartbeats missed in a direction, or none yet in one of them
	Dead                     // a direction has been silent for longer than the dead threshold
	Leaving                  // shutting down gracefully; receives no new work
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

// contact holds the times of the latest heartbeats in each direction.
type contact struct {
	firstSeen    time.Time
	lastReceived time.Time // receipt of the latest heartbeat that the peer sent; zero if none
	lastReplied  time.Time // send time of the latest heartbeat to the peer that it answered; zero if none
}

// silence returns the time since the last contact in the direction that has been silent for longer.
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

// bidirectional reports whether a heartbeat has succeeded in each direction.
func (c contact) bidirectional() bool { return !c.lastReceived.IsZero() && !c.lastReplied.IsZero() }

// detectState returns the state of a peer whose heartbeat interval is interval.
func detectState(c contact, leaving bool, interval time.Duration, now time.Time) State {
	silent := c.silence(now)
	switch {
	case silent > DeadAfterMissed*interval:
		return Dead
	case leaving:
		return Leaving
	case silent > SuspectAfterMissed*interval || !c.bidirectional():
		return Suspect
	}
	return Live
}
