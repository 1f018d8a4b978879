package standin

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/worker"
)

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	ID           structs.HostID
	Capacity     structs.Resources
	UsageLag     time.Duration // minimum age of reported usage
	Behaviour    Behaviour     // DeclaredBehaviour when nil
	Interference Interference
	Clock        func() time.Time // time.Now when nil
	History      *History         // a new one when nil
}

// Worker is a fake of a worker. It is an http.Handler.
type Worker struct {
	id           structs.HostID
	capacity     structs.Resources
	usageLag     time.Duration
	behaviour    Behaviour
	interference Interference
	clock        func() time.Time
	history      *History
	mux          *http.ServeMux

	mu              sync.Mutex
	tasks           []*task // running or not acknowledged, in order of start
	started         map[attemptKey]bool
	stopped         map[attemptKey]bool // stopped before a start arrived
	epochs          map[structs.ShardID]structs.Epoch
	requests        map[structs.KindName]int // of a co-located runner
	requestMilliCPU int64                    // used by the requests of a co-located runner
	advancedTo      time.Time                // the time up to which tasks are advanced
	failing         bool
	down            bool
	delay           time.Duration
	responsesToLose int
}

// NewWorker returns a worker without tasks.
func NewWorker(cfg WorkerConfig) *Worker {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Behaviour == nil {
		cfg.Behaviour = DeclaredBehaviour
	}
	if cfg.History == nil {
		cfg.History = NewHistory(cfg.Clock)
	}
	w := &Worker{
		id: cfg.ID, capacity: cfg.Capacity, usageLag: cfg.UsageLag, behaviour: cfg.Behaviour,
		interference: cfg.Interference, clock: cfg.Clock, history: cfg.History,
		started: map[attemptKey]bool{}, stopped: map[attemptKey]bool{},
		epochs: map[structs.ShardID]structs.Epoch{}, requests: map[structs.KindName]int{},
		advancedTo: cfg.Clock(),
	}
	w.mux = w.routes()
	return w
}

// SetFailing makes every task that starts from now on fail at once.
func (w *Worker) SetFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = failing
}

// SetDown makes calls have no effect and closes their connections. Tasks keep running.
func (w *Worker) SetDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// SetDelay delays the effect of every call by d. A call takes effect even if its caller times out meanwhile.
func (w *Worker) SetDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = d
}

// LoseResponses makes the next n calls take effect without a response.
func (w *Worker) LoseResponses(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.responsesToLose = n
}

// refusal is the reason why a command was refused.
type refusal struct {
	stale  bool // the epoch is older than the newest one seen for the shard
	reason string
}

func refuse(format string, args ...any) *refusal {
	return &refusal{reason: fmt.Sprintf(format, args...)}
}

// fence rejects commands of former owners of a shard. w.mu is held.
func (w *Worker) fence(shard structs.ShardID, epoch structs.Epoch) *refusal {
	if seen := w.epochs[shard]; epoch < seen {
		return &refusal{stale: true, reason: fmt.Sprintf("epoch %d of shard %s is older than %d", epoch, shard, seen)}
	}
	w.epochs[shard] = epoch
	return nil
}

// renew removes acknowledged tasks that have ended, extends the leases of the shard's running tasks and returns the
// inventory. It is called with w.mu held, after advance.
func (w *Worker) renew(req worker.RenewRequest) (structs.Inventory, *refusal) {
	if r := w.fence(req.Shard, req.Epoch); r != nil {
		return structs.Inventory{}, r
	}
	for _, ref := range req.Acknowledge {
		w.tasks = slices.DeleteFunc(w.tasks, func(t *task) bool { return t.matches(ref) && !t.running() })
	}
	until := w.leaseEnd(req.LeaseFrom, req.Lease)
	inventory := structs.Inventory{Worker: w.id, Clock: w.clockReading()}
	for _, t := range w.tasks {
		if t.running() && t.cmd.Shard == req.Shard && until.After(t.leaseUntil) {
			t.leaseUntil = until
		}
		inventory.Tasks = append(inventory.Tasks, t.inventoryEntry(w.advancedTo))
	}
	return inventory, nil
}

// clockOrigin is the time of clock reading 0.
var clockOrigin = time.Unix(0, 0)

// clockReading returns the worker's clock in nanoseconds since clockOrigin, as commands state it. w.mu is held.
func (w *Worker) clockReading() int64 { return int64(w.advancedTo.Sub(clockOrigin)) }

// leaseEnd returns the end of a lease that runs from a clock reading, or from now if from is 0. w.mu is held.
func (w *Worker) leaseEnd(from int64, lease time.Duration) time.Time {
	if from == 0 {
		return w.advancedTo.Add(lease)
	}
	return clockOrigin.Add(time.Duration(from)).Add(lease)
}

func (t *task) matches(ref worker.AttemptRef) bool {
	return t.cmd.Task == ref.Task && t.cmd.Attempt == ref.Attempt
}

// start starts an attempt; repeated starts have no effect. It is called with w.mu held, after advance.
func (w *Worker) start(cmd structs.StartCommand) *refusal {
	if r := w.fence(cmd.Shard, cmd.Epoch); r != nil {
		return r
	}
	key := attemptKey{cmd.Task, cmd.Attempt}
	progress, valid := checkpointProgress(cmd.Checkpoint)
	switch {
	case w.started[key]:
		return nil
	case w.stopped[key]:
		return refuse("attempt was stopped before its start arrived")
	case cmd.Lease <= 0:
		return refuse("start without a lease")
	case !w.leaseEnd(cmd.LeaseFrom, cmd.Lease).After(w.advancedTo):
		return refuse("the lease ended before the start arrived")
	case !valid:
		return refuse("unknown checkpoint %q", cmd.Checkpoint)
	case !cmd.Reserved.Fits(w.free()):
		return refuse("reserved resources exceed the free capacity")
	}
	t := &task{
		cmd: cmd, behaviour: w.behaviour(cmd), state: structs.WorkerTaskRunning, started: w.advancedTo,
		leaseUntil: w.leaseEnd(cmd.LeaseFrom, cmd.Lease), progress: progress, throttle: 1, checkpoint: cmd.Checkpoint,
	}
	if w.failing {
		t.behaviour.Fails, t.behaviour.FailAt = true, 0
	}
	w.started[key] = true
	w.tasks = append(w.tasks, t)
	w.record(TaskStarted, cmd, cmd.Checkpoint, "")
	return nil
}

// free returns the capacity that is not reserved by running tasks. w.mu is held.
func (w *Worker) free() structs.Resources {
	free := w.capacity
	for _, t := range w.tasks {
		if t.running() {
			free = free.Sub(t.cmd.Reserved)
		}
	}
	return free
}

// runningTask returns the running attempt that ref names. w.mu is held.
func (w *Worker) runningTask(ref worker.AttemptRef) (*task, *refusal) {
	if r := w.fence(ref.Shard, ref.Epoch); r != nil {
		return nil, r
	}
	for _, t := range w.tasks {
		if t.matches(ref) && t.running() {
			return t, nil
		}
	}
	return nil, refuse("attempt %d of task %s is not running", ref.Attempt, ref.Task)
}

// takeCheckpoint records the progress of a running attempt and returns the name of the checkpoint. It is called with
// w.mu held, after advance.
func (w *Worker) takeCheckpoint(ref worker.AttemptRef) (string, *refusal) {
	t, r := w.runningTask(ref)
	if r != nil {
		return "", r
	}
	if t.behaviour.NoCheckpoints {
		return "", refuse("tasks of kind %s take no checkpoints", t.cmd.Kind)
	}
	t.checkpoint = checkpointName(t.cmd, t.progress)
	w.record(TaskCheckpointed, t.cmd, t.checkpoint, "")
	return t.checkpoint, nil
}

// setThrottle limits a running attempt to a share of full speed. It is called with w.mu held, after advance.
func (w *Worker) setThrottle(req worker.ThrottleRequest) *refusal {
	t, r := w.runningTask(req.AttemptRef)
	if r != nil {
		return r
	}
	if req.Share <= 0 || req.Share > 1 {
		return refuse("share %g is not above 0 and up to 1", req.Share)
	}
	t.throttle = req.Share
	w.record(TaskThrottled, t.cmd, "", fmt.Sprintf("%g", req.Share))
	return nil
}

// stop ends a running attempt. It has no effect on an ended attempt, and prevents the start of one that has not
// started. It is called with w.mu held, after advance.
func (w *Worker) stop(ref worker.AttemptRef) *refusal {
	t, r := w.runningTask(ref)
	if t != nil {
		w.finish(t, structs.WorkerTaskStopped, TaskStopped, "stopped on command")
		return nil
	}
	if r.stale {
		return r
	}
	if key := (attemptKey{ref.Task, ref.Attempt}); !w.started[key] {
		w.stopped[key] = true
	}
	return nil
}

// record adds an event of an attempt to the history. w.mu is held.
func (w *Worker) record(event EventType, cmd structs.StartCommand, checkpoint, detail string) {
	w.history.add(w.advancedTo, Event{
		Type: event, Host: w.id, Task: cmd.Task, Attempt: cmd.Attempt, Kind: cmd.Kind, Epoch: cmd.Epoch,
		Reserved: cmd.Reserved, Checkpoint: checkpoint, Detail: detail,
	})
}
