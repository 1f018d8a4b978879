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

// roundKinds defines a kind of long tasks, which move by checkpoint, and a kind of short tasks, whose queue makes tasks
// start all the time. Two short tasks fill the memory of a worker, so the queue lasts and leaves processors for the
// long tasks.
const roundKinds = `
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

// permitTTL is the time after the removal of a data centre from service from which no task may start there (I4).
const permitTTL = 3 * time.Second

// faultPastLimit is how long a fault continues after the limit. A shard owner that waits for the store tries to start
// tasks only every few seconds, so a shorter time could pass without an attempt.
const faultPastLimit = 4 * time.Second

const (
	engraveSeconds = 600
	sandSeconds    = 0.3
	// sandTasks is enough for the queue to last longer than a round.
	sandTasks    = 300
	engraveTasks = 4
)

// twoDatacentres configures a cluster of two data centres with two entry hosts and two racks each.
func twoDatacentres() cluster.Config {
	cfg := cluster.Small()
	cfg.Datacentres = cfg.Datacentres[:2]
	cfg.Document = cluster.SmallDocument + roundKinds
	return cfg
}

// rounds runs a series of test rounds on one cluster. Each round submits jobs of its own.
type rounds struct {
	t         *testing.T
	c         *cluster.Cluster
	cfg       cluster.Config
	submitted int                    // jobs submitted; numbers their idempotency keys
	longJob   structs.JobRecord      // engrave job of the round: long tasks
	queueJob  structs.JobRecord      // sand job of the round: a queue of short tasks
	cancelled map[structs.JobID]bool // jobs that the test has cancelled
}

func newRounds(t *testing.T, cfg cluster.Config) *rounds {
	return &rounds{t: t, c: start(t, cfg), cfg: cfg, cancelled: map[structs.JobID]bool{}}
}

// now returns the current time on the clock of the history.
func (s *rounds) now() time.Duration { return s.c.Platform.History.Elapsed(time.Now()) }

// awaitTime waits until the clock of the history reaches a time.
func (s *rounds) awaitTime(at time.Duration) {
	s.t.Helper()
	s.c.Await(fmt.Sprintf("time %s", at), func() bool { return s.now() >= at })
}

// startsAfter counts the task starts on the selected hosts after a time.
func (s *rounds) startsAfter(at time.Duration, selected func(structs.HostID) bool) int {
	return len(invariants.NoStart(s.c.Platform.History.Events(), at, selected))
}

// submit submits a job through data centre a and waits until it is accepted.
func (s *rounds) submit(kind structs.KindName, tasks int, seconds float64) structs.JobRecord {
	s.t.Helper()
	s.submitted++
	spec := structs.JobSpec{Team: "cutters", Kind: kind, Tasks: tasks, RunSeconds: seconds, Key: fmt.Sprint("shift-", s.submitted)}
	var record structs.JobRecord
	s.c.Await("a job of kind "+string(kind)+" is accepted", func() bool {
		answer, status := cluster.SubmitJob(base(s.c, "a-entry-0"), spec)
		record = answer
		return status < 300 && answer.ID != ""
	})
	if record.Home.Datacentre != "a" {
		s.t.Fatalf("job %s has its home in %s", record.ID, record.Home)
	}
	return record
}

// set changes the state of a data centre and waits until every entry host reports the new state.
func (s *rounds) set(dc structs.DatacentreID, state structs.DatacentreState) {
	s.t.Helper()
	s.c.Await(fmt.Sprintf("%s is %s", dc, state), func() bool {
		return s.c.SetDatacentre(base(s.c, "b-entry-0"), dc, state) == http.StatusOK
	})
	for _, id := range s.c.Entries() {
		s.c.Await(fmt.Sprintf("%s reports that %s is %s", id, dc, state), func() bool {
			return cluster.DatacentreState(base(s.c, id), dc) == state
		})
	}
}

func (s *rounds) cancel(id structs.JobID) {
	s.cancelled[id] = true
	s.c.Await("cancellation of "+string(id), func() bool {
		return cluster.CancelJob(base(s.c, "b-entry-0"), id) < 300
	})
}

// beginRound submits the jobs of a round and waits until they run in data centre a. Data centre b is out of service
// during the submissions, so that the jobs get their home in a although the task starts there ramp up after its return
// to service.
func (s *rounds) beginRound() {
	s.t.Helper()
	s.set("b", structs.DatacentreOut)
	s.longJob = s.submit("engrave", engraveTasks, engraveSeconds)
	s.queueJob = s.submit("sand", sandTasks, sandSeconds)
	s.set("b", structs.DatacentreIn)
	s.awaitRunning("a")
	from := s.now()
	s.c.Await("tasks start in a", func() bool { return s.startsAfter(from, invariants.InDatacentre("a")) > 0 })
}

// endRound cancels the jobs of a round.
func (s *rounds) endRound() {
	s.cancel(s.longJob.ID)
	s.cancel(s.queueJob.ID)
}

// running returns the worker of each running task.
func (s *rounds) running() map[structs.TaskID]structs.HostID {
	running := map[structs.TaskID]structs.HostID{}
	for _, e := range s.c.Platform.History.Events() {
		switch e.Type {
		case standin.TaskStarted:
			running[e.Task] = e.Host
		case standin.TaskStopped, standin.TaskExpired, standin.TaskFailed, standin.TaskFinished:
			if running[e.Task] == e.Host { // workers may record an event late
				delete(running, e.Task)
			}
		}
	}
	return running
}

// awaitRunning waits until every task of the long job runs in dc.
func (s *rounds) awaitRunning(dc structs.DatacentreID) {
	s.t.Helper()
	s.awaitRunningOn(string(dc), invariants.InDatacentre(dc))
}

// awaitRunningOn waits until every task of the long job runs on a selected worker.
func (s *rounds) awaitRunningOn(where string, selected func(structs.HostID) bool) {
	s.t.Helper()
	s.c.Await("the long tasks run on "+where, func() bool {
		count := 0
		for id, host := range s.running() {
			if id.Job == s.longJob.ID && selected(host) {
				count++
			}
		}
		return count == engraveTasks
	})
}

// takeOut takes data centre a out of service through an entry host, requires the given status, and returns the time
// after which no task may start there.
func (s *rounds) takeOut(through structs.HostID, want int) time.Duration {
	s.t.Helper()
	if status := s.c.SetDatacentre(base(s.c, through), "a", structs.DatacentreOut); status != want {
		s.t.Fatalf("removal through %s: status %d, want %d", through, status, want)
	}
	return s.now() + permitTTL
}

// awaitMoved waits until the long tasks run in data centre b and tasks of the queue start there after limit.
func (s *rounds) awaitMoved(limit time.Duration) {
	s.t.Helper()
	s.awaitRunning("b")
	s.awaitTime(limit)
	from := s.now()
	s.c.Await("tasks of the queue start in b", func() bool { return s.startsAfter(from, invariants.InDatacentre("b")) > 0 })
}

// checkNoStart fails the test for every task start in data centre a after limit.
func (s *rounds) checkNoStart(limit time.Duration) {
	s.t.Helper()
	for _, v := range invariants.NoStart(s.c.Platform.History.Events(), limit, invariants.InDatacentre("a")) {
		s.t.Error(v)
	}
}

// checkHistory checks the invariants about tasks over all rounds.
func (s *rounds) checkHistory() {
	s.t.Helper()
	events := s.c.Platform.History.Events()
	capacity := map[structs.HostID]structs.Resources{}
	for id := range s.c.Platform.Workers {
		capacity[id] = s.cfg.Worker.Capacity
	}
	violations := append(invariants.Capacity(events, capacity), invariants.SingleRun(events)...)
	violations = append(violations, invariants.ResumeOnce(events, func(id structs.TaskID) bool { return !s.cancelled[id.Job.WithoutPart()] })...)
	for _, v := range violations {
		s.t.Error(v)
	}
}

// finishRemoval ends a round after the removal of data centre a: it waits until the tasks have moved, checks that none
// started in a, cancels the jobs and returns a to service.
func (s *rounds) finishRemoval(limit time.Duration) {
	s.t.Helper()
	s.awaitMoved(limit)
	s.checkNoStart(limit)
	s.checkHistory()
	s.endRound()
	s.set("a", structs.DatacentreIn)
}

// Guards against task starts in a data centre more than PermitTTL after operators have taken it out of service, and
// against tasks that are lost or run twice when they move: with the owner of the shard frozen during the removal, the
// data centre partitioned, the response of the store lost, the store down right after the write or before the command,
// and the entry host that handled the command killed.
func TestDatacentreTakenOutAndBack(t *testing.T) {
	s := newRounds(t, twoDatacentres())
	for _, round := range []struct {
		name string
		run  func(*rounds)
	}{
		{"owner frozen", frozenOwner},
		{"partition", partitionedRemoval},
		{"response lost and entry host killed", lostResponseAndKill},
		{"outage after the write", outageAfterWrite},
		{"store down before the command", storeDownBefore},
	} {
		t.Logf("%s at %s", round.name, s.now())
		s.beginRound()
		t.Logf("tasks run at %s", s.now())
		round.run(s)
	}
	s.beginRound() // the data centre must receive tasks again after its last return
	s.checkHistory()
}

// frozenOwner freezes the owner during the removal and resumes it when its permit and its ownership have expired.
func frozenOwner(s *rounds) {
	owner := s.c.Owner(s.longJob.Home)
	s.c.Pause(owner)
	limit := s.takeOut("b-entry-0", http.StatusOK)
	s.awaitTime(limit)
	s.c.Resume(owner)
	s.finishRemoval(limit)
}

// partitionedRemoval isolates data centre a before the removal. The tasks there keep running until the partition ends.
func partitionedRemoval(s *rounds) {
	s.c.IsolateDatacentre("a")
	limit := s.takeOut("b-entry-0", http.StatusOK)
	s.awaitTime(limit + faultPastLimit)
	s.awaitRunning("a")
	s.c.Heal()
	s.finishRemoval(limit)
}

// lostResponseAndKill loses the response of the store to the removal and kills the entry host that handled it.
func lostResponseAndKill(s *rounds) {
	owner := s.c.Owner(s.longJob.Home)
	s.c.Platform.Store.SetTxnFault(standin.TxnFault{Prefix: datacentreKey, Count: 1})
	limit := s.takeOut(owner, http.StatusOK)
	s.c.Kill(owner)
	s.awaitMoved(limit)
	s.c.Restart(owner)
	s.c.AwaitReady(owner)
	s.finishRemoval(limit)
}

const datacentreKey = "/fulmarcourse/production/control/datacentres/a"

// outageAfterWrite loses the response to the removal and takes the store down with it: the command must report an
// unknown outcome.
func outageAfterWrite(s *rounds) {
	s.c.Platform.Store.SetTxnFault(standin.TxnFault{Prefix: datacentreKey, Count: 1, Down: true})
	limit := s.takeOut("b-entry-0", http.StatusGatewayTimeout)
	s.awaitTime(limit)
	s.awaitRunning("a")
	s.checkNoStart(limit)
	s.c.Platform.Store.SetDown(false)
	s.finishRemoval(limit)
}

// storeDownBefore attempts a removal during an outage of the store. The removal has no effect, and tasks continue to
// start while all members confirm that no data centre was removed, but not during a partition.
func storeDownBefore(s *rounds) {
	s.c.Platform.Store.SetDown(true)
	from := s.takeOut("b-entry-0", http.StatusServiceUnavailable)
	s.awaitTime(from)
	s.c.Await("tasks start in a during the outage", func() bool { return s.startsAfter(s.now()-time.Second, invariants.InDatacentre("a")) > 0 })
	s.c.IsolateDatacentre("a")
	limit := s.now() + permitTTL
	s.awaitTime(limit + faultPastLimit)
	s.checkNoStart(limit)
	s.c.Heal()
	s.c.Await("tasks start in a after the partition", func() bool { return s.startsAfter(limit+faultPastLimit, invariants.InDatacentre("a")) > 0 })
	s.c.Platform.Store.SetDown(false)
	s.awaitRunning("a")
	s.endRound()
}
