// Package permit decides whether tasks may start in a data centre now.
//
// Operators take a data centre out of service by a write to the store. No task may start there more than
// PermitTTL later, so every start needs evidence, at most PermitTTL old, that the data centre is in service. The
// evidence is a time-limited grant, as in leases (Gray and Cheriton, 1989): it ends without a message.
//
// Evidence is one of:
//
//   - a store read that shows the data centre in service, by this host or relayed by a peer with its original
//     age. A peer's read relates to this host's state only if both know the same control revision;
//   - while the store is unreachable for everyone, a fresh statement of every registered member of all data
//     centres that it knows no newer control state, attempted no removal and cannot reach the store either. A
//     removal needs the store, and so a member that reached it.
//
// Not covered: a member that registered after the registry was last read here, while every other member is cut
// off from the store, can remove a data centre without the knowledge of the others. The removal's report must
// therefore name the members that have not confirmed it.
//
// All times are of this host's monotonic clock and no later than the true time of the evidence.
package permit

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// PermitTTL is the age at which evidence that a data centre is in service ends.
const PermitTTL = 3 * time.Second

// Reason explains a decision.
type Reason string

// Reasons of decisions.
const (
	StoreConfirmed   Reason = "a store read confirms that the data centre is in service"
	MembersConfirmed Reason = "the store is unreachable for everyone and all members confirm that nothing changed"
	OutOfService     Reason = "the data centre is out of service"
	NoState          Reason = "no control state has been read"
	RemovalPending   Reason = "a removal from service was attempted and its result is not known"
	NewerState       Reason = "a member knows newer control state"
	NoFreshStatement Reason = "a registered member has made no fresh statement"
	StoreReachable   Reason = "a member reaches the store, but this host has no fresh confirmation"
	NoOtherMembers   Reason = "the store is unreachable and there is no other member to confirm"
)

// State is this host's control state.
type State struct {
	Revision         int64     // store revision up to which it is known
	ReadAt           time.Time // send time of the store read behind it, its own or relayed; zero if none
	Datacentre       structs.DatacentreState
	RemovalAttempted bool // this host attempted a removal and does not know the result
}

// Statement is what a member said in its latest answer to a heartbeat.
type Statement struct {
	SentAt           time.Time // send time of the heartbeat that it answers
	Revision         int64     // control revision that the member knows
	ReadAt           time.Time // send time of the member's store read, by this host's clock; zero if none
	RemovalAttempted bool
}

// Input is the evidence for a decision.
type Input struct {
	State State
	// Registered are the other members of all data centres in the registry of State.
	Registered []structs.HostID
	Statements map[structs.HostID]Statement
}

// Decision says whether tasks may start.
type Decision struct {
	Allowed bool
	Reason  Reason
	Until   time.Time      // end of the permit without further evidence; zero if not allowed
	Member  structs.HostID // the member that a refusal is about, if any
}

// Decide returns whether tasks may start in the data centre of in.State at now.
func Decide(in Input, now time.Time) Decision {
	switch {
	case in.State.ReadAt.IsZero():
		return Decision{Reason: NoState}
	case in.State.Datacentre == structs.DatacentreOut:
		return Decision{Reason: OutOfService}
	case in.State.RemovalAttempted:
		return Decision{Reason: RemovalPending}
	}
	if fresh(in.State.ReadAt, now) {
		return confirmed(in.State.ReadAt)
	}
	// A newer revision may hold a removal, so it is fetched before older evidence counts. Members that read the
	// store at different moments differ in their revisions; that does not matter while the own read is fresh.
	for host, statement := range in.Statements {
		if statement.Revision > in.State.Revision {
			return Decision{Reason: NewerState, Member: host}
		}
	}
	if readAt := relayedRead(in); fresh(readAt, now) {
		return confirmed(readAt)
	}
	return decideWithoutStore(in, now)
}

func confirmed(readAt time.Time) Decision {
	return Decision{Allowed: true, Reason: StoreConfirmed, Until: readAt.Add(PermitTTL)}
}

// relayedRead returns the latest store read of a member that shows the state of this host, zero if there is none.
func relayedRead(in Input) time.Time {
	var latest time.Time
	for _, statement := range in.Statements {
		if statement.Revision == in.State.Revision && statement.ReadAt.After(latest) {
			latest = statement.ReadAt
		}
	}
	return latest
}

// decideWithoutStore decides from the statements of all members. No fresh store read is known.
func decideWithoutStore(in Input, now time.Time) Decision {
	if len(in.Registered) == 0 {
		return Decision{Reason: NoOtherMembers}
	}
	until := now.Add(PermitTTL)
	for _, host := range in.Registered {
		statement := in.Statements[host]
		switch {
		case !fresh(statement.SentAt, now):
			return Decision{Reason: NoFreshStatement, Member: host}
		case statement.RemovalAttempted:
			return Decision{Reason: RemovalPending, Member: host}
		case fresh(statement.ReadAt, now):
			return Decision{Reason: StoreReachable, Member: host}
		}
		if end := statement.SentAt.Add(PermitTTL); end.Before(until) {
			until = end
		}
	}
	return Decision{Allowed: true, Reason: MembersConfirmed, Until: until}
}

func fresh(at, now time.Time) bool { return !at.IsZero() && now.Before(at.Add(PermitTTL)) }
