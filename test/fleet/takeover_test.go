package fleet

import (
	"maps"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
)

// maxTakeover bounds the time from the loss of an owner until a job of short tasks that is handed in then is completed, if every
// real worker answers: the owner's record ends after 1.6 s, and each of the two steps takes 0.3 s and a poll of at most 1 s. The
// rest is for a poll that has to be repeated.
const maxTakeover = 5 * time.Second

// oddEntries are entries in the platform's list of workers that name no worker which could answer.
var oddEntries = map[string]map[string]any{
	"port out of range":      {"address": "127.0.0.1:99999"},
	"port of 20 digits":      {"address": "127.0.0.1:12345678901234567890"},
	"no port":                {"address": "127.0.0.1"},
	"empty address":          {"address": ""},
	"absurd capacity":        {"capacity": map[string]int64{"cpu": 1<<63 - 1, "memMb": 1<<63 - 1, "gpu": 1<<63 - 1}},
	"endless remaining time": {"remainingMs": int64(1<<63 - 1)},
	"pool that nobody uses":  {"service": "other-pool"},
	"nobody listens":         {},
}

// unusedAddress is a loopback address at which nobody listens.
const unusedAddress = "127.0.0.1:1"

// Scenario: an entry that names no real worker is among those of the workers, and the owner is killed. Guards against a new owner
// that waits for a report of that worker until leases which nobody has granted would have ended: all tasks of older jobs wait.
func TestTakeoverDoesNotWaitForOddEntries(t *testing.T) {
	for name, fields := range oddEntries {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newPlatform(t, fleet.Config{Seed: 8, Datacentres: []string{"dc1"}, Workers: 4, RunTime: shortTasks})
			s.platform.Store.Put("servers/odd", oddEntry(s.platform.Pool, fields))
			for n := range 3 {
				s.addHost(n, "dc1", s.platform.StoreAddress())
			}
			s.startAll()
			s.submit(0, jobID(0), twoStepJob)
			s.awaitState(0, jobID(0), "completed")
			owner := s.owner()
			other := (owner + 1) % 3
			s.kill(owner)
			killed := time.Now()
			s.submit(other, jobID(1), twoStepJob)
			s.awaitState(other, jobID(1), "completed")
			if took := time.Since(killed); took > maxTakeover {
				t.Errorf("the job was completed %v after the loss of the owner, want at most %v", took.Round(time.Millisecond), maxTakeover)
			} else {
				t.Logf("completed after %v", took.Round(time.Millisecond))
			}
			s.checkHistory()
		})
	}
}

// oddEntry returns an entry like that of a worker, with some fields replaced.
func oddEntry(pool string, fields map[string]any) map[string]any {
	entry := map[string]any{
		"service": pool, "address": unusedAddress, "zone": "dc1", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"remainingMs": 3000, "seq": 1, "born": time.Now().UnixMilli(), "labels": []string{"a", "r-0"},
		"capacity": map[string]int64{"cpu": 16000, "memMb": 64000, "gpu": 0},
	}
	maps.Copy(entry, fields)
	return entry
}
