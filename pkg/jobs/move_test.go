package jobs

import (
	"context"
	"testing"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
)

// Guards against a job that is taken from a shard that has an owner, moved twice, or reported as not moved when it
// was. A job with two homes would run in two places.
func TestRehome(t *testing.T) {
	cases := []struct {
		name   string
		owned  bool
		faults []fault
		want   error
	}{
		{"no owner", false, nil, nil},
		{"owner present", true, nil, ErrHasOwner},
		{"answer lost", false, []fault{lostAnswer}, nil},
		{"lands late", false, []fault{delayed}, nil},
		{"store silent", false, []fault{lostRequest, lostRequest, lostRequest}, ErrUnknown},
		{"unreachable", false, []fault{unavailable}, ErrNotAccepted},
	}
	for _, c := range cases {
		w := newWorld()
		id := w.submit(t, nil, "k", 2).ID
		other := w.shards[0]
		other.Digest.Shard = structs.ShardID{Datacentre: "b"}
		w.shards = append(w.shards, other)
		if c.owned {
			w.own(nil)
		}
		w.store.ScriptFaults(c.faults...)
		record, err := w.service().Rehome(context.Background(), id, Absence{Shard: testShard, Revision: w.store.Revision()}, func(r *structs.JobRecord) { r.Tasks[0].State = structs.TaskUnknown })
		stored, _ := w.stored(id)
		moved := stored.Record.Home == other.Digest.Shard && stored.Record.Tasks[0].State == structs.TaskUnknown
		if !errors.Is(err, c.want) || moved != (c.want == nil) || (moved && record.Home != stored.Record.Home) {
			t.Errorf("%s: %v, home %v", c.name, err, stored.Record.Home)
		}
	}
}
