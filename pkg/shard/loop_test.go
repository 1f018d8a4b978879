package shard

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/quarantine"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
	"fulmarcourse.example/fulmarcourse/pkg/store"
	"fulmarcourse.example/fulmarcourse/pkg/worker"
)

const testEpoch structs.Epoch = 7

var (
	testShard   = structs.ShardID{Datacentre: "a", Index: 0}
	otherShard  = structs.ShardID{Datacentre: "b", Index: 0}
	testWorkers = []structs.Host{testWorker("w1"), testWorker("w2")}
)

func testWorker(id structs.HostID) structs.Host {
	return structs.Host{
		ID: id, Role: structs.RoleWorker, State: structs.HostLive, Datacentre: "a", Rack: "r", Address: string(id),
		Capacity: structs.Resources{MilliCPU: 4000, MemoryBytes: 1 << 30},
	}
}

// world is a fake of everything that a loop uses. Its fields are guarded by mu.
type world struct {
	mu            sync.Mutex
	now           time.Time
	owner         bool
	permit        error
	workers       []structs.Host
	running       map[structs.HostID]map[structs.TaskID]structs.WorkerTask
	startErr      error
	checkpointErr error
	startTime     time.Duration           // from the sending of a start command to its answer
	silent        map[structs.HostID]bool // workers that do not answer renewals
	starts        []structs.StartCommand
	contact       time.Time     // last store contact; now when zero
	lease         time.Duration // of the latest renewal
	records       []jobs.Stored
	afterLoad     []jobs.Stored // appear after the first load
	storeAnswers  chan struct{} // when set, reads of changes wait until it is closed
	loop          *Loop
}

func newWorld() *world {
	return &world{
		now: time.Unix(1000, 0), owner: true, workers: testWorkers,
		running: map[structs.HostID]map[structs.TaskID]structs.WorkerTask{"w1": {}, "w2": {}},
		silent:  map[structs.HostID]bool{},
	}
}

func (w *world) clock() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

func (w *world) advance(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
}

func (w *world) Valid(structs.ShardID) (structs.Epoch, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.owner {
		return 0, errors.New("not the owner")
	}
	return testEpoch, nil
}

func (w *world) MayStart() error { return w.permit }

func (w *world) Renew(_ context.Context, addr string, req worker.RenewRequest) (structs.Inventory, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease = req.Lease
	id := structs.HostID(addr)
	if w.silent[id] {
		return structs.Inventory{}, errors.WithType(errors.New("no answer"), worker.ErrUncertain)
	}
	inventory := structs.Inventory{Worker: id, Clock: w.now.UnixNano()}
	for _, t := range w.running[id] {
		inventory.Tasks = append(inventory.Tasks, t)
	}
	return inventory, nil
}

func (w *world) Start(_ context.Context, addr string, cmd structs.StartCommand) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, cmd)
	w.now = w.now.Add(w.startTime)
	if w.startErr != nil {
		return w.startErr
	}
	w.running[structs.HostID(addr)][cmd.Task] = structs.WorkerTask{
		Task: cmd.Task, Attempt: cmd.Attempt, Kind: cmd.Kind, State: structs.WorkerTaskRunning, Reserved: cmd.Reserved,
	}
	return nil
}

func (w *world) Checkpoint(context.Context, string, worker.AttemptRef) (string, error) {
	return "c1", w.checkpointErr
}

func (w *world) Throttle(context.Context, string, worker.AttemptRef, float64) error { return nil }

func (w *world) Stop(_ context.Context, addr string, ref worker.AttemptRef) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	tasks := w.running[structs.HostID(addr)]
	if t, ok := tasks[ref.Task]; ok && t.Attempt == ref.Attempt {
		t.State, t.Checkpoint = structs.WorkerTaskStopped, "c1"
		tasks[ref.Task] = t
	}
	return nil
}

func (w *world) LoadHome(context.Context, structs.ShardID) (jobs.Loaded, error) {
	return jobs.Loaded{Jobs: w.records, Revision: 10}, nil
}

func (w *world) Changes(context.Context, int64) (jobs.Loaded, error) {
	w.mu.Lock()
	answers := w.storeAnswers
	w.mu.Unlock()
	if answers != nil {
		<-answers
	}
	return jobs.Loaded{Jobs: w.afterLoad, Revision: 11}, nil
}

// ChooseHome reads the loop's digest, as the wiring does through the digests of all local shards.
func (w *world) ChooseHome(structs.JobRecord, structs.ShardID) (structs.ShardID, bool) {
	w.loop.Digest()
	return otherShard, true
}

func (w *world) Document() (structs.Document, structs.DocumentRecord, bool) {
	declared := structs.Resources{MilliCPU: 1000, MemoryBytes: 1 << 20}
	return structs.Document{Kinds: map[structs.KindName]structs.Kind{
		"trace":    {Name: "trace", Class: structs.Batch, Idempotent: true, Checkpointable: true, Declared: declared},
		"template": {Name: "template", Class: structs.Batch, Declared: declared},
	}}, structs.DocumentRecord{}, true
}

func (w *world) Datacentre(structs.DatacentreID) structs.DatacentreState { return structs.DatacentreIn }

func (w *world) Workers(structs.ShardID) []structs.Host { return w.workers }

func (w *world) TotalCapacity() structs.Resources {
	return structs.Resources{MilliCPU: 8000, MemoryBytes: 2 << 30}
}

func (w *world) LatencyByMachine() map[string]float64 { return nil }

func (w *world) LastStoreContact() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.contact.IsZero() {
		return w.contact
	}
	return w.now
}

func (w *world) NotifyJobs(context.Context, structs.ShardID, []structs.JobID) {}

// applyAll is a store that applies every transaction.
type applyAll struct {
	mu       sync.Mutex
	revision int64
}

func (s *applyAll) Get(context.Context, string) (store.KeyValue, bool, error) {
	return store.KeyValue{}, false, nil
}

func (s *applyAll) Range(context.Context, string, int64) (store.RangeResult, error) {
	return store.RangeResult{}, nil
}

func (s *applyAll) Txn(context.Context, store.Txn) (store.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	return store.TxnResult{Applied: true, Revision: 100 + s.revision}, nil
}

// newTestLoop returns a loop whose cycles the test runs by itself.
func newTestLoop(t *testing.T, w *world) *Loop {
	cfg := Config{
		Ownership: w, Permits: w, Workers: w, Records: w, Homes: w, Environment: w,
		Clock: w.clock, Metrics: tally.NoopScope, Log: eventlog.Discard(), Seed: 1, Policy: "best-fit",
		NewBatch: func(id structs.ShardID, epoch structs.Epoch, onCancel func(structs.JobID)) *jobs.Batch {
			return jobs.NewBatch(jobs.BatchConfig{
				Store: &applyAll{}, Notifier: w, Environment: "test", Shard: id, Epoch: epoch, OnCancel: onCancel,
			})
		},
	}
	w.loop = newLoop(cfg, testShard, testEpoch)
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(done)
		_ = w.loop.batch.Run(ctx) // ends with the context
	}()
	t.Cleanup(func() { cancel(); <-done })
	return w.loop
}

// step runs one cycle of a loop at a later time, completes its calls and writes its records.
func step(t *testing.T, l *Loop, w *world, d time.Duration) {
	t.Helper()
	w.advance(d)
	var due schedule
	l.cycle(t.Context(), &due)
	l.calls.Wait()
	for l.batch.Pending() > 0 {
		if err := l.batch.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

func storedJob(id structs.JobID, kind structs.KindName, tasks ...structs.TaskRecord) jobs.Stored {
	return jobs.Stored{ModRevision: 5, Record: structs.JobRecord{
		ID: id, Home: testShard, Spec: structs.JobSpec{Team: "t", Kind: kind, Tasks: len(tasks)}, Tasks: tasks,
	}}
}

func pendingTask() structs.TaskRecord { return structs.TaskRecord{State: structs.TaskPending} }

// Guards against a deadlock: the choice of a new home reads the digests of all local shards, and the loop used to
// hold its own lock meanwhile.
func TestChoiceOfHomeMayReadDigest(t *testing.T) {
	w := newWorld()
	w.workers = nil // nothing can start, so the job waits
	w.records = []jobs.Stored{storedJob("j", "trace", pendingTask())}
	l := newTestLoop(t, w)
	step(t, l, w, 0) // reads the records
	step(t, l, w, 0) // plans for the first time
	step(t, l, w, rehomeAfter+time.Second)
	if home := l.table.jobs["j"]; home != nil && home.record.Home != otherShard {
		t.Fatalf("home is %s", home.record.Home)
	}
}

// Guards against a second run after a takeover: a task recorded as pending may run on a worker that has not answered.
func TestNewOwnerWaitsForSilentWorker(t *testing.T) {
	w := newWorld()
	w.records = []jobs.Stored{storedJob("old", "trace", pendingTask())}
	w.silent["w2"] = true
	l := newTestLoop(t, w)
	step(t, l, w, 0)
	step(t, l, w, time.Second)
	w.afterLoad = []jobs.Stored{storedJob("new", "trace", pendingTask())}
	step(t, l, w, time.Second)
	step(t, l, w, time.Second)
	if len(w.starts) != 1 || w.starts[0].Task.Job != "new" {
		t.Fatalf("starts before the silent worker's leases expired: %+v", w.starts)
	}
	for waited := time.Duration(0); waited < unreachableAfter+TaskLeaseTTL+2*leaseDrift; waited += time.Second {
		step(t, l, w, time.Second)
	}
	if len(w.starts) != 2 {
		t.Fatalf("the job did not start after the leases expired: %+v", w.starts)
	}
}

// Guards against a start that is sent twice as two attempts, or elsewhere, when its answer was lost.
func TestUnansweredStartIsRepeatedAsTheSameAttempt(t *testing.T) {
	w := newWorld()
	w.records = []jobs.Stored{storedJob("j", "template", pendingTask())}
	w.startErr = errors.WithType(errors.New("lost"), worker.ErrUncertain)
	l := newTestLoop(t, w)
	for range 4 {
		step(t, l, w, commandRepeat+time.Second)
	}
	w.mu.Lock()
	w.startErr = nil
	w.mu.Unlock()
	for range 3 {
		step(t, l, w, commandRepeat+time.Second)
	}
	if len(w.starts) < 2 {
		t.Fatalf("the start was not repeated: %+v", w.starts)
	}
	for _, cmd := range w.starts {
		if cmd.Attempt != 1 || cmd.Task.Index != 0 {
			t.Fatalf("another attempt was started: %+v", cmd)
		}
	}
}

// Guards against commands of a process that has lost the shard or its permit.
func TestNothingStartsWithoutOwnershipOrPermit(t *testing.T) {
	w := newWorld()
	w.records = []jobs.Stored{storedJob("j", "trace", pendingTask())}
	l := newTestLoop(t, w)
	w.permit = errors.New("out of service")
	for range 3 {
		step(t, l, w, time.Second)
	}
	w.permit, w.owner = nil, false
	for range 3 {
		step(t, l, w, time.Second)
	}
	if len(w.starts) != 0 {
		t.Fatalf("started: %+v", w.starts)
	}
}

// Guards against a job that moves back and forth between shards: a task that pauses after a failure does not wait for
// capacity, so the job stays and starts here after the pause.
func TestPauseAfterFailureDoesNotMoveTheJob(t *testing.T) {
	w := newWorld()
	failed := structs.TaskRecord{State: structs.TaskPending, Attempt: 1, FailedOn: []structs.HostID{"x1", "x2"}}
	w.records = []jobs.Stored{storedJob("j", "trace", failed)}
	l := newTestLoop(t, w)
	for waited := time.Duration(0); waited < 2*quarantine.InitialRetryDelay+rehomeAfter; waited += time.Second {
		step(t, l, w, time.Second)
	}
	if len(w.starts) != 1 || w.starts[0].Attempt != 2 {
		t.Fatalf("starts: %+v", w.starts)
	}
}

// Guards against an overcommitted worker: planned tasks count before their start commands are answered.
func TestCapacityCountsUnansweredStarts(t *testing.T) {
	w := newWorld()
	tasks := make([]structs.TaskRecord, 20)
	for i := range tasks {
		tasks[i] = pendingTask()
	}
	w.records = []jobs.Stored{storedJob("j", "trace", tasks...)}
	w.startErr = errors.WithType(errors.New("lost"), worker.ErrUncertain)
	l := newTestLoop(t, w)
	for range 5 {
		step(t, l, w, time.Second)
	}
	first := map[structs.TaskID]bool{}
	for _, cmd := range w.starts {
		first[cmd.Task] = true
	}
	if len(first) != 8 {
		t.Fatalf("%d tasks of 1000m started on workers of 8000m together", len(first))
	}
}
