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
	UsageLag     time.Duration // least age of reported usage
	Behaviour    Behaviour     // DeclaredBehaviour when nil
	Interference Interference
	Clock        func() time.Time // time.Now when nil
	History      *History         // a new one when nil
}

// Worker is a fake of a worker. It is an http.Handler.
type Worker struct {
	id           structs.HostID
	capacity     structs.Resources
	lag          time.Duration
	behaviour    Behaviour
	interference Interference
	clock        func() time.Time
	history      *History
	mux          *http.ServeMux

	mu         sync.Mutex
	tasks      []*task // running or not acknowledged, in order of start
	started    map[attemptKey]bool
	stopped    map[attemptKey]bool // stopped before a start arrived
	epochs     map[structs.ShardID]structs.Epoch
	requests   map[structs.KindName]int // of a co-located runner
	serviceCPU int64                    // thousandths of a processor, used by requests
	advanced   time.Time                // the time up to which tasks are advanced
	failing    bool
	down       bool
	delay      time.Duration
	losses     int
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
		id: cfg.ID, capacity: cfg.Capacity, lag: cfg.UsageLag, behaviour: cfg.Behaviour,
		interference: cfg.Interference, clock: cfg.Clock, history: cfg.History,
		started: map[attemptKey]bool{}, stopped: map[attemptKey]bool{},
		epochs: map[structs.ShardID]structs.Epoch{}, requests: map[structs.KindName]int{},
		advanced: cfg.Clock(),
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

// SetDelay makes every call wait for d before it takes effect, even when its caller gives up meanwhile.
func (w *Worker) SetDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = d
}

// LoseResponses makes the next n calls take effect without a response.
func (w *Worker) LoseResponses(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.losses = n
}

// refusal is why a command was not run.
type refusal struct {
	stale  bool // the epoch is older than one seen before
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

// renew is called with w.mu held, after advance.
func (w *Worker) renew(req worker.RenewRequest) (structs.Inventory, *refusal) {
	if r := w.fence(req.Shard, req.Epoch); r != nil {
		return structs.Inventory{}, r
	}
	for _, ref := range req.Acknowledge {
		w.tasks = slices.DeleteFunc(w.tasks, func(t *task) bool { return t.matches(ref) && !t.running() })
	}
	until := w.leaseEnd(req.LeaseFrom, req.Lease)
	inventory := structs.Inventory{Worker: w.id, Clock: w.reading()}
	for _, t := range w.tasks {
		if t.running() && t.cmd.Shard == req.Shard && until.After(t.leaseUntil) {
			t.leaseUntil = until
		}
		inventory.Tasks = append(inventory.Tasks, t.report(w.advanced))
	}
	return inventory, nil
}

// clockOrigin is the zero of the worker's clock readings.
var clockOrigin = time.Unix(0, 0)

// reading returns the worker's clock as commands refer to it. w.mu is held.
func (w *Worker) reading() int64 { return int64(w.advanced.Sub(clockOrigin)) }

// leaseEnd returns the end of a lease that runs from a clock reading, or from now if from is 0. w.mu is held.
func (w *Worker) leaseEnd(from int64, lease time.Duration) time.Time {
	if from == 0 {
		return w.advanced.Add(lease)
	}
	return clockOrigin.Add(time.Duration(from)).Add(lease)
}

func (t *task) matches(ref worker.AttemptRef) bool {
	return t.cmd.Task == ref.Task && t.cmd.Attempt == ref.Attempt
}

// start is called with w.mu held, after advance.
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
	case !w.leaseEnd(cmd.LeaseFrom, cmd.Lease).After(w.advanced):
		return refuse("the lease ended before the start arrived")
	case !valid:
		return refuse("unknown checkpoint %q", cmd.Checkpoint)
	case !cmd.Reserved.Fits(w.free()):
		return refuse("reserved resources exceed the free capacity")
	}
	t := &task{
		cmd: cmd, behaviour: w.behaviour(cmd), state: structs.OnWorkerRunning, started: w.advanced,
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

// running returns the running attempt that ref names. w.mu is held.
func (w *Worker) running(ref worker.AttemptRef) (*task, *refusal) {
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

// takeCheckpoint is called with w.mu held, after advance.
func (w *Worker) takeCheckpoint(ref worker.AttemptRef) (string, *refusal) {
	t, r := w.running(ref)
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

// setThrottle is called with w.mu held, after advance.
func (w *Worker) setThrottle(req worker.ThrottleRequest) *refusal {
	t, r := w.running(req.AttemptRef)
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

// stop is called with w.mu held, after advance. Stopping an ended attempt changes nothing. Stopping one that has
// not started prevents its start.
func (w *Worker) stop(ref worker.AttemptRef) *refusal {
	t, r := w.running(ref)
	if t != nil {
		w.finish(t, structs.OnWorkerStopped, TaskStopped, "stopped on command")
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

// record is called with w.mu held.
func (w *Worker) record(event EventType, cmd structs.StartCommand, checkpoint, detail string) {
	w.history.add(w.advanced, Event{
		Type: event, Host: w.id, Task: cmd.Task, Attempt: cmd.Attempt, Kind: cmd.Kind, Epoch: cmd.Epoch,
		Reserved: cmd.Reserved, Checkpoint: checkpoint, Detail: detail,
	})
}
