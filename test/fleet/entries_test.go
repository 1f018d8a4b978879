package fleet

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
	"fulmarcourse.example/fulmarcourse/pkg/term"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// oddValues are values that another writer may leave under any key.
func oddValues() map[string][]byte {
	return map[string][]byte{
		"empty":             nil,
		"no text":           []byte("\xff\xfe\x00"),
		"deeply nested":     []byte(strings.Repeat("[", 300000)),
		"deep field":        []byte(`{"labels":` + strings.Repeat("[", 200000) + strings.Repeat("]", 200000) + `}`),
		"large number":      []byte(`{"born":1e400,"version":1e400,"term":1e400}`),
		"20 digits":         []byte(`{"born":99999999999999999999,"version":99999999999999999999}`),
		"of other type":     []byte(`{"service":7,"address":[],"state":{},"labels":"x","routes":3,"host":[],"term":"x"}`),
		"list":              []byte(`[1,2,3]`),
		"text of 1 MiB":     []byte(`"` + strings.Repeat("x", 1<<20-2) + `"`),
		"long label":        []byte(`{"labels":["` + strings.Repeat("x", 900000) + `"]}`),
		"null":              []byte(`null`),
		"fields of nothing": []byte(`{}`),
	}
}

// oddWorkerEntries returns entries that differ in one field from that of a worker which is listed under a key.
func (s *site) oddWorkerEntries(key string) map[string][]byte {
	s.t.Helper()
	odd := oddValues()
	for name, change := range map[string]func(map[string]any){
		"port 99999":    func(e map[string]any) { e["address"] = "127.0.0.1:99999" },
		"port of 20":    func(e map[string]any) { e["address"] = "127.0.0.1:99999999999999999999" },
		"port -1":       func(e map[string]any) { e["address"] = "127.0.0.1:-1" },
		"no port":       func(e map[string]any) { e["address"] = "127.0.0.1" },
		"empty address": func(e map[string]any) { e["address"] = "" },
		"largest capacity": func(e map[string]any) {
			e["capacity"] = map[string]int64{"cpu": 1<<63 - 1, "memMb": 1<<63 - 1, "gpu": 1<<63 - 1}
		},
		"largest time":  func(e map[string]any) { e["remainingMs"], e["state"] = int64(1<<63-1), "draining" },
		"largest start": func(e map[string]any) { e["born"] = int64(1<<63 - 1) },
		"unknown state": func(e map[string]any) { e["state"] = "gone" },
		"long zone":     func(e map[string]any) { e["zone"] = strings.Repeat("z", 900000) },
		"foreign label": func(e map[string]any) { e["labels"] = []string{strings.Repeat("x", 900000)} },
	} {
		var entry map[string]any
		if err := json.Unmarshal(s.platform.Store.Value(key), &entry); err != nil {
			s.t.Fatal(err)
		}
		change(entry)
		data, err := json.Marshal(entry)
		if err != nil {
			s.t.Fatal(err)
		}
		odd[name] = data
	}
	return odd
}

// takeoverBound is the time within which a job that is submitted when its owner is killed has ended: the former owner's lease
// (1.6 s), the time until the list of workers is used (5 s at most), and the run time of both steps.
const takeoverBound = 1600*time.Millisecond + 5*time.Second + 600*time.Millisecond

// Scenario: another writer leaves odd entries beside those of the workers, before the hosts start, while they work and around the
// loss of the owner, and overwrites entries of live workers. Guards against a process that ends, a list of workers that is no
// longer followed, a job that waits longer than the design allows, and a log that grows with the entries.
func TestOddEntriesBesideLiveWorkers(t *testing.T) {
	s := newPlatform(t, fleet.Config{Seed: 11, Datacentres: []string{"dc1"}, Workers: 3, RunTime: shortTasks})
	odd := s.oddWorkerEntries("servers/i-0000")
	write := func(when string) {
		n := 0
		for _, value := range odd {
			s.platform.Store.PutRaw(fmt.Sprintf("servers/%s-%d", when, n), value)
			n++
		}
	}
	write("start")
	for n := range 3 {
		s.addHost(n, "dc1", s.platform.StoreAddress())
	}
	s.startAll()
	s.submit(0, longRunningID, longRunningJob)
	poll.Until(t, "all services run", func() bool { return s.runningNow() == 3 })
	s.submit(1, jobID(1), twoStepJob)
	s.awaitState(2, jobID(1), "completed")

	write("middle")
	for name, value := range odd {
		s.platform.Store.PutRaw("servers/i-0001", value) // until the worker writes it again
		s.submit(0, jobID(len(s.platform.History())), twoStepJob)
		if t.Failed() {
			t.Fatalf("beside %s", name)
		}
	}
	for n := range 600 { // more than a page
		s.platform.Store.PutRaw(fmt.Sprintf("servers/many-%d", n), []byte(`{"service":7}`))
	}
	joined, err := s.platform.AddWorker()
	if err != nil {
		t.Fatal(err)
	}
	used := func() bool {
		for _, r := range s.platform.History() {
			if r.Worker == joined.ID {
				return true
			}
		}
		return false
	}
	n := 100
	poll.Until(t, "the worker that has joined is used", func() bool {
		s.submit(0, jobID(n), twoStepJob)
		n++
		time.Sleep(50 * time.Millisecond)
		return used()
	})

	owner := s.owner()
	write("before")
	s.kill(owner)
	started := time.Now()
	other := (owner + 1) % 3
	write("after")
	s.platform.Store.Compact()
	s.submit(other, jobID(2), twoStepJob)
	s.awaitState(other, jobID(2), "completed")
	if took := time.Since(started); took > takeoverBound {
		t.Errorf("a job took %v when the owner was killed, want at most %v", took, takeoverBound)
	}
	for ; n > 100; n-- {
		s.awaitState(other, jobID(n-1), "completed")
	}
	if got := s.runningNow(); got != 3 {
		t.Errorf("%d tasks of the service run, want 3", got)
	}
	s.checkHistory()
	for _, h := range s.hosts {
		if lines := s.logLines(h, `"platform_entry_broken"`); lines > maxBrokenLines {
			t.Errorf("%s has logged %d lines about odd entries, want at most %d", h.name, lines, maxBrokenLines)
		}
	}
}

// maxBrokenLines bounds the lines about odd entries in the log of one host in this test: 20 a minute for each of the lists that it
// follows, for two owners on the host.
const maxBrokenLines = 4 * 20

// logLines returns the number of lines with a text in the log of a host.
func (s *site) logLines(h *host, text string) int {
	s.t.Helper()
	return strings.Count(s.log(h), text)
}

// Scenario: another writer copies the entry of a live worker under another key with a later start. Guards against tasks that are
// started elsewhere while they run on the live worker.
func TestCopyOfAWorkersEntry(t *testing.T) {
	s := newSite(t, fleet.Config{Seed: 12, Datacentres: []string{"dc1"}, Workers: 3, RunTime: shortTasks}, 2)
	s.submit(0, longRunningID, longRunningJob)
	poll.Until(t, "all services run", func() bool { return s.runningNow() == 3 })
	for n, w := range s.platform.Workers() {
		var entry map[string]any
		if err := json.Unmarshal(s.platform.Store.Value("servers/"+w.ID), &entry); err != nil {
			t.Fatal(err)
		}
		entry["born"] = time.Now().Add(time.Duration(n) * time.Hour).UnixMilli()
		s.platform.Store.Put(fmt.Sprint("servers/copy-", n), entry)
	}
	time.Sleep(3 * time.Second) // the list is read every 0.4 s
	s.submit(1, jobID(1), twoStepJob)
	s.awaitState(0, jobID(1), "completed")
	if got, want := len(s.platform.History()), 3+twoStepJobTasks; got != want {
		t.Errorf("%d attempts, want %d: none started again", got, want)
	}
	s.checkHistory()
}

// Scenario: another writer leaves odd values under all other prefixes that the hosts read, and in place of the configuration.
// Guards against a process that ends, a configuration that is no longer in force, and submissions that are refused or lost.
func TestOddValuesInOtherLists(t *testing.T) {
	s := newSite(t, fleet.Config{Seed: 13, Datacentres: []string{"dc1"}, Workers: 2, RunTime: shortTasks}, 3)
	s.submit(0, jobID(1), twoStepJob)
	s.awaitState(1, jobID(1), "completed")
	n := 0
	for _, value := range oddValues() {
		n++
		s.platform.Store.PutRaw("op/config", value)
		for _, key := range []string{
			"op/evacuate/", "op/evacuate/" + strings.Repeat("z", 180), "op/evacuate/a/b", "op/wave/" + fmt.Sprint(n), "op/unknown",
			"fulmarcourse/hosts/odd", "fulmarcourse/hosts/odd/odd", "fulmarcourse/owners/7/holder", "fulmarcourse/owners/x",
			"fulmarcourse/0/submissions/odd/job", "fulmarcourse/0/submissions/odd/cancel", "fulmarcourse/0/submissions/odd",
			"fulmarcourse/0/progress/odd", "fulmarcourse/0/interference", "fulmarcourse/0/odd",
		} {
			s.platform.Store.PutRaw(key, value)
		}
		s.submit(n%3, jobID(10+n), twoStepJob)
	}
	for i := range n {
		s.awaitState(i%3, jobID(11+i), "completed")
	}
	owner := s.owner()
	s.kill(owner)
	other := (owner + 1) % 3
	s.checkJobTime(other, jobID(2), "its owner was killed")
	s.platform.Configure(2)
	s.submit(other, jobID(3), twoStepJob)
	s.awaitState(other, jobID(3), "completed")
	s.checkHistory()
}

// Scenario: another writer overwrites the owner's record, the term and the records of hosts. Guards against a partition that gets no
// further owner, or one whose orders the workers reject.
func TestOddRecordsOfOwnerAndHosts(t *testing.T) {
	s := newSite(t, fleet.Config{Seed: 14, Datacentres: []string{"dc1"}, Workers: 3, RunTime: shortTasks}, 3)
	s.submit(0, longRunningID, longRunningJob)
	poll.Until(t, "all services run", func() bool { return s.runningNow() == 3 })
	owner := s.owner()
	n := 0
	for name, value := range oddValues() {
		n++
		s.platform.Store.PutRaw(ownerKey, value)
		for _, h := range s.hosts {
			s.platform.Store.PutRaw(hostKey(h.name), value)
		}
		s.submit(n%3, jobID(n), twoStepJob)
		s.awaitState((n+1)%3, jobID(n), "completed")
		if n == 3 {
			poll.Until(t, "the owner's record is written again beside "+name, func() bool { return s.owner() == owner })
		}
	}
	poll.Until(t, "the owner's record is written again", func() bool { return s.owner() == owner })
	s.kill(owner)
	other := (owner + 1) % 3
	s.checkJobTime(other, jobID(100), "its owner was killed")
	for _, value := range []string{"", `{"term":1e400}`, `{"term":9223372036854775807}`, "{}"} {
		s.platform.Store.PutRaw(termKey, []byte(value))
		n++
		s.submit(other, jobID(n), twoStepJob)
		s.awaitState(other, jobID(n), "completed")
	}
	if got := s.runningNow(); got != 3 {
		t.Errorf("%d tasks of the service run, want 3", got)
	}
	s.checkHistory()
}

// Scenario: another writer overwrites the owner's record while the owner is paused for longer than its lease. Guards against an owner
// that takes the record's missing lease for its own: it is never confirmed again, so that nothing starts, and after its end its record
// keeps the partition from other hosts.
func TestOddOwnerRecordWhileTheLeaseEnds(t *testing.T) {
	t.Run("owner goes on", func(t *testing.T) {
		t.Parallel()
		s, owner := siteWithRestoredOwner(t, 17)
		s.checkJobTime((owner+1)%3, jobID(2), "the owner had written its record again")
		s.kill(owner)
		s.checkJobTime((owner+1)%3, jobID(3), "its owner was killed")
		s.checkHistory()
	})
	t.Run("owner is killed at once", func(t *testing.T) {
		t.Parallel()
		s, owner := siteWithRestoredOwner(t, 18)
		s.kill(owner)
		s.checkJobTime((owner+1)%3, jobID(2), "its owner was killed")
		s.checkHistory()
	})
}

// Scenario: another writer overwrites the owner's record, and all hosts lose power before the owner has found that. Guards against a
// partition that stays without an owner for longer than the platform allows a service to wait once the last disturbance is over.
func TestAllHostsAreLostBesideAnOddOwnerRecord(t *testing.T) {
	s := newSite(t, fleet.Config{Seed: 21, Datacentres: []string{"dc1"}, Workers: 3, RunTime: shortTasks}, 3)
	s.submit(0, longRunningID, longRunningJob)
	poll.Until(t, "all services run", func() bool { return s.runningNow() == 3 })
	s.platform.Store.PutRaw(ownerKey, nil)
	s.killAll()
	for _, w := range s.platform.Workers() {
		w.Crash()
	}
	started := time.Now()
	s.startAll()
	poll.Until(t, "all services run again", func() bool { return s.runningNow() == 3 })
	now := time.Now()
	took, stalled := now.Sub(started).Round(time.Millisecond), s.stalls.between(started, now).Round(time.Millisecond)
	if took-stalled > calmBefore+maxWait {
		t.Errorf("services waited %v after the hosts were started, beside stalls of the test process of %v, want at most %v", took, stalled, calmBefore+maxWait)
	} else {
		t.Logf("all ran after %v, beside stalls of the test process of %v", took, stalled)
	}
	s.checkHistory()
}

// siteWithRestoredOwner returns a site of three hosts and the index of its owner, which was paused while its lease ended and another
// writer overwrote its record, and has written the record again.
func siteWithRestoredOwner(t *testing.T, seed uint64) (s *site, owner int) {
	t.Helper()
	s = newSite(t, fleet.Config{Seed: seed, Datacentres: []string{"dc1"}, Workers: 3, RunTime: shortTasks}, 3)
	s.submit(0, jobID(1), twoStepJob)
	s.awaitState(1, jobID(1), "completed")
	owner = s.owner()
	s.signal(owner, syscall.SIGSTOP)
	s.platform.Store.PutRaw(ownerKey, []byte("{}"))
	time.Sleep(2 * term.TTL)
	s.signal(owner, syscall.SIGCONT)
	if got := s.owner(); got != owner {
		t.Fatalf("%s owns the partition, want %s", s.hosts[got].name, s.hosts[owner].name)
	}
	return s, owner
}

// checkJobTime submits a job to host n and fails the test if it has not ended within takeoverBound.
func (s *site) checkJobTime(n int, id, since string) {
	s.t.Helper()
	started := time.Now()
	s.submit(n, id, twoStepJob)
	s.awaitState(n, id, "completed")
	if took := time.Since(started); took > takeoverBound {
		s.t.Errorf("a job took %v since %s, want at most %v", took, since, takeoverBound)
	}
}

// Guards against a caller that is asked to retry a submission which the store can never hold, and against jobs that wait behind it.
func TestSubmissionAboveTheStoresLimit(t *testing.T) {
	s := newSite(t, fleet.Config{Seed: 16, Datacentres: []string{"dc1"}, Workers: 2, RunTime: shortTasks,
		Limits: fleet.Limits{ValueBytes: 8 << 10}}, 2)
	image := `"image":"` + strings.Repeat("x", 16<<10) + `",`
	if status := s.post(0, jobID(1), strings.Replace(twoStepJob, `"count":3`, image+`"count":3`, 1)); status != 413 {
		t.Errorf("status %d, want 413", status)
	}
	s.submit(1, jobID(2), twoStepJob)
	s.awaitState(0, jobID(2), "completed")
	if status := s.status("GET", s.url(0, jobID(1)), ""); status != 410 {
		t.Errorf("status %d for the job that was refused, want 410", status)
	}
}

// Guards against hosts that are refused every lease, and ask for it again and again, on a store whose shortest lease is longer than
// that of an owner's record.
func TestStoreWithALongShortestLease(t *testing.T) {
	s := newSite(t, fleet.Config{Seed: 15, Datacentres: []string{"dc1"}, Workers: 2, RunTime: shortTasks,
		Limits: fleet.Limits{MinTTL: 2 * time.Second}}, 2)
	s.submit(0, jobID(1), twoStepJob)
	s.awaitState(1, jobID(1), "completed")
	owner := s.owner()
	s.kill(owner)
	s.submit(1-owner, jobID(2), twoStepJob)
	s.awaitState(1-owner, jobID(2), "completed")
	s.checkHistory()
}
