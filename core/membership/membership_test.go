package membership

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
)

var start = time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

func reportFrom(incarnation string, sequence uint64) Report {
	return Report{
		Process: Process{Host: "b", Incarnation: incarnation}, Datacentre: "d1", PeerAddr: "127.0.0.1:1", Sequence: sequence,
	}
}

func newTestTable() *Table { return NewTable(Process{Host: "a", Incarnation: "1"}, "d1") }

func stateOf(t *testing.T, table *Table, now time.Time) State {
	t.Helper()
	m, known := table.Member("b", now)
	if !known {
		t.Fatal("peer is not in the table")
	}
	return m.State
}

// Guards against a peer that counts as live although messages arrive in one direction only.
func TestPeerIsLiveOnlyInBothDirections(t *testing.T) {
	requests, replies := newTestTable(), newTestTable()
	for i := range 20 {
		now := after(time.Duration(i) * LocalInterval)
		requests.ObserveRequest(reportFrom("1", uint64(i+1)), now)
		replies.ObserveReply(reportFrom("1", uint64(i+1)), now, now, -1)
	}
	now := after(20 * LocalInterval)
	if got := stateOf(t, requests, now); got == Live {
		t.Errorf("peer that sends no replies is %v", got)
	}
	if got := stateOf(t, replies, now); got == Live {
		t.Errorf("peer that sends no heartbeat is %v", got)
	}
	replies.ObserveRequest(reportFrom("1", 99), now)
	if got := stateOf(t, replies, now); got != Live {
		t.Errorf("peer with messages in both directions is %v", got)
	}
}

// Guards against thresholds that differ from the documented number of missed heartbeats.
func TestSilencePassesThroughSuspectToDead(t *testing.T) {
	table := newTestTable()
	table.ObserveRequest(reportFrom("1", 1), start)
	table.ObserveReply(reportFrom("1", 2), start, start, -1)
	for _, c := range []struct {
		silent time.Duration
		want   State
	}{
		{SuspectAfterMissed * LocalInterval, Live}, {SuspectAfterMissed*LocalInterval + 1, Suspect},
		{DeadAfterMissed * LocalInterval, Suspect}, {DeadAfterMissed*LocalInterval + 1, Dead},
	} {
		if got := stateOf(t, table, after(c.silent)); got != c.want {
			t.Errorf("after %v: %v, want %v", c.silent, got, c.want)
		}
	}
	if len(table.RemoveSilent(after(RemoveAfter))) != 0 || len(table.RemoveSilent(after(RemoveAfter+1))) != 1 {
		t.Error("a dead member is not removed after RemoveAfter")
	}
}

// Guards against late messages of a previous process that overwrite the state of its successor.
func TestNewerIncarnationReplacesOlder(t *testing.T) {
	table := newTestTable()
	table.ObserveRequest(reportFrom("1", 50), start)
	outcome, former := table.ObserveRequest(reportFrom("2", 1), start)
	if outcome != Replaced || former.Incarnation != "1" {
		t.Fatalf("newer incarnation: %v, former %v", outcome, former)
	}
	if outcome, _ := table.ObserveRequest(reportFrom("1", 51), after(time.Second)); outcome != Stale {
		t.Fatalf("late message of the older incarnation: %v", outcome)
	}
	if outcome, _ := table.ObserveReply(reportFrom("1", 52), start, after(time.Second), -1); outcome != Stale {
		t.Fatalf("late reply of the older incarnation: %v", outcome)
	}
	dead := after(time.Minute)
	if outcome, _ := table.ObserveRequest(reportFrom("0", 1), dead); outcome != Replaced {
		t.Fatalf("process started with an earlier wall clock is still rejected after its predecessor died: %v", outcome)
	}
}

// Guards against a reordered message that overwrites a newer report, such as one that announces that the peer leaves.
func TestReorderedReportIsIgnored(t *testing.T) {
	table := newTestTable()
	leaving := reportFrom("1", 2)
	leaving.Leaving = true
	table.ObserveRequest(leaving, start)
	if outcome, _ := table.ObserveReply(reportFrom("1", 1), start, start, -1); outcome != Reordered {
		t.Fatalf("older report: %v", outcome)
	}
	if got := stateOf(t, table, start); got != Leaving {
		t.Fatalf("leaving peer is %v", got)
	}
}

// Guards against control state that appears newer than the store read that it came from.
func TestControlAgeCountsFromSendTime(t *testing.T) {
	table := newTestTable()
	table.ObserveReply(reportFrom("1", 1), start, after(time.Second), 200*time.Millisecond)
	m, _ := table.Member("b", after(time.Second))
	if want := after(-200 * time.Millisecond); !m.ControlReadAt.Equal(want) {
		t.Fatalf("read at %v, want %v", m.ControlReadAt, want)
	}
}

// Guards against a hash that assigns most shards to one host, or that moves shards between hosts that remain.
func TestRendezvousIsBalancedAndStable(t *testing.T) {
	hosts := []structs.HostID{"host-1", "host-2", "host-3", "host-4"}
	count := make(map[structs.HostID]int)
	for i := range 1000 {
		shard := structs.ShardID{Datacentre: structs.DatacentreID(fmt.Sprintf("d%d", i%7)), Index: i}
		before := Preferred(shard, hosts)
		count[before]++
		if after := Preferred(shard, hosts[1:]); before != hosts[0] && after != before {
			t.Fatalf("shard %v moved from %s to %s when %s left", shard, before, after, hosts[0])
		}
		if order := RankHosts(shard, []structs.HostID{hosts[3], hosts[0], hosts[2], hosts[1]}); order[0] != before {
			t.Fatalf("the order of the input changes the choice of shard %v", shard)
		}
	}
	for _, host := range hosts {
		if count[host] < 150 { // an even share is 250
			t.Errorf("%s owns %d of 1000 shards", host, count[host])
		}
	}
}
