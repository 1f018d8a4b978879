package control

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/document"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/pkg/store/storetest"
)

type txnFault = storetest.Fault

const (
	lostResponse = storetest.LostResponse
	lostRequest  = storetest.LostRequest
	held         = storetest.Held
	cut          = storetest.Cut
)

// fakeStore is a store that tests can write to like another process.
type fakeStore struct{ *storetest.Store }

func newFakeStore() *fakeStore {
	return &fakeStore{storetest.NewStore(storetest.Config{Revision: 1})}
}

func (f *fakeStore) put(key string, record any) { f.Put(key, mustJSON(record)) }

// fakePeers calls other services directly.
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
	clock *standin.ManualClock
}

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newFixture(t *testing.T, change func(*Config)) *fixture {
	t.Helper()
	f := &fixture{store: newFakeStore(), clock: standin.NewManualClockAt(start)}
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

// text returns a valid document with the given deadline, so that different deadlines give different digests.
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
