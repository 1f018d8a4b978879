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

// fakes implements all dependencies of a loop except the store of the batch. mu guards its fields.
type fakes struct {
	mu            sync.Mutex
	now           time.Time
	owner         bool
	permit        error
	workers       []structs.Host
	running       map[structs.HostID]map[structs.TaskID]structs.WorkerTask
	startErr      error
	checkpointErr error
	startLatency  time.Duration           // time from the sending of a start command to its response
	unresponsive  map[structs.HostID]bool // workers that do not answer renewals
	starts        []structs.StartCommand
	storeContact  time.Time     // last contact with the store; the current time when zero
	lastLease     time.Duration // requested by the latest renewal
	records       []jobs.Stored
	afterLoad     []jobs.Stored // returned by reads of changes
	storeResponds chan struct{} // when set, reads of changes block until it is closed
	loop          *Loop
}

func newFakes() *fakes {
	return &fakes{
		now: time.Unix(1000, 0), owner: true, workers: testWorkers,
		running:      map[structs.HostID]map[structs.TaskID]structs.WorkerTask{"w1": {}, "w2": {}},
		unresponsive: map[structs.HostID]bool{},
	}
}

func (f *fakes) clock() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fakes) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

func (f *fakes) Valid(structs.ShardID) (structs.Epoch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.owner {
		return 0, errors.New("not the owner")
	}
	return testEpoch, nil
}

func (f *fakes) MayStart() error { return f.permit }

func (f *fakes) Renew(_ context.Context, addr string, req worker.RenewRequest) (structs.Inventory, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastLease = req.Lease
	id := structs.HostID(addr)
	if f.unresponsive[id] {
		return structs.Inventory{}, errors.WithType(errors.New("no answer"), worker.ErrUncertain)
	}
	inventory := structs.Inventory{Worker: id, Clock: f.now.UnixNano()}
	for _, t := range f.running[id] {
		inventory.Tasks = append(inventory.Tasks, t)
	}
	return inventory, nil
}

func (f *fakes) Start(_ context.Context, addr string, cmd structs.StartCommand) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, cmd)
	f.now = f.now.Add(f.startLatency)
	if f.startErr != nil {
		return f.startErr
	}
	f.running[structs.HostID(addr)][cmd.Task] = structs.WorkerTask{
		Task: cmd.Task, Attempt: cmd.Attempt, Kind: cmd.Kind, State: structs.WorkerTaskRunning, Reserved: cmd.Reserved,
	}
	return nil
}

func (f *fakes) Checkpoint(context.Context, string, worker.AttemptRef) (string, error) {
	return "c1", f.checkpointErr
}

func (f *fakes) Throttle(context.Context, string, worker.AttemptRef, float64) error { return nil }

func (f *fakes) Stop(_ context.Context, addr string, ref worker.AttemptRef) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	tasks := f.running[structs.HostID(addr)]
	if t, ok := tasks[ref.Task]; ok && t.Attempt == ref.Attempt {
		t.State, t.Checkpoint = structs.WorkerTaskStopped, "c1"
		tasks[ref.Task] = t
	}
	return nil
}

func (f *fakes) LoadHome(context.Context, structs.ShardID) (jobs.Loaded, error) {
	return jobs.Loaded{Jobs: f.records, Revision: 10}, nil
}

func (f *fakes) Changes(context.Context, int64) (jobs.Loaded, error) {
	f.mu.Lock()
	responds := f.storeResponds
	f.mu.Unlock()
	if responds != nil {
		<-responds
	}
	return jobs.Loaded{Jobs: f.afterLoad, Revision: 11}, nil
}

// ChooseHome reads the loop's digest, as the production implementation reads the digests of all local shards.
func (f *fakes) ChooseHome(structs.JobRecord, structs.ShardID) (structs.ShardID, bool) {
	f.loop.Digest()
	return otherShard, true
}

func (f *fakes) Document() (structs.Document, structs.DocumentRecord, bool) {
	declared := structs.Resources{MilliCPU: 1000, MemoryBytes: 1 << 20}
	return structs.Document{Kinds: map[structs.KindName]structs.Kind{
		"trace":    {Name: "trace", Class: structs.Batch, Idempotent: true, Checkpointable: true, Declared: declared},
		"template": {Name: "template", Class: structs.Batch, Declared: declared},
	}}, structs.DocumentRecord{}, true
}

func (f *fakes) Datacentre(structs.DatacentreID) structs.DatacentreState { return structs.DatacentreIn }

func (f *fakes) Workers(structs.ShardID) []structs.Host { return f.workers }

func (f *fakes) TotalCapacity() structs.Resources {
	return structs.Resources{MilliCPU: 8000, MemoryBytes: 2 << 30}
}

func (f *fakes) LatencyByMachine() map[string]float64 { return nil }

func (f *fakes) LastStoreContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.storeContact.IsZero() {
		return f.storeContact
	}
	return f.now
}

func (f *fakes) NotifyJobs(context.Context, structs.ShardID, []structs.JobID) {}

// fakeStore is a store that accepts every transaction and holds no entries.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
}

func (s *fakeStore) Get(context.Context, string) (store.KeyValue, bool, error) {
	return store.KeyValue{}, false, nil
}

func (s *fakeStore) Range(context.Context, string, int64) (store.RangeResult, error) {
	return store.RangeResult{}, nil
}

func (s *fakeStore) Txn(context.Context, store.Txn) (store.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	return store.TxnResult{Applied: true, Revision: 100 + s.revision}, nil
}

// newTestLoop returns a loop whose cycles are run by the test.
func newTestLoop(t *testing.T, f *fakes) *Loop {
	cfg := Config{
		Ownership: f, Permits: f, Workers: f, Records: f, Homes: f, Environment: f,
		Clock: f.clock, Metrics: tally.NoopScope, Log: eventlog.Discard(), Seed: 1, Policy: "best-fit",
		NewBatch: func(id structs.ShardID, epoch structs.Epoch, onCancel func(structs.JobID)) *jobs.Batch {
			return jobs.NewBatch(jobs.BatchConfig{
				Store: &fakeStore{}, Notifier: f, Environment: "test", Shard: id, Epoch: epoch, OnCancel: onCancel,
			})
		},
	}
	f.loop = newLoop(cfg, testShard, testEpoch)
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(done)
		_ = f.loop.batch.Run(ctx) // returns the error of ctx
	}()
	t.Cleanup(func() { cancel(); <-done })
	return f.loop
}

// step advances the clock by d, runs one cycle of the loop, waits for its calls and writes its records.
func step(t *testing.T, l *Loop, f *fakes, d time.Duration) {
	t.Helper()
	f.advance(d)
	var due schedule
	l.cycle(t.Context(), &due)
	l.calls.Wait()
	for l.batch.QueuedChanges() > 0 {
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

// Guards against a deadlock: choosing a new home reads the digests of all local shards, so the loop must not hold its
// own lock while it calls ChooseHome.
func TestChoiceOfHomeMayReadDigest(t *testing.T) {
	f := newFakes()
	f.workers = nil // nothing can start, so the job waits
	f.records = []jobs.Stored{storedJob("j", "trace", pendingTask())}
	l := newTestLoop(t, f)
	step(t, l, f, 0) // reads the records
	step(t, l, f, 0) // plans for the first time
	step(t, l, f, rehomeAfter+time.Second)
	if home := l.table.jobs["j"]; home != nil && home.record.Home != otherShard {
		t.Fatalf("home is %s", home.record.Home)
	}
}

// Guards against a second run after a takeover: a task recorded as pending may be running on a worker that has not
// sent an inventory to the new owner.
func TestNewOwnerWaitsForUnresponsiveWorker(t *testing.T) {
	f := newFakes()
	f.records = []jobs.Stored{storedJob("old", "trace", pendingTask())}
	f.unresponsive["w2"] = true
	l := newTestLoop(t, f)
	step(t, l, f, 0)
	step(t, l, f, time.Second)
	f.afterLoad = []jobs.Stored{storedJob("new", "trace", pendingTask())}
	step(t, l, f, time.Second)
	step(t, l, f, time.Second)
	if len(f.starts) != 1 || f.starts[0].Task.Job != "new" {
		t.Fatalf("starts before the leases of the unresponsive worker expired: %+v", f.starts)
	}
	for waited := time.Duration(0); waited < unreachableAfter+TaskLeaseTTL+2*leaseExpiryMargin; waited += time.Second {
		step(t, l, f, time.Second)
	}
	if len(f.starts) != 2 {
		t.Fatalf("the job did not start after the leases expired: %+v", f.starts)
	}
}

// Guards against a start whose response was lost being repeated as another attempt or on another worker.
func TestUnansweredStartIsRepeatedAsTheSameAttempt(t *testing.T) {
	f := newFakes()
	f.records = []jobs.Stored{storedJob("j", "template", pendingTask())}
	f.startErr = errors.WithType(errors.New("lost"), worker.ErrUncertain)
	l := newTestLoop(t, f)
	for range 4 {
		step(t, l, f, commandRepeatInterval+time.Second)
	}
	f.mu.Lock()
	f.startErr = nil
	f.mu.Unlock()
	for range 3 {
		step(t, l, f, commandRepeatInterval+time.Second)
	}
	if len(f.starts) < 2 {
		t.Fatalf("the start was not repeated: %+v", f.starts)
	}
	for _, cmd := range f.starts {
		if cmd.Attempt != 1 || cmd.Task.Index != 0 {
			t.Fatalf("another attempt was started: %+v", cmd)
		}
	}
}

// Guards against start commands from a process that has lost the shard or the permit.
func TestNothingStartsWithoutOwnershipOrPermit(t *testing.T) {
	f := newFakes()
	f.records = []jobs.Stored{storedJob("j", "trace", pendingTask())}
	l := newTestLoop(t, f)
	f.permit = errors.New("out of service")
	for range 3 {
		step(t, l, f, time.Second)
	}
	f.permit, f.owner = nil, false
	for range 3 {
		step(t, l, f, time.Second)
	}
	if len(f.starts) != 0 {
		t.Fatalf("started: %+v", f.starts)
	}
}

// Guards against a job that moves back and forth between shards: a task in the pause after a failure does not wait for
// capacity, so the job stays in the shard and starts there after the pause.
func TestPauseAfterFailureDoesNotMoveTheJob(t *testing.T) {
	f := newFakes()
	failed := structs.TaskRecord{State: structs.TaskPending, Attempt: 1, FailedOn: []structs.HostID{"x1", "x2"}}
	f.records = []jobs.Stored{storedJob("j", "trace", failed)}
	l := newTestLoop(t, f)
	for waited := time.Duration(0); waited < 2*quarantine.InitialRetryDelay+rehomeAfter; waited += time.Second {
		step(t, l, f, time.Second)
	}
	if len(f.starts) != 1 || f.starts[0].Attempt != 2 {
		t.Fatalf("starts: %+v", f.starts)
	}
}

// Guards against overcommitted workers: the capacity of planned tasks is reserved before their start commands are
// answered.
func TestCapacityCountsUnansweredStarts(t *testing.T) {
	f := newFakes()
	tasks := make([]structs.TaskRecord, 20)
	for i := range tasks {
		tasks[i] = pendingTask()
	}
	f.records = []jobs.Stored{storedJob("j", "trace", tasks...)}
	f.startErr = errors.WithType(errors.New("lost"), worker.ErrUncertain)
	l := newTestLoop(t, f)
	for range 5 {
		step(t, l, f, time.Second)
	}
	started := map[structs.TaskID]bool{}
	for _, cmd := range f.starts {
		started[cmd.Task] = true
	}
	if len(started) != 8 {
		t.Fatalf("%d tasks of 1000m started on workers of 8000m in total", len(started))
	}
}
