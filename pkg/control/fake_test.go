package control

import (
	"context"
	"flag"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/document"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// fakeStore is an in-memory store with faults.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	data     map[string]store.KeyValue
	down     bool
	// txnFaults are consumed one per transaction; none means no fault.
	txnFaults []txnFault
	delayed   []store.Txn // transactions that arrive later
	beforeTxn func()      // runs once before the next transaction
	afterRead func()      // runs once after the next range read
}

type txnFault int

const (
	noFault  txnFault = iota
	loseAck           // applied, the response is lost
	loseTxn           // not applied, the response is lost
	delayTxn          // not applied yet, the response is lost; deliver applies it
	cutStore          // applied, the response is lost and the store is down from then on
)

func newFakeStore() *fakeStore { return &fakeStore{revision: 1, data: map[string]store.KeyValue{}} }

func (f *fakeStore) Get(_ context.Context, key string) (store.KeyValue, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.KeyValue{}, false, store.ErrUnavailable
	}
	kv, found := f.data[key]
	return kv, found, nil
}

func (f *fakeStore) Range(_ context.Context, prefix string, from int64) (store.RangeResult, error) {
	defer f.runHook(&f.afterRead)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.RangeResult{}, store.ErrUnavailable
	}
	result := store.RangeResult{Revision: f.revision}
	for key, kv := range f.data {
		if strings.HasPrefix(key, prefix) && kv.ModRevision >= from {
			result.Entries = append(result.Entries, kv)
		}
	}
	sort.Slice(result.Entries, func(i, j int) bool { return result.Entries[i].Key < result.Entries[j].Key })
	return result, nil
}

func (f *fakeStore) Txn(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	f.runHook(&f.beforeTxn)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.TxnResult{}, store.ErrUnavailable
	}
	fault := noFault
	if len(f.txnFaults) > 0 {
		fault, f.txnFaults = f.txnFaults[0], f.txnFaults[1:]
	}
	switch fault {
	case loseTxn:
		return store.TxnResult{}, store.ErrUncertain
	case delayTxn:
		f.delayed = append(f.delayed, txn)
		return store.TxnResult{}, store.ErrUncertain
	}
	result := f.applyLocked(txn)
	f.down = fault == cutStore
	if fault != noFault {
		return store.TxnResult{}, store.ErrUncertain
	}
	return result, nil
}

// runHook runs and removes a hook. f.mu is not held.
func (f *fakeStore) runHook(hook *func()) {
	f.mu.Lock()
	run := *hook
	*hook = nil
	f.mu.Unlock()
	if run != nil {
		run()
	}
}

func (f *fakeStore) applyLocked(txn store.Txn) store.TxnResult {
	for _, c := range txn.Compares {
		if f.data[c.Key].ModRevision != c.Revision {
			return store.TxnResult{Revision: f.revision}
		}
	}
	f.revision++
	for _, p := range txn.Puts {
		f.putLocked(p.Key, p.Value)
	}
	for _, key := range txn.Deletes {
		delete(f.data, key)
	}
	return store.TxnResult{Applied: true, Revision: f.revision}
}

func (f *fakeStore) putLocked(key string, value []byte) {
	kv := f.data[key]
	if kv.CreateRevision == 0 {
		kv.CreateRevision = f.revision
	}
	kv.Key, kv.Value, kv.ModRevision = key, value, f.revision
	f.data[key] = kv
}

// put writes a record as another process would.
func (f *fakeStore) put(key string, record any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.putLocked(key, mustJSON(record))
}

func (f *fakeStore) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	delete(f.data, key)
}

// deliver applies the delayed transactions and returns how many took effect.
func (f *fakeStore) deliver() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	applied := 0
	for _, txn := range f.delayed {
		if f.applyLocked(txn).Applied {
			applied++
		}
	}
	f.delayed = nil
	return applied
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// clock is a settable clock.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// fakePeers reaches other services directly.
type fakePeers map[structs.HostID]*Service

func (p fakePeers) LivePeers() []structs.HostID {
	var hosts []structs.HostID
	for host := range p {
		hosts = append(hosts, host)
	}
	return hosts
}

func (p fakePeers) FetchControl(ctx context.Context, host structs.HostID, request *peerpb.FetchControlRequest) (*peerpb.FetchControlReply, error) {
	peer, known := p[host]
	if !known {
		return nil, errors.NotFoundf("peer %q", host)
	}
	return peer.FetchControl(ctx, request)
}

type fixedRevisions map[structs.HostID]int64

func (r fixedRevisions) MemberRevisions() map[structs.HostID]int64 { return r }

// fixture is one entry host's control service on a fake store.
type fixture struct {
	*Service
	store *fakeStore
	clock *clock
}

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newFixture(t *testing.T, change func(*Config)) *fixture {
	t.Helper()
	f := &fixture{store: newFakeStore(), clock: &clock{now: start}}
	nonces := 0
	cfg := Config{
		Host: "a1", Environment: "production", TrialEnvironment: "trial", Store: f.store, Now: f.clock.Now,
		NewNonce: func() string { nonces++; return fmt.Sprintf("nonce-%d", nonces) },
	}
	if change != nil {
		change(&cfg)
	}
	f.Service = NewService(cfg)
	return f
}

func (f *fixture) poll(t *testing.T) {
	t.Helper()
	if err := f.PollNow(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// text returns a valid document whose digest depends on the deadline.
func text(deadline string) string {
	return "[environment]\nname = production\n[datacentre a]\nbatch = yes\n[datacentre b]\nbatch = yes\n" +
		"[service quotes]\ndatacentres = a, b\n[kind quote]\nclass = latency-critical\nservice = quotes\n" +
		"idempotent = no\ndeadline = " + deadline + "\n"
}

func record(version int64, text string) structs.DocumentRecord {
	return structs.DocumentRecord{Version: version, Digest: document.Digest([]byte(text)), Text: text, Nonce: "other"}
}

func (f *fixture) promote(t *testing.T, body string, expected int64) (DocumentResult, error) {
	t.Helper()
	if _, err := f.Try(t.Context(), body, "ann"); err != nil {
		t.Fatal(err)
	}
	return f.Promote(t.Context(), PromoteRequest{document.Digest([]byte(body)), expected, "ann"})
}

func (f *fixture) version() int64 {
	_, record, _ := f.Document()
	return record.Version
}

// TestMain fixes the seed of the property tests; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260102"); err != nil {
		panic(err)
	}
	m.Run()
}
