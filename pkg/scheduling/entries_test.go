package scheduling

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fulmarcourse.example/fulmarcourse/api/ownerpb"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// Guards against an announcement of another version, or a damaged one, that ends the owner's process or adds a job that no record
// belongs to.
func TestOddAnnouncementsAreRejected(t *testing.T) {
	server := &ownerServer{}
	for name, job := range map[string]string{
		"empty": "", "no text": "\xff", "null": "null", "no object": "7", "fields missing": "{}",
		"deeply nested": strings.Repeat("[", 300000), "large number": `{"id":"j","steps":[{"tasks":1e400}]}`,
		"20 digits": `{"id":"j","steps":[{"tasks":99999999999999999999}]}`, "other types": `{"id":7,"steps":"x"}`,
		"negative": `{"id":"j","steps":[{"tasks":-1}]}`, "no id": `{"steps":[{"tasks":1}]}`,
		"digits of 1 MiB": `{"id":"j","steps":[{"tasks":` + strings.Repeat("9", 1<<20) + `}]}`,
	} {
		_, err := server.AnnounceJob(t.Context(), &ownerpb.AnnounceJobRequest{Term: 1, Job: []byte(job)})
		if status.Code(err) != codes.InvalidArgument || len(err.Error()) > 1000 {
			t.Errorf("%s: error %.200v, want %v", name, err, codes.InvalidArgument)
		}
	}
}

// Scenario: another writer has left an owner's record without a lease, and the address in it refuses connections. Guards against
// hosts that try to end its lease at every tick: their calls take the store's rate limit from the owner, who replaces the record.
func TestRecordWithoutALeaseIsNotRevoked(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	store := kvtest.NewStore()
	var revocations atomic.Int32
	store.SetFault(func(call string) kvtest.Fault {
		if call == "Revoke" {
			revocations.Add(1)
		}
		return kvtest.None
	})
	n := NewNode(Config{Partitions: 1, Store: store, Log: eventlog.Discard(), Scope: tally.NoopScope})
	defer n.pool.Close()
	n.view.Reset([]kv.Item{{
		Key: statekeys.Owner(0), Revision: 3, Value: []byte(`{"host":"a","incarnation":"a1","address":"` + address + `","term":1}`),
	}})
	ctx, cancel := context.WithTimeout(t.Context(), 4*pingInterval)
	defer cancel()
	n.watchOwner(ctx, 0)
	if calls := revocations.Load(); calls > 0 {
		t.Errorf("%d calls within %v, want none", calls, 4*pingInterval)
	}
}
