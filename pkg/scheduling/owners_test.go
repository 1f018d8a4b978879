package scheduling

import (
	"testing"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/api/ownerpb"
	"fulmarcourse.example/fulmarcourse/pkg/dispatch"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// confirmedOwnership returns an ownership that the store has just confirmed.
func confirmedOwnership(t *testing.T) *term.Ownership {
	t.Helper()
	view := term.NewView(eventlog.Discard())
	view.Reset(nil)
	ownership, err := term.NewCandidate(term.Config{
		Store: kvtest.NewStore(), Self: term.Record{Host: "host", Incarnation: "1", Address: "host:1"}, Cores: 1, Log: eventlog.Discard(),
	}, view).Acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return ownership
}

// Scenario: an owner has been replaced after an outage of the store and has not noticed it; a job has ended under the next one. Guards against a
// host that answers "running" for a job that was shown as completed (soak 50300047).
func TestUnconfirmedOwnerLeavesTheStateToTheStore(t *testing.T) {
	unconfirmed := func(*testing.T) *term.Ownership {
		return term.NewOwnership(term.Config{Store: kvtest.NewStore(), Log: eventlog.Discard()}, 1, 1)
	}
	for name, c := range map[string]struct {
		ownership        func(*testing.T) *term.Ownership
		reachable, ended bool
		known            bool
	}{
		"confirmed":                  {confirmedOwnership, true, false, true},
		"not confirmed":              {unconfirmed, true, false, false},
		"the store does not respond": {unconfirmed, false, false, true},
		"final states do not change": {unconfirmed, true, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			const id = workload.JobID("000000000000000a")
			ownership := c.ownership(t)
			owner := dispatch.NewOwner(dispatch.Config{Host: "host", Store: kvtest.NewStore(), Log: eventlog.Discard(), Scope: tally.NoopScope}, ownership)
			owner.Announce(workload.Job{ID: id, Steps: []workload.Step{{Tasks: 1, Size: structs.Resources{MilliCPU: 1000}}}})
			if c.ended {
				owner.Cancel(id)
			}
			n := &Node{
				cfg:         Config{Partitions: 1, Reachable: func() bool { return c.reachable }},
				localOwners: map[statekeys.Partition]*dispatch.Owner{0: owner},
			}
			reply, err := (&ownerServer{node: n}).JobState(t.Context(), &ownerpb.JobStateRequest{Term: ownership.Term, Job: string(id)})
			if err != nil || reply.Known != c.known {
				t.Errorf("another host is answered %v, error %v, want known: %t", reply, err, c.known)
			}
			_, known, err := (&ownerClients{n}).JobState(t.Context(), 0, term.State{Term: ownership.Term}, id)
			if err != nil || known != c.known {
				t.Errorf("a caller of this host is answered known: %t, error %v, want %t", known, err, c.known)
			}
		})
	}
}
