package store_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/pkg/store"
	"fulmarcourse.example/fulmarcourse/test/faultproxy"
)

// start runs a fake store and returns it with a client of it.
func start(t *testing.T, cfg standin.StoreConfig) (*standin.Store, *store.Client) {
	t.Helper()
	s := standin.NewStore(cfg)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, store.NewClient(store.Config{Endpoint: server.URL, Clock: cfg.Clock})
}

// put writes a key without conditions and returns its revision.
func put(t *testing.T, c *store.Client, key, value string, lease store.LeaseID) int64 {
	t.Helper()
	result, err := c.Txn(t.Context(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value), Lease: lease}}})
	if err != nil || !result.Applied {
		t.Fatalf("put %s: %+v, error %v", key, result, err)
	}
	return result.Revision
}

func exists(t *testing.T, c *store.Client, key string) bool {
	t.Helper()
	_, ok, err := c.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	return ok
}

// Guards against a comparison that is not sent: create-if-absent must apply once, and when it fails it must return the
// existing record, whose nonce callers compare with their own.
func TestCreateIfAbsent(t *testing.T) {
	_, c := start(t, standin.StoreConfig{})
	create := func(value string) store.TxnResult {
		result, err := c.Txn(t.Context(), store.Txn{
			Compares:   []store.Compare{{Key: "k", Target: store.CompareCreateRevision, Revision: 0}},
			Puts:       []store.Put{{Key: "k", Value: []byte(value)}},
			ReadOnFail: []string{"k", "absent"},
		})
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	first, second := create("one"), create("two")
	if !first.Applied || len(first.Read) != 0 {
		t.Errorf("first create: %+v", first)
	}
	if second.Applied || second.Revision != first.Revision || len(second.Read) != 1 || string(second.Read[0].Value) != "one" {
		t.Errorf("second create: %+v", second)
	}
}

// Guards against a compare-and-swap that ignores the revision, and against a deletion without effect.
func TestCompareModRevision(t *testing.T) {
	_, c := start(t, standin.StoreConfig{})
	created := put(t, c, "k", "one", 0)
	changed := put(t, c, "k", "two", 0)
	remove := func(revision int64) bool {
		result, err := c.Txn(t.Context(), store.Txn{
			Compares: []store.Compare{{Key: "k", Target: store.CompareModRevision, Revision: revision}},
			Deletes:  []string{"k"},
		})
		if err != nil {
			t.Fatal(err)
		}
		return result.Applied
	}
	kv, _, err := c.Get(t.Context(), "k")
	if err != nil || kv.CreateRevision != created || kv.ModRevision != changed || string(kv.Value) != "two" {
		t.Errorf("entry %+v, error %v", kv, err)
	}
	if remove(created) || !exists(t, c, "k") {
		t.Error("deleted at an old revision")
	}
	if !remove(changed) || exists(t, c, "k") {
		t.Error("not deleted at the present revision")
	}
}

// Guards against a range that returns keys outside its prefix, and against reads by revision that miss or repeat
// changes.
func TestRangeByPrefixAndRevision(t *testing.T) {
	clock := standin.NewManualClock()
	_, c := start(t, standin.StoreConfig{Clock: clock.Now})
	for _, key := range []string{"a", "a/", "a/1", "a/\xff", "a0", "\xff\xff"} {
		put(t, c, key, key, 0)
	}
	last := put(t, c, "a/1", "new", 0)
	cases := []struct {
		prefix string
		min    int64
		want   []string
	}{
		{"a/", 0, []string{"a/", "a/1", "a/\xff"}},
		{"a/", last, []string{"a/1"}},
		{"a/", last + 1, nil},
		{"a/\xff", 0, []string{"a/\xff"}},
		{"\xff", 0, []string{"\xff\xff"}},
		{"", 0, []string{"a", "a/", "a/1", "a/\xff", "a0", "\xff\xff"}},
	}
	for _, tc := range cases {
		got, err := c.Range(t.Context(), tc.prefix, tc.min)
		var keys []string
		for _, kv := range got.Entries {
			keys = append(keys, kv.Key)
		}
		if err != nil || strings.Join(keys, " ") != strings.Join(tc.want, " ") || got.Revision != last || got.SentAt != clock.Now() {
			t.Errorf("range %q from %d: keys %q, result %+v, error %v", tc.prefix, tc.min, keys, got, err)
		}
	}
}

// Guards against leases that exist beyond their time to live, and against accepting renewals of expired leases or
// writes with them.
func TestLeases(t *testing.T) {
	clock := standin.NewManualClock()
	_, c := start(t, standin.StoreConfig{Clock: clock.Now})
	lease, err := c.GrantLease(t.Context(), 3500*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	put(t, c, "k", "v", lease)
	clock.Advance(3 * time.Second)
	if left, err := c.KeepAlive(t.Context(), lease); err != nil || left != 4*time.Second {
		t.Errorf("keep-alive: %v left, error %v, want 4s", left, err)
	}
	clock.Advance(4*time.Second - 1)
	if !exists(t, c, "k") {
		t.Error("key was deleted before its lease expired")
	}
	clock.Advance(1)
	if exists(t, c, "k") {
		t.Error("key still exists after its lease expired")
	}
	if _, err := c.KeepAlive(t.Context(), lease); !errors.Is(err, store.ErrLeaseNotFound) {
		t.Errorf("keep-alive of an expired lease: %v", err)
	}
	if err := c.RevokeLease(t.Context(), lease); !errors.Is(err, store.ErrLeaseNotFound) {
		t.Errorf("revocation of an expired lease: %v", err)
	}
	if _, err := c.Txn(t.Context(), store.Txn{Puts: []store.Put{{Key: "k", Lease: lease}}}); !errors.Is(err, store.ErrLeaseNotFound) {
		t.Errorf("put under an expired lease: %v", err)
	}
}

// Guards against a revocation that does not delete the keys of the lease, and against one that deletes a key which a
// later write detached from the lease.
func TestRevokeDeletesKeys(t *testing.T) {
	_, c := start(t, standin.StoreConfig{})
	lease, err := c.GrantLease(t.Context(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	put(t, c, "leased", "v", lease)
	put(t, c, "kept", "v", lease)
	put(t, c, "kept", "v", 0)
	if err := c.RevokeLease(t.Context(), lease); err != nil {
		t.Fatal(err)
	}
	if exists(t, c, "leased") || !exists(t, c, "kept") {
		t.Error("revocation deleted the wrong keys")
	}
}

// Guards against leases that expire during an outage, or immediately after it before their holders can renew them.
func TestLeasesOutliveOutage(t *testing.T) {
	clock := standin.NewManualClock()
	s, c := start(t, standin.StoreConfig{Clock: clock.Now, Grace: 2 * time.Second})
	lease, err := c.GrantLease(t.Context(), 4*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	put(t, c, "k", "v", lease)
	s.SetDown(true)
	if _, _, err := c.Get(t.Context(), "k"); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("read during the outage: %v", err)
	}
	if _, err := c.KeepAlive(t.Context(), lease); !errors.Is(err, store.ErrUncertain) {
		t.Errorf("write during the outage: %v", err)
	}
	clock.Advance(time.Hour)
	s.SetDown(false)
	clock.Advance(2*time.Second - 1)
	if !exists(t, c, "k") {
		t.Error("lease expired within the grace period")
	}
	clock.Advance(1)
	if exists(t, c, "k") {
		t.Error("lease did not expire after the grace period")
	}
}

// Guards against reporting a write whose response is lost as having no effect.
func TestLostResponseIsUncertain(t *testing.T) {
	s, c := start(t, standin.StoreConfig{})
	s.LoseResponses(1)
	_, err := c.Txn(t.Context(), store.Txn{Puts: []store.Put{{Key: "k", Value: []byte("v")}}})
	if !errors.Is(err, store.ErrUncertain) || errors.Is(err, store.ErrUnavailable) {
		t.Errorf("got %v, want ErrUncertain", err)
	}
	if !exists(t, c, "k") {
		t.Error("the fake store did not apply the write")
	}
}

// Guards against reporting a refused connection as uncertain, after which callers could not retry.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	// Nothing listens on port 1. Unlike a free port, it cannot be taken by another test.
	c := store.NewClient(store.Config{Endpoint: "http://127.0.0.1:1"})
	_, err := c.Txn(t.Context(), store.Txn{Puts: []store.Put{{Key: "k"}}})
	if !errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUncertain) {
		t.Errorf("write: got %v, want ErrUnavailable", err)
	}
	if _, err := c.Range(t.Context(), "", 0); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("read: got %v, want ErrUnavailable", err)
	}
}

// Guards against treating a partially received response as complete, at whichever byte the connection breaks.
func TestResponseCutAtEveryByte(t *testing.T) {
	server := httptest.NewServer(standin.NewStore(standin.StoreConfig{}))
	t.Cleanup(server.Close)
	proxy := faultproxy.Start(t, server.Listener.Addr().String())
	direct := store.NewClient(store.Config{Endpoint: server.URL})
	c := store.NewClient(store.Config{Endpoint: "http://" + proxy.Addr()})
	for n := 0; ; n++ {
		key := fmt.Sprintf("k%03d", n)
		proxy.CloseAfter(faultproxy.ToCaller, n)
		_, err := c.Txn(t.Context(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte("v")}}})
		if !exists(t, direct, key) {
			t.Fatalf("cut after %d bytes: write without effect", n)
		}
		if err == nil {
			if n < 100 {
				t.Fatalf("response of at least 100 bytes was complete after %d bytes", n)
			}
			return
		}
		if !errors.Is(err, store.ErrUncertain) {
			t.Fatalf("cut after %d bytes: got %v, want ErrUncertain", n, err)
		}
	}
}

// Guards against mapping error responses of the gateway to errors that promise more certainty than the responses do.
// The bodies have the format of etcd's gateway.
func TestErrorResponses(t *testing.T) {
	cases := []struct {
		status      int
		body        string
		read, write error
	}{
		{503, `{"error":"etcdserver: no leader","code":14,"message":"etcdserver: no leader"}`, store.ErrUnavailable, store.ErrUncertain},
		{504, `{"error":"etcdserver: request timed out","code":14,"message":"etcdserver: request timed out"}`, store.ErrUnavailable, store.ErrUncertain},
		{404, `{"error":"etcdserver: requested lease not found","code":5,"message":"etcdserver: requested lease not found"}`, store.ErrLeaseNotFound, store.ErrLeaseNotFound},
		{400, `{"error":"etcdserver: duplicate key given in txn request","code":3,"message":"etcdserver: duplicate key given in txn request"}`, store.ErrInvalid, store.ErrInvalid},
		{502, `<html>bad gateway</html>`, store.ErrUnavailable, store.ErrUncertain},
		{200, `{"header":{"revi`, store.ErrUnavailable, store.ErrUncertain},
		{200, `{}`, store.ErrUnavailable, store.ErrUncertain},
		{200, `null`, store.ErrUnavailable, store.ErrUncertain},
	}
	for _, tc := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(tc.status)
			_, _ = io.WriteString(w, tc.body)
		}))
		c := store.NewClient(store.Config{Endpoint: server.URL})
		if _, _, err := c.Get(t.Context(), "k"); !errors.Is(err, tc.read) {
			t.Errorf("read, %d %s: got %v, want %v", tc.status, tc.body, err, tc.read)
		}
		if _, err := c.Txn(t.Context(), store.Txn{Puts: []store.Put{{Key: "k"}}}); !errors.Is(err, tc.write) {
			t.Errorf("write, %d %s: got %v, want %v", tc.status, tc.body, err, tc.write)
		}
		server.Close()
	}
}

// Guards against a client and a fake store that are compatible with each other but not with etcd. The messages follow
// the documentation of etcd's gateway.
func TestWireFormat(t *testing.T) {
	var path, request string
	response := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		path, request = r.URL.Path, string(body)
		_, _ = io.WriteString(w, response)
	}))
	t.Cleanup(server.Close)
	c := store.NewClient(store.Config{Endpoint: server.URL})

	response = `{"header":{"cluster_id":"12585971608760269493","member_id":"13847567121247652255","revision":"2","raft_term":"3"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","version":"1","value":"YmFy"}],"count":"1"}`
	got, err := c.Range(t.Context(), "foo", 2)
	if err != nil || got.Revision != 2 || len(got.Entries) != 1 || got.Entries[0].Key != "foo" || string(got.Entries[0].Value) != "bar" {
		t.Errorf("range: %+v, error %v", got, err)
	}
	if want := `{"key":"Zm9v","range_end":"Zm9w","min_mod_revision":"2"}`; path != "/v3/kv/range" || request != want {
		t.Errorf("range sent %s to %s, want %s", request, path, want)
	}

	response = `{"header":{"revision":"12"},"responses":[{"response_range":{"header":{"revision":"12"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"6","version":"4","value":"YmF6"}],"count":"1"}}]}`
	result, err := c.Txn(t.Context(), store.Txn{
		Compares:   []store.Compare{{Key: "foo", Target: store.CompareCreateRevision}},
		Puts:       []store.Put{{Key: "foo", Value: []byte("bar"), Lease: 7}},
		ReadOnFail: []string{"foo"},
	})
	if err != nil || result.Applied || len(result.Read) != 1 || result.Read[0].ModRevision != 6 {
		t.Errorf("txn: %+v, error %v", result, err)
	}
	if want := `{"compare":[{"key":"Zm9v","target":"CREATE","result":"EQUAL","create_revision":"0"}],"success":[{"request_put":{"key":"Zm9v","value":"YmFy","lease":"7"}}],"failure":[{"request_range":{"key":"Zm9v"}}]}`; path != "/v3/kv/txn" || request != want {
		t.Errorf("txn sent %s to %s, want %s", request, path, want)
	}

	response = `{"result":{"header":{"revision":"12"},"ID":"7587848390665375782","TTL":"4"}}`
	left, err := c.KeepAlive(t.Context(), 7587848390665375782)
	if err != nil || left != 4*time.Second || request != `{"ID":"7587848390665375782"}` {
		t.Errorf("keep-alive: %v left, error %v, sent %s", left, err, request)
	}
	response = `{"result":{"header":{"revision":"12"},"ID":"7"}}` // etcd omits a TTL of 0
	if _, err := c.KeepAlive(t.Context(), 7); !errors.Is(err, store.ErrLeaseNotFound) {
		t.Errorf("keep-alive of a lease that no longer exists: %v", err)
	}
}

// Guards against requests that exceed the limits of the store being sent, or being reported as possibly applied.
func TestLimits(t *testing.T) {
	s, c := start(t, standin.StoreConfig{})
	many := make([]store.Put, store.MaxTxnOps+1)
	for i := range many {
		many[i].Key = strconv.Itoa(i)
	}
	txns := map[string]store.Txn{
		"too many writes":     {Puts: many},
		"value too long":      {Puts: []store.Put{{Key: "k", Value: make([]byte, store.MaxValueBytes+1)}}},
		"key written twice":   {Puts: []store.Put{{Key: "k"}, {Key: "k"}}},
		"written and deleted": {Puts: []store.Put{{Key: "k"}}, Deletes: []string{"k"}},
	}
	for name, txn := range txns {
		if _, err := c.Txn(t.Context(), txn); !errors.Is(err, store.ErrInvalid) {
			t.Errorf("%s: got %v, want ErrInvalid", name, err)
		}
	}
	if calls := s.Calls(); calls.Writes != 0 {
		t.Errorf("store got %d writes", calls.Writes)
	}
	if _, err := c.Txn(t.Context(), store.Txn{Puts: many[:store.MaxTxnOps]}); err != nil {
		t.Errorf("largest allowed transaction: %v", err)
	}
}

// Guards against calls that are missing in the metrics, including failed ones: every call counts towards the rate
// limits of the store.
func TestCallsAreCounted(t *testing.T) {
	s := standin.NewStore(standin.StoreConfig{})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	scope := tally.NewTestScope("", nil)
	c := store.NewClient(store.Config{Endpoint: server.URL, Metrics: scope})
	put(t, c, "k", "v", 0)
	exists(t, c, "k")
	s.SetDown(true)
	_, _, _ = c.Get(t.Context(), "k")
	counters := scope.Snapshot().Counters()
	if r, w := counters["store_reads+"].Value(), counters["store_writes+"].Value(); r != 2 || w != 1 {
		t.Errorf("client counted %d reads and %d writes, want 2 and 1", r, w)
	}
	if calls := s.Calls(); calls != (standin.StoreCalls{Reads: 2, Writes: 1}) {
		t.Errorf("store counted %+v", calls)
	}
}

// Guards against increments that are lost or applied twice when responses are lost. Each writer resolves an uncertain
// write by reading its nonce, as callers of this package have to.
func TestCompareAndSwapUnderLostResponses(t *testing.T) {
	const writers, increments = 4, 15
	s, c := start(t, standin.StoreConfig{})
	var done sync.WaitGroup
	for w := range writers {
		done.Go(func() {
			for i := range increments {
				if i%3 == 0 {
					s.LoseResponses(2)
				}
				if err := increment(t.Context(), c, fmt.Sprintf("%d-%d", w, i)); err != nil {
					t.Error(err)
				}
			}
		})
	}
	done.Wait()
	s.LoseResponses(0)
	kv, _, err := c.Get(t.Context(), "counter")
	if err != nil || string(kv.Value) != strconv.Itoa(writers*increments) {
		t.Errorf("counter is %s, error %v, want %d", kv.Value, err, writers*increments)
	}
}

// increment adds 1 to the counter exactly once. The nonce key shows whether an uncertain write was applied.
func increment(ctx context.Context, c *store.Client, nonce string) error {
	for {
		kv, _, err := c.Get(ctx, "counter")
		if err != nil {
			return err
		}
		n, _ := strconv.Atoi(string(kv.Value))
		result, err := c.Txn(ctx, store.Txn{
			Compares: []store.Compare{{Key: "counter", Target: store.CompareModRevision, Revision: kv.ModRevision}},
			Puts:     []store.Put{{Key: "counter", Value: []byte(strconv.Itoa(n + 1))}, {Key: "nonce/" + nonce}},
		})
		if errors.Is(err, store.ErrUncertain) {
			_, result.Applied, err = c.Get(ctx, "nonce/"+nonce)
		}
		if err != nil || result.Applied {
			return err
		}
	}
}
