// Package permit decides whether tasks may start in a data centre now.
//
// Operators take a data centre out of service by a write to the store. No task may start there more than
// PermitTTL later, so every start requires evidence, less than PermitTTL old, that the data centre is in service. The
// evidence is a time-limited grant, as in leases (Gray and Cheriton, 1989): it expires without a message.
//
// Evidence is one of:
//
//   - a store read that shows the data centre in service, by this host or relayed by a peer with its original
//     age. A peer's read applies to this host's state only if both have the same control revision;
//   - while no member can reach the store, a fresh statement by every registered member of all data centres that
//     it has no newer control state, has attempted no removal and cannot reach the store either. A removal is a
//     write to the store, so it requires a member that can reach the store.
//
// Limitation: a member that registered after this host last read the registry, while all other members are
// partitioned from the store, can remove a data centre without the others learning of it. The report on a removal
// must therefore name the members that have not confirmed it.
//
// All times are measured by this host's monotonic clock and are no later than the true time of the evidence.
package permit

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// PermitTTL is the age at which evidence that a data centre is in service expires.
const PermitTTL = 3 * time.Second

// Reason is the reason for a decision.
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
	Revision         int64     // store revision of the control state
	ReadAt           time.Time // send time of the store read that it came from, own or relayed; zero if none
	Datacentre       structs.DatacentreState
	RemovalAttempted bool // this host attempted a removal and the result is unknown
}

// Statement is the control state of a member as stated in its latest reply to a heartbeat.
type Statement struct {
	SentAt           time.Time // send time of the heartbeat that the reply answers
	Revision         int64     // store revision of the member's control state
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

// Decision is the result of Decide.
type Decision struct {
	Allowed bool
	Reason  Reason
	Until   time.Time      // time at which the permit expires without further evidence; zero if not allowed
	Member  structs.HostID // member because of which starts are not allowed, if any
}

// Decide returns whether tasks may start at now in the data centre that in.State describes.
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
	// A newer revision may contain a removal, so this host must read it before older evidence counts. Members that
	// read the store at different times have different revisions; this is irrelevant while this host's read is fresh.
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

// relayedRead returns the time of the latest store read by a member with this host's control revision, zero if there
// is none.
func relayedRead(in Input) time.Time {
	var latest time.Time
	for _, statement := range in.Statements {
		if statement.Revision == in.State.Revision && statement.ReadAt.After(latest) {
			latest = statement.ReadAt
		}
	}
	return latest
}

// decideWithoutStore decides from the statements of all registered members. The caller has found no fresh store read.
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
