package membership

import (
	"cmp"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// rttGainDivisor is the reciprocal of the weight of a new sample in the round-trip estimate. The weight is 1/8 as in
// TCP (Jacobson, "Congestion Avoidance and Control", 1988).
const rttGainDivisor = 8

// Report is the state of a member as reported by itself in one message.
type Report struct {
	Process
	Datacentre       structs.DatacentreID
	PeerAddr         string // IP:port of its gRPC interface
	Leaving          bool
	MayClaim         bool   // the process has an entry in the member registry, so it may claim shards
	Sequence         uint64 // increases with every message of this incarnation
	ControlRevision  int64  // store revision of the member's control state
	RemovalAttempted bool   // it attempted to take a data centre out of service and the result is unknown
}

// Withdrawn reports whether the process has permanently withdrawn from claiming. A process that may not claim but is
// not leaving may have registered since it sent the report; only the registry shows this.
func (r Report) Withdrawn() bool { return r.Leaving && !r.MayClaim }

// Member is a snapshot of the state of one peer.
type Member struct {
	Report
	State         State
	LastReceived  time.Time     // receipt of the latest heartbeat that the peer sent; zero if none
	LastReplied   time.Time     // send time of the latest heartbeat that it answered, zero if none; Report is as recent
	ControlReadAt time.Time     // no later than the send time of the store read that gave ControlRevision; zero if unknown
	RTT           time.Duration // smoothed round-trip time of heartbeats; 0 before the first reply
}

// Outcome is the result of an Observe call.
type Outcome int

// Outcomes of Observe calls.
const (
	Accepted  Outcome = iota + 1 // the report is the newest of this peer
	Reordered                    // a newer report of the same incarnation is known; the report was ignored
	Replaced                     // the first report of another incarnation, which replaces the known one
	Stale                        // from an older incarnation or this host's id; the message was ignored completely
)

type entry struct {
	report          Report
	contact         contact
	controlReadAt   time.Time
	rtt             time.Duration
	hostListLeaving bool // the platform's host list marks the host as leaving
}

// Table holds the state of the peers of one process. It has no entry for the process itself.
type Table struct {
	self    Process
	dc      structs.DatacentreID
	entries map[structs.HostID]*entry
}

// NewTable returns an empty Table for process self in data centre dc.
func NewTable(self Process, dc structs.DatacentreID) *Table {
	return &Table{self: self, dc: dc, entries: make(map[structs.HostID]*entry)}
}

// ObserveRequest records a heartbeat received from a peer. It returns the peer's former process if the outcome is
// Replaced.
func (t *Table) ObserveRequest(r Report, receivedAt time.Time) (Outcome, Process) {
	e, outcome, former := t.upsert(r, receivedAt)
	// A reordered request may have been in transit for a long time, so it does not show that the link works now.
	if outcome == Accepted || outcome == Replaced {
		e.contact.lastReceived = receivedAt
	}
	return outcome, former
}

// ObserveReply records the reply to a heartbeat sent at sentAt. controlAge is the age of the peer's control state
// when it replied, negative if the peer never read it. The age is subtracted from sentAt, which is earlier than the
// reply, so the read can appear older than it is but never newer. It returns the peer's former process if the
// outcome is Replaced.
func (t *Table) ObserveReply(r Report, sentAt, receivedAt time.Time, controlAge time.Duration) (Outcome, Process) {
	e, outcome, former := t.upsert(r, receivedAt)
	if outcome == Stale {
		return outcome, former
	}
	if sentAt.After(e.contact.lastReplied) {
		e.contact.lastReplied = sentAt
	}
	if readAt := sentAt.Add(-controlAge); controlAge >= 0 && readAt.After(e.controlReadAt) {
		e.controlReadAt = readAt
	}
	e.rtt = smoothRTT(e.rtt, receivedAt.Sub(sentAt))
	return outcome, former
}

// upsert finds or creates the entry for a report and stores the report if it is the newest.
func (t *Table) upsert(r Report, now time.Time) (*entry, Outcome, Process) {
	if r.Host == t.self.Host {
		return nil, Stale, Process{}
	}
	e, known := t.entries[r.Host]
	if !known {
		e = &entry{report: r, contact: contact{firstSeen: now}}
		t.entries[r.Host] = e
		return e, Accepted, Process{}
	}
	if e.report.Incarnation != r.Incarnation {
		former := e.report.Process
		// A host whose wall clock was set back across a restart has a smaller incarnation. It is accepted once the
		// former process is dead.
		if !Newer(r.Incarnation, former.Incarnation) && t.state(e, now) != Dead {
			return nil, Stale, Process{}
		}
		*e = entry{report: r, contact: contact{firstSeen: now}}
		return e, Replaced, former
	}
	if r.Sequence <= e.report.Sequence {
		return e, Reordered, Process{}
	}
	e.report = r
	return e, Accepted, Process{}
}

// SetHostListLeaving records whether the platform's host list marks host as leaving.
func (t *Table) SetHostListLeaving(host structs.HostID, leaving bool) {
	if e, known := t.entries[host]; known {
		e.hostListLeaving = leaving
	}
}

// Members returns all peers, sorted by host.
func (t *Table) Members(now time.Time) []Member {
	members := make([]Member, 0, len(t.entries))
	for _, e := range t.entries {
		members = append(members, t.view(e, now))
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return members
}

// Member returns the state of the peer on host and whether the peer is known.
func (t *Table) Member(host structs.HostID, now time.Time) (Member, bool) {
	e, known := t.entries[host]
	if !known {
		return Member{}, false
	}
	return t.view(e, now), true
}

// RemoveSilent removes members that have been silent for longer than RemoveAfter and returns them.
func (t *Table) RemoveSilent(now time.Time) []Process {
	var removed []Process
	for host, e := range t.entries {
		if e.contact.silence(now) > RemoveAfter {
			removed = append(removed, e.report.Process)
			delete(t.entries, host)
		}
	}
	return removed
}

func (t *Table) view(e *entry, now time.Time) Member {
	return Member{
		Report:        e.report,
		State:         t.state(e, now),
		LastReceived:  e.contact.lastReceived,
		LastReplied:   e.contact.lastReplied,
		ControlReadAt: e.controlReadAt,
		RTT:           e.rtt,
	}
}

func (t *Table) state(e *entry, now time.Time) State {
	return detectState(e.contact, e.report.Leaving || e.hostListLeaving, t.interval(e.report.Datacentre), now)
}

func (t *Table) interval(dc structs.DatacentreID) time.Duration {
	if dc == t.dc {
		return LocalInterval
	}
	return RemoteInterval
}

func smoothRTT(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/rttGainDivisor
}
