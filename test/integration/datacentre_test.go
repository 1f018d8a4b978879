package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
	"fulmarcourse.example/fulmarcourse/test/invariants"
)

// shiftKinds are a long kind that is moved by checkpoint and a short one that keeps a queue of starts. Two tasks of the
// short kind fill the memory of a worker, so that the queue lasts and leaves processors for the long kind.
const shiftKinds = `
[kind engrave]
class = batch
idempotent = yes
checkpointable = yes
cpu = 1
memory = 1GiB
run-time = 10m

[kind sand]
class = batch
idempotent = yes
checkpointable = yes
cpu = 1
memory = 25GiB
run-time = 300ms
`

// permitTTL is the time after which no task starts in a data centre that was taken out of service (I4).
const permitTTL = 3 * time.Second

// pastLimit is how long a fault lasts after the limit. A shard owner that waits for the store starts tasks only every
// few seconds, so that a shorter time could pass without an attempt.
const pastLimit = 4 * time.Second

const (
	engraveSeconds = 600
	sandSeconds    = 0.3
	// sandTasks is a queue that lasts longer than a round.
	sandTasks    = 300
	engraveTasks = 4
)

// twoDatacentres is a cluster of two data centres with two entry hosts and two racks each.
func twoDatacentres() cluster.Config {
	cfg := cluster.Small()
	cfg.Datacentres = cfg.Datacentres[:2]
	cfg.Document = cluster.SmallDocument + shiftKinds
	return cfg
}

// shift drives one cluster through a series of rounds. Each round has work of its own.
type shift struct {
	t    *testing.T
	c    *cluster.Cluster
	cfg  cluster.Config
	keys int
	long structs.JobRecord // engrave job of the round
	busy structs.JobRecord // sand job of the round
	done map[structs.JobID]bool
}

func newShift(t *testing.T, cfg cluster.Config) *shift {
	return &shift{t: t, c: start(t, cfg), cfg: cfg, done: map[structs.JobID]bool{}}
}

// now is the present time of the history.
func (s *shift) now() time.Duration { return s.c.Platform.History.Elapsed(time.Now()) }

// awaitTime waits until the history has reached a time.
func (s *shift) awaitTime(at time.Duration) {
	s.t.Helper()
	s.c.Await(fmt.Sprintf("time %s", at), func() bool { return s.now() >= at })
}

// startsAfter counts the task starts on the selected hosts after a time.
func (s *shift) startsAfter(at time.Duration, selected func(structs.HostID) bool) int {
	return len(invariants.NoStart(s.c.Platform.History.Events(), at, selected))
}

// submit submits a job through data centre a and waits until it is accepted.
func (s *shift) submit(kind structs.KindName, tasks int, seconds float64) structs.JobRecord {
	s.t.Helper()
	s.keys++
	spec := structs.JobSpec{Team: "cutters", Kind: kind, Tasks: tasks, RunSeconds: seconds, Key: fmt.Sprint("shift-", s.keys)}
	var record structs.JobRecord
	s.c.Await("a job of kind "+string(kind)+" is accepted", func() bool {
		submitted, status := cluster.SubmitJob(base(s.c, "a-entry-0"), spec)
		record = submitted
		return status < 300 && submitted.ID != ""
	})
	if record.Home.Datacentre != "a" {
		s.t.Fatalf("job %s has its home in %s", record.ID, record.Home)
	}
	return record
}

// set changes the state of a data centre and waits until every entry host knows it.
func (s *shift) set(dc structs.DatacentreID, state structs.DatacentreState) {
	s.t.Helper()
	s.c.Await(fmt.Sprintf("%s is %s", dc, state), func() bool {
		return s.c.SetDatacentre(base(s.c, "b-entry-0"), dc, state) == http.StatusOK
	})
	for _, id := range s.c.Entries() {
		s.c.Await(fmt.Sprintf("%s knows that %s is %s", id, dc, state), func() bool {
			return cluster.DatacentreState(base(s.c, id), dc) == state
		})
	}
}

func (s *shift) cancel(id structs.JobID) {
	s.done[id] = true
	s.c.Await("cancellation of "+string(id), func() bool {
		return cluster.CancelJob(base(s.c, "b-entry-0"), id) < 300
	})
}

// begin submits the work of a round and waits until it runs in data centre a. The other data centre is out of service
// meanwhile, so that the jobs get their home in a although its starts ramp up after a return.
func (s *shift) begin() {
	s.t.Helper()
	s.set("b", structs.DatacentreOut)
	s.long = s.submit("engrave", engraveTasks, engraveSeconds)
	s.busy = s.submit("sand", sandTasks, sandSeconds)
	s.set("b", structs.DatacentreIn)
	s.awaitRunning("a")
	from := s.now()
	s.c.Await("tasks start in a", func() bool { return s.startsAfter(from, invariants.InDatacentre("a")) > 0 })
}

// end cancels the work of a round.
func (s *shift) end() {
	s.cancel(s.long.ID)
	s.cancel(s.busy.ID)
}

// running returns the worker of each task that runs.
func (s *shift) running() map[structs.TaskID]structs.HostID {
	running := map[structs.TaskID]structs.HostID{}
	for _, e := range s.c.Platform.History.Events() {
		switch e.Type {
		case standin.TaskStarted:
			running[e.Task] = e.Host
		case standin.TaskStopped, standin.TaskExpired, standin.TaskFailed, standin.TaskFinished:
			if running[e.Task] == e.Host { // workers may record late
				delete(running, e.Task)
			}
		}
	}
	return running
}

// awaitRunning waits until every task of the long job runs in dc.
func (s *shift) awaitRunning(dc structs.DatacentreID) {
	s.t.Helper()
	s.awaitRunningOn(string(dc), invariants.InDatacentre(dc))
}

// awaitRunningOn waits until every task of the long job runs on a selected worker.
func (s *shift) awaitRunningOn(where string, selected func(structs.HostID) bool) {
	s.t.Helper()
	s.c.Await("the long tasks run on "+where, func() bool {
		count := 0
		for id, host := range s.running() {
			if id.Job == s.long.ID && selected(host) {
				count++
			}
		}
		return count == engraveTasks
	})
}

// out takes data centre a out of service through an entry host and returns the time after which no task may start
// there.
func (s *shift) out(through structs.HostID, want int) time.Duration {
	s.t.Helper()
	if status := s.c.SetDatacentre(base(s.c, through), "a", structs.DatacentreOut); status != want {
		s.t.Fatalf("removal through %s: status %d, want %d", through, status, want)
	}
	return s.now() + permitTTL
}

// awaitMoved waits until the work of the round has left data centre a and goes on in b.
func (s *shift) awaitMoved(limit time.Duration) {
	s.t.Helper()
	s.awaitRunning("b")
	s.awaitTime(limit)
	from := s.now()
	s.c.Await("the queue goes on in b", func() bool { return s.startsAfter(from, invariants.InDatacentre("b")) > 0 })
}

// checkNoStart fails the test for starts in data centre a since limit.
func (s *shift) checkNoStart(limit time.Duration) {
	s.t.Helper()
	for _, v := range invariants.NoStart(s.c.Platform.History.Events(), limit, invariants.InDatacentre("a")) {
		s.t.Error(v)
	}
}

// checkHistory checks the invariants about tasks over all rounds.
func (s *shift) checkHistory() {
	s.t.Helper()
	events := s.c.Platform.History.Events()
	capacity := map[structs.HostID]structs.Resources{}
	for id := range s.c.Platform.Workers {
		capacity[id] = s.cfg.Worker.Capacity
	}
	violations := append(invariants.Capacity(events, capacity), invariants.SingleRun(events)...)
	violations = append(violations, invariants.ResumeOnce(events, func(id structs.TaskID) bool { return !s.done[id.Job.WithoutPart()] })...)
	for _, v := range violations {
		s.t.Error(v)
	}
}

// leave is the usual end of a round after the removal: the work moves, nothing starts in a, and a returns.
func (s *shift) leave(limit time.Duration) {
	s.t.Helper()
	s.awaitMoved(limit)
	s.checkNoStart(limit)
	s.checkHistory()
	s.end()
	s.set("a", structs.DatacentreIn)
}

// Guards against task starts in a data centre more than PermitTTL after operators have taken it out of service, and
// against work that is lost or runs twice when it moves: with the owner of the shard frozen across the removal, with
// the data centre partitioned, with the response of the store lost, with an outage right after the write, and with
// the entry host killed that handled the command.
func TestDatacentreTakenOutAndBack(t *testing.T) {
	s := newShift(t, twoDatacentres())
	for _, round := range []struct {
		name string
		run  func(*shift)
	}{
		{"owner frozen", frozenOwner},
		{"partition", partitionedRemoval},
		{"response lost and entry host killed", lostResponseAndKill},
		{"outage after the write", outageAfterWrite},
		{"store down before the command", storeDownBefore},
	} {
		t.Logf("%s at %s", round.name, s.now())
		s.begin()
		t.Logf("work runs at %s", s.now())
		round.run(s)
	}
	s.begin() // the data centre gets work again after the last return
	s.checkHistory()
}

// frozenOwner resumes the owner when its permit and its ownership have expired.
func frozenOwner(s *shift) {
	owner := s.c.Owner(s.long.Home)
	s.c.Pause(owner)
	limit := s.out("b-entry-0", http.StatusOK)
	s.awaitTime(limit)
	s.c.Resume(owner)
	s.leave(limit)
}

// partitionedRemoval cuts a off before the removal. Its tasks keep running there until the partition ends.
func partitionedRemoval(s *shift) {
	s.c.IsolateDatacentre("a")
	limit := s.out("b-entry-0", http.StatusOK)
	s.awaitTime(limit + pastLimit)
	s.awaitRunning("a")
	s.c.Heal()
	s.leave(limit)
}

// lostResponseAndKill loses the response of the store to the removal and kills the entry host that handled it.
func lostResponseAndKill(s *shift) {
	owner := s.c.Owner(s.long.Home)
	s.c.Platform.Store.SetTxnFault(standin.TxnFault{Prefix: datacentreKey, Count: 1})
	limit := s.out(owner, http.StatusOK)
	s.c.Kill(owner)
	s.awaitMoved(limit)
	s.c.Restart(owner)
	s.c.AwaitReady(owner)
	s.leave(limit)
}

const datacentreKey = "/fulmarcourse/production/control/datacentres/a"

// outageAfterWrite loses the response and lets the store fail with it: the command must not claim to know the result.
func outageAfterWrite(s *shift) {
	s.c.Platform.Store.SetTxnFault(standin.TxnFault{Prefix: datacentreKey, Count: 1, Down: true})
	limit := s.out("b-entry-0", http.StatusGatewayTimeout)
	s.awaitTime(limit)
	s.awaitRunning("a")
	s.checkNoStart(limit)
	s.c.Platform.Store.SetDown(false)
	s.leave(limit)
}

// storeDownBefore tries a removal during an outage: it has no effect, and tasks go on starting while all members
// confirm that nothing was removed, but not in a partition.
func storeDownBefore(s *shift) {
	s.c.Platform.Store.SetDown(true)
	from := s.out("b-entry-0", http.StatusServiceUnavailable)
	s.awaitTime(from)
	s.c.Await("tasks start in a during the outage", func() bool { return s.startsAfter(s.now()-time.Second, invariants.InDatacentre("a")) > 0 })
	s.c.IsolateDatacentre("a")
	limit := s.now() + permitTTL
	s.awaitTime(limit + pastLimit)
	s.checkNoStart(limit)
	s.c.Heal()
	s.c.Await("tasks start in a after the partition", func() bool { return s.startsAfter(limit+pastLimit, invariants.InDatacentre("a")) > 0 })
	s.c.Platform.Store.SetDown(false)
	s.awaitRunning("a")
	s.end()
}
