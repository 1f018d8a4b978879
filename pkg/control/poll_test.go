package control

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
)

// relayFrom relays the state of one service to another, as after a heartbeat.
func relayFrom(t interface{ Fatal(...any) }, to, from *Service, c *standin.ManualClock) {
	after := to.Confirmation().Revision
	reply, err := from.FetchControl(context.Background(), &peerpb.FetchControlRequest{AfterRevision: after})
	if err != nil {
		t.Fatal(err)
	}
	to.IngestAfter(reply, c.Now(), after)
}

var shardA0 = structs.ShardID{Datacentre: "a", Index: 0}

// Guards against members and owners that stay in memory after their deletion from the store, and against wrong epochs.
func TestPollSeesChangesAndDeletions(t *testing.T) {
	f := newFixture(t, nil)
	member, shard := f.keys.key(partMembers+"a1"), f.keys.key(partShards+shardA0.String())
	f.store.put(member, structs.MemberRecord{Host: "a1", Datacentre: "a"})
	f.poll(t)
	changed := f.Changed()
	f.store.put(shard, structs.ShardOwnerRecord{Owner: "a1"})
	created := f.store.Revision()
	f.poll(t)
	select {
	case <-changed:
	default:
		t.Fatal("no notification of a new owner")
	}
	f.store.put(shard, structs.ShardOwnerRecord{Owner: "a1", Nonce: "renewed"})
	f.poll(t)
	if owner, epoch, known := f.Owner(shardA0); !known || owner.Nonce != "renewed" || int64(epoch) != created {
		t.Fatalf("owner %+v, epoch %d, known %v; want epoch %d", owner, epoch, known, created)
	}
	f.store.Remove(member)
	f.store.Remove(shard)
	f.clock.Advance(DefaultFullInterval)
	f.poll(t)
	if len(f.Members()) != 0 || len(f.Owners()) != 0 {
		t.Fatalf("deleted entries are still known: %v, %v", f.Members(), f.Owners())
	}
}

// Guards against a confirmation, direct or relayed, with a time after the store read that it results from.
func TestConfirmationAge(t *testing.T) {
	a := newFixture(t, nil)
	b := newFixture(t, func(cfg *Config) { cfg.Peers = fakePeers{"a1": a.Service}; cfg.Host = "b1" })
	b.store.SetDown(true)
	if err := b.PollNow(t.Context()); err == nil || b.StoreReachable() || !b.Confirmation().ReadAt.IsZero() {
		t.Fatal("a service without store and peers has a confirmation")
	}
	a.store.put(a.keys.document(), record(1, text("1s")))
	a.poll(t)
	a.clock.Advance(1500*time.Millisecond + time.Microsecond)
	b.clock.Advance(time.Hour)
	if err := b.PollNow(t.Context()); err == nil {
		t.Fatal("the error of the store is hidden by a relay")
	}
	want := Confirmation{Revision: a.store.Revision(), ReadAt: b.clock.Now().Add(-1501 * time.Millisecond)}
	if got := b.Confirmation(); got != want || b.version() != 1 {
		t.Fatalf("confirmation %+v with version %d, want %+v with version 1", got, b.version(), want)
	}
	b.clock.Advance(time.Second)
	b.Ingest(&peerpb.FetchControlReply{Revision: a.store.Revision() + 7}, b.clock.Now())
	if got := b.Confirmation(); got != want {
		t.Fatalf("a revision without its entries was confirmed: %+v", got)
	}
	b.Ingest(&peerpb.FetchControlReply{Revision: a.store.Revision(), AgeMs: 100}, b.clock.Now())
	if got := b.Confirmation().ReadAt; got != b.clock.Now().Add(-100*time.Millisecond) {
		t.Fatalf("a fresher confirmation of the same revision was not used: %v", got)
	}
}

// Guards against accepting a confirmation from a store that has lost data.
func TestStoreBehindConfirmsNothing(t *testing.T) {
	f := newFixture(t, nil)
	f.store.put(f.keys.document(), record(1, text("1s")))
	f.poll(t)
	before := f.Confirmation()
	f.store.SetRevision(1)
	f.clock.Advance(time.Second)
	if err := f.PollNow(t.Context()); err == nil || f.StoreReachable() {
		t.Fatal("a store with a lower revision was accepted")
	}
	if f.Confirmation() != before {
		t.Fatal("a store with a lower revision gave a confirmation")
	}
}

// Guards against entries of other environments and against relayed entries that were deleted long ago.
func TestIngestLeavesOutForeignAndDeletedEntries(t *testing.T) {
	f := newFixture(t, nil)
	key := f.keys.key(partMembers + "a9")
	f.store.put(key, structs.MemberRecord{Host: "a9"})
	stale, _ := f.store.Entry(key)
	f.poll(t)
	f.store.Remove(key)
	f.clock.Advance(DefaultFullInterval)
	f.poll(t)
	f.Ingest(&peerpb.FetchControlReply{Revision: stale.ModRevision, Entries: []*peerpb.ControlEntry{
		{Key: key, Value: stale.Value, ModRevision: stale.ModRevision},
		{Key: keyspace{"trial"}.key(partMembers + "t1"), Value: stale.Value, ModRevision: 900},
	}}, f.clock.Now())
	if members := f.Members(); len(members) != 0 {
		t.Fatalf("unexpected members %v", members)
	}
}

// Guards against replacing a data centre state by an older one from a peer that lags behind.
func TestIngestLeavesOutOlderEntries(t *testing.T) {
	f := newFixture(t, nil)
	key := f.keys.datacentre("a")
	f.store.put(key, structs.DatacentreRecord{State: structs.DatacentreIn})
	older, _ := f.store.Entry(key)
	f.store.put(key, structs.DatacentreRecord{State: structs.DatacentreOut})
	f.poll(t)
	f.Ingest(&peerpb.FetchControlReply{Revision: older.ModRevision, Entries: []*peerpb.ControlEntry{
		{Key: key, Value: older.Value, ModRevision: older.ModRevision},
	}}, f.clock.Now())
	if f.Datacentre("a") != structs.DatacentreOut {
		t.Fatal("a removal was undone by an older record")
	}
}

// Guards against missing a change that is written between the range reads of a full read.
func TestChangeDuringFullRead(t *testing.T) {
	f := newFixture(t, nil)
	f.store.AfterRange(func() {
		f.store.put(f.keys.datacentre("a"), structs.DatacentreRecord{State: structs.DatacentreOut})
		f.store.put(f.keys.document(), record(1, text("1s")))
	})
	f.poll(t)
	f.poll(t)
	if f.Datacentre("a") != structs.DatacentreOut || f.version() != 1 {
		t.Fatalf("data centre %s, version %d", f.Datacentre("a"), f.version())
	}
}

// Guards against state that goes back, and against confirmations newer than the state, when two hosts read the same
// store at different times and relay to each other in any order.
func TestRelayNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shared, c := newFakeStore(), standin.NewManualClockAt(start)
		var hosts []*Service
		for _, host := range []structs.HostID{"a1", "b1"} {
			hosts = append(hosts, NewService(Config{Host: host, Environment: "production", Store: shared, Now: c.Now}))
		}
		keys := hosts[0].keys
		state, writtenAt := structs.DatacentreIn, time.Time{}
		revisions, versions := map[*Service]int64{}, map[*Service]int64{}
		version := int64(0)
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			c.Advance(time.Duration(rapid.IntRange(1, 6000).Draw(rt, "pause ms")) * time.Millisecond)
			host := rapid.IntRange(0, 1).Draw(rt, "host")
			switch rapid.SampledFrom([]string{"poll", "poll", "relay", "relay", "switch", "promote"}).Draw(rt, "step") {
			case "poll":
				if err := hosts[host].PollNow(t.Context()); err != nil {
					rt.Fatal(err)
				}
			case "relay":
				relayFrom(rt, hosts[host], hosts[1-host], c)
			case "switch":
				state = map[structs.DatacentreState]structs.DatacentreState{
					structs.DatacentreIn: structs.DatacentreOut, structs.DatacentreOut: structs.DatacentreIn}[state]
				shared.put(keys.datacentre("a"), structs.DatacentreRecord{State: state})
				writtenAt = c.Now()
			case "promote":
				version++
				shared.put(keys.document(), record(version, text("1s")))
			}
			for _, h := range hosts {
				_, rec, _ := h.Document()
				if rec.Version < versions[h] {
					rt.Fatalf("version went back from %d to %d", versions[h], rec.Version)
				}
				versions[h] = rec.Version
				report, _ := h.DatacentreReport("a")
				if report.Revision < revisions[h] {
					rt.Fatalf("data centre state went back from revision %d to %d", revisions[h], report.Revision)
				}
				revisions[h] = report.Revision
				if h.Confirmation().ReadAt.After(writtenAt) && h.Datacentre("a") != state {
					rt.Fatal("confirmed after the change without having it")
				}
			}
		}
	})
}

// Guards against fetching only from peers that do not answer.
func TestChoosePeersRotates(t *testing.T) {
	peers := fakePeers{"b1": nil, "b2": nil, "b3": nil, "b4": nil, "b5": nil}
	f := newFixture(t, func(cfg *Config) {
		cfg.Peers, cfg.Revisions = peers, fixedRevisions{"b4": 9, "b5": 8}
	})
	called := map[structs.HostID]int{}
	for range 3 {
		for _, host := range f.choosePeers() {
			called[host]++
		}
	}
	if len(called) != len(peers) || called["b4"] != 3 || called["b5"] != 3 {
		t.Fatalf("called %v", called)
	}
}

// Guards against a loop that does not poll or does not end with its context.
func TestRun(t *testing.T) {
	f := newFixture(t, func(cfg *Config) { cfg.PollInterval = time.Millisecond })
	changed := f.Changed()
	f.store.put(f.keys.document(), record(1, text("1s")))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	awaitClosed(t, changed)
	changed = f.Changed()
	f.store.put(f.keys.document(), record(2, text("2s")))
	awaitClosed(t, changed)
	cancel()
	awaitClosed(t, done)
	if f.version() != 2 {
		t.Fatalf("version %d, want 2", f.version())
	}
}

// awaitClosed fails the test if the channel is not closed within 30 s.
func awaitClosed(t *testing.T, closed <-chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(30 * time.Second):
		t.Fatal("channel not closed within 30 s")
	}
}
