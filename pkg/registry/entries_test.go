package registry

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

const plainRecord = `{"host":"a","datacentre":"dc","address":"10.0.0.1:7720","incarnation":"a1","cores":0.4,"link_mbps":1000}`

// oddRecords are records of other writers: plainRecord with one part replaced.
var oddRecords = map[string]struct{ old, replacement string }{
	"empty": {plainRecord, ""}, "no text": {plainRecord, "\xff"}, "null": {plainRecord, "null"}, "no object": {plainRecord, "7"},
	"fields missing": {plainRecord, "{}"}, "deeply nested": {plainRecord, strings.Repeat("[", 300000)},
	"deeply nested field": {`"a1"`, strings.Repeat("[", 300000)}, "large number": {"0.4", "1e400"}, "many cores": {"0.4", "1e300"},
	"negative cores": {"0.4", "-1"}, "cores of type": {"0.4", `"x"`}, "fast link": {":1000", ":1e300"}, "slow link": {":1000", ":-1"},
	"other host": {`"host":"a"`, `"host":"b"`}, "no host": {`"host":"a",`, ""}, "long host": {`"host":"a"`, `"host":"` + strings.Repeat("x", 1<<20) + `"`},
	"no address": {"10.0.0.1:7720", ""}, "host name": {"10.0.0.1", "localhost"}, "no port": {":7720", ""}, "port 0": {":7720", ":0"},
	"port 65536": {":7720", ":65536"}, "port of 20 digits": {":7720", ":99999999999999999999"},
}

// Guards against entry hosts that do not exist and are called as relays, and against a live host that is dropped from the list because
// another writer has overwritten its record.
func TestOddRecordNamesNoHost(t *testing.T) {
	key := statekeys.Host("a")
	for name, odd := range oddRecords {
		value := []byte(strings.Replace(plainRecord, odd.old, odd.replacement, 1))
		if record, err := decodeRecord(kv.Item{Key: key, Value: value}); err == nil {
			t.Errorf("%s: host %.200v", name, record)
		}
	}
	for name, value := range map[string]string{
		"plain": plainRecord, "unknown field": strings.Replace(plainRecord, `"cores"`, `"newer":{},"cores"`, 1),
		"no link": strings.Replace(plainRecord, `,"link_mbps":1000`, "", 1), "IPv6": strings.Replace(plainRecord, "10.0.0.1", "[::1]", 1),
	} {
		if _, err := decodeRecord(kv.Item{Key: key, Value: []byte(value)}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a list of hosts that is not followed any more beside odd records, and against a host that is lost from it.
func TestHostsAreFollowedBesideOddRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewStore()
		put := func(key, value string) {
			if _, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{{Key: key, Value: []byte(value)}}}); err != nil {
				t.Fatal(err)
			}
		}
		put(statekeys.Host("a"), plainRecord)
		r := New(Config{Store: store, Log: eventlog.Discard()})
		go r.Follow(t.Context())
		n := 0
		for name, odd := range oddRecords {
			n++
			value := strings.Replace(plainRecord, odd.old, odd.replacement, 1)
			put(statekeys.Host("odd"+string(rune('a'+n))), value)
			time.Sleep(2 * watchPause)
			put(statekeys.Host("a"), value)
			if n%2 == 0 {
				store.Compact()
			}
			time.Sleep(2 * watchPause)
			if got := r.Hosts(); len(got) != 1 || got[0].Address != "10.0.0.1:7720" {
				t.Errorf("%s: hosts %.200v, want the last valid record", name, got)
			}
		}
		put(statekeys.Host("b"), strings.Replace(plainRecord, `"host":"a"`, `"host":"b"`, 1))
		time.Sleep(2 * watchPause)
		if got := r.Hosts(); len(got) != 2 {
			t.Errorf("%d hosts once another has registered, want 2", len(got))
		}
	})
}

// Guards against a host that later owners do not list because another writer has overwritten its record.
func TestOverwrittenRecordIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewStore()
		r := New(Config{Store: store, Self: Record{Host: "a", Address: "10.0.0.1:7720"}, Log: eventlog.Discard()})
		go r.Run(t.Context())
		synctest.Wait()
		if _, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{{Key: statekeys.Host("a"), Value: []byte("{}")}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep((checkEvery + 1) * renewInterval)
		item, _, err := store.Get(t.Context(), statekeys.Host("a"))
		if _, invalid := decodeRecord(item); err != nil || invalid != nil || item.Lease == 0 {
			t.Errorf("record %s under lease %d, %v", item.Value, item.Lease, err)
		}
	})
}
