package jobs

import (
	"context"
	"testing"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
)

// Guards against a job that is moved from a shard with an owner, moved twice, or reported as not moved although it
// was. The job could then run in two shards.
func TestRehome(t *testing.T) {
	cases := []struct {
		name   string
		owned  bool
		faults []fault
		want   error
	}{
		{"no owner", false, nil, nil},
		{"owner present", true, nil, ErrHasOwner},
		{"response lost", false, []fault{lostResponse}, nil},
		{"write delayed", false, []fault{delayed}, nil},
		{"no response", false, []fault{lostRequest, lostRequest, lostRequest}, ErrOutcomeUnknown},
		{"unreachable", false, []fault{unavailable}, ErrNotAccepted},
	}
	for _, c := range cases {
		f := newFakes()
		id := f.submit(t, nil, "k", 2).ID
		other := f.shards[0]
		other.Digest.Shard = structs.ShardID{Datacentre: "b"}
		f.shards = append(f.shards, other)
		if c.owned {
			f.newOwnerBatch(nil)
		}
		f.store.ScriptFaults(c.faults...)
		record, err := f.service().Rehome(context.Background(), id, OwnerAbsence{Shard: testShard, Revision: f.store.Revision()}, func(r *structs.JobRecord) { r.Tasks[0].State = structs.TaskUnknown })
		stored, _ := f.storedRecord(id)
		moved := stored.Record.Home == other.Digest.Shard && stored.Record.Tasks[0].State == structs.TaskUnknown
		if !errors.Is(err, c.want) || moved != (c.want == nil) || (moved && record.Home != stored.Record.Home) {
			t.Errorf("%s: %v, home %v", c.name, err, stored.Record.Home)
		}
	}
}
