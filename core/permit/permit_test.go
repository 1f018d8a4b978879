package permit

import (
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
)

var now = time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)

func ago(d time.Duration) time.Time { return now.Add(-d) }

// storeDown returns the evidence while no member has reached the store for a minute, with fresh statements by b and c.
func storeDown() Input {
	statement := Statement{SentAt: ago(time.Second), Revision: 7, ReadAt: ago(time.Minute)}
	return Input{
		State:      State{Revision: 7, ReadAt: ago(time.Minute), Datacentre: structs.DatacentreIn},
		Registered: []structs.HostID{"b", "c"},
		Statements: map[structs.HostID]Statement{"b": statement, "c": statement},
	}
}

// Guards against task starts in a data centre that operators may have taken out of service more than PermitTTL
// ago, and against refusals while the evidence is sufficient.
func TestDecide(t *testing.T) {
	change := func(edit func(s *Statement)) func(in *Input) {
		return func(in *Input) {
			statement := in.Statements["b"]
			edit(&statement)
			in.Statements["b"] = statement
		}
	}
	cases := []struct {
		name  string
		edit  func(in *Input)
		want  Reason
		until time.Duration // from now; only for permits
	}{
		{"all members confirm", func(in *Input) {}, MembersConfirmed, 2 * time.Second},
		{"own read", func(in *Input) { in.State.ReadAt = ago(time.Second) }, StoreConfirmed, 2 * time.Second},
		{"fresh own read while another member has a newer revision", func(in *Input) {
			in.State.ReadAt = ago(time.Second)
			change(func(s *Statement) { s.Revision = 8 })(in)
		}, StoreConfirmed, 2 * time.Second},
		{"relayed read", change(func(s *Statement) { s.ReadAt = ago(2 * time.Second) }), StoreConfirmed, time.Second},
		{"read of exactly PermitTTL ago", func(in *Input) {
			in.State.ReadAt = ago(PermitTTL)
			in.Registered = nil
		}, NoOtherMembers, 0},
		{"never read", func(in *Input) { in.State.ReadAt = time.Time{} }, NoState, 0},
		{"out of service", func(in *Input) { in.State.Datacentre = structs.DatacentreOut; in.State.ReadAt = now }, OutOfService, 0},
		{"own removal with unknown result", func(in *Input) { in.State.RemovalAttempted = true; in.State.ReadAt = now }, RemovalPending, 0},
		{"removal by another member with unknown result", change(func(s *Statement) { s.RemovalAttempted = true }), RemovalPending, 0},
		{"newer state at another member", change(func(s *Statement) { s.Revision = 8 }), NewerState, 0},
		{"newer state at a member that is not registered", func(in *Input) {
			in.Statements["x"] = Statement{SentAt: now, Revision: 8}
		}, NewerState, 0},
		{"member with older state reaches the store", change(func(s *Statement) { s.Revision = 6; s.ReadAt = now }), StoreReachable, 0},
		{"no statement by a member", func(in *Input) { delete(in.Statements, "c") }, NoFreshStatement, 0},
		{"expired statement", change(func(s *Statement) { s.SentAt = ago(PermitTTL) }), NoFreshStatement, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := storeDown()
			c.edit(&in)
			got := Decide(in, now)
			if got.Reason != c.want {
				t.Fatalf("got %q, want %q", got.Reason, c.want)
			}
			if got.Allowed != (c.until > 0) || got.Allowed && !got.Until.Equal(now.Add(c.until)) {
				t.Fatalf("allowed %v until %v", got.Allowed, got.Until)
			}
		})
	}
}
