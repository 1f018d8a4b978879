package schedule

import (
	"cmp"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

const (
	// LongWait is the time from which a task that waits is reported one by one, and its start names the reason.
	LongWait = 2 * time.Second
	// maxWaitChecks is the maximum number of workers that are checked to explain waiting tasks in one summary; a check takes
	// less than a microsecond. Tasks that need the same share one search.
	maxWaitChecks = 50_000
	// maxWaitsPerReason is the maximum number of steps that a summary describes for each reason.
	maxWaitsPerReason = 16
	// maxPlanAge is the time since the latest planning run from which tasks wait for the next one.
	maxPlanAge = time.Second
)

// Waits is a summary of the tasks that wait, and why.
type Waits struct {
	Tasks   WaitCounts    // pending tasks, and those with attempts of which none is known to run, by reason
	Longest time.Duration // of all that are due
	Steps   []Waiting     // the steps whose tasks have waited for LongWait or more, the longest wait first; see maxWaitsPerReason
}

// Waiting is the task of a step that has waited longest.
type Waiting struct {
	Task    workload.TaskID
	Reason  WaitReason
	Waited  time.Duration // since its latest attempt has ended, its step was opened or due, or the owner took over
	Tasks   int           // tasks of the step with the same reason
	Worker  WorkerID      // one to which the reason applies, or that is awaited; may be empty
	Workers WaitCounts    // workers of the pool by what they are lacking for the task; with WaitTakeover those that are awaited
	Size    structs.Resources
	Label   string // that the worker needs
	Service bool
	Filler  bool
	// ExpiresIn is the time until the leases of Worker have certainly expired, if that is what the task waits for; 0 if they have, or if
	// they may still be extended.
	ExpiresIn time.Duration
	// BesideServices is the number of workers whose services leave room for the task, whether or not tasks that end use it; only
	// of services.
	BesideServices int
}

// Waits explains why tasks wait. It changes no decision.
func (s *Scheduler) Waits(now Time) Waits {
	e := newExplainer(s, now)
	e.awaited = s.lastAwaited()
	steps := s.waitingSteps(now)
	for _, st := range steps {
		e.explain(st)
	}
	return e.waits
}

// waitingStep is a step with waiting tasks.
type waitingStep struct {
	*step
	longest time.Duration
}

// waitingSteps returns the open steps with waiting tasks, the longest wait first.
func (s *Scheduler) waitingSteps(now Time) []waitingStep {
	var steps []waitingStep
	for st := range s.openSteps {
		waits, longest := false, time.Duration(0)
		for _, t := range st.tasks {
			if t.waits(now.Boot) {
				waits, longest = true, max(longest, now.Boot-s.waitsSince(t))
			}
		}
		if waits {
			steps = append(steps, waitingStep{st, longest})
		}
	}
	slices.SortFunc(steps, func(a, b waitingStep) int {
		return cmp.Or(cmp.Compare(b.longest, a.longest), compareIDs(a.step, b.step))
	})
	return steps
}

// waits reports whether a task is not done and none of its attempts is known to run.
func (t *task) waits(now time.Duration) bool {
	return !t.done && !slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.knownToRun(now) })
}

// knownToRun reports whether an attempt was confirmed and its worker answers.
func (a *attempt) knownToRun(now time.Duration) bool {
	return a.confirmedAt > 0 && a.worker.reachable(now)
}

// waitsSince returns the boot time since which a task waits: since the latest report of a worker that may run it, since its
// last attempt has ended, or since its step was opened or due. A new owner counts from the takeover.
func (s *Scheduler) waitsSince(t *task) time.Duration {
	reported := time.Duration(0)
	for _, a := range t.attempts {
		if a.confirmedAt > 0 {
			reported = max(reported, a.worker.reportedAt)
		}
	}
	if since := max(reported, t.endedAt); since > 0 {
		return since
	}
	since := max(t.step.openedAt, s.takeoverAt)
	if due := t.step.job.rec.Recurrence.DueMs(t.step.occurrence); due > 0 {
		since = max(since, s.plannedAt.bootAt(due))
	}
	return since
}

// explainer determines why tasks wait.
type explainer struct {
	s         *Scheduler
	now       Time
	awaited   WorkerID // of the workers of a former owner that have not reported yet, the one whose leases expire last
	searches  map[searchKey]workerSearch
	lacking   map[taskShape]workerSearch // by pool and label, see lackingLabel
	checked   int                        // workers
	described [numWaitReasons]int
	waits     Waits
}

func newExplainer(s *Scheduler, now Time) *explainer {
	return &explainer{s: s, now: now, searches: map[searchKey]workerSearch{}, lacking: map[taskShape]workerSearch{}}
}

// searchKey holds what decides which obstacles a task meets. Tasks with equal keys share a search.
type searchKey struct {
	shape    taskShape
	reserved structs.Resources
	filler   bool
	service  bool
	nominee  bool // capacity that is kept for it counts as room beside services
	guarded  bool
	overdue  bool
	step     *step // only if its tasks exclude each other
	task     *task // only if its own record matters
}

// workerSearch is the outcome of a check of all workers of a pool for a task.
type workerSearch struct {
	nearest        WaitReason // the lowest of all workers
	worker         WorkerID   // the first worker with it
	workers        WaitCounts
	besideServices int // workers whose services leave room for the task; only of services
}

// explain adds the waiting tasks of a step to the summary.
func (e *explainer) explain(st waitingStep) {
	var counts WaitCounts
	longest := Waiting{Waited: -1}
	for _, t := range st.tasks {
		if !t.waits(e.now.Boot) {
			continue
		}
		reason, search := e.reason(t)
		if len(t.attempts) == 0 { // else the wait before the start is the one to name
			t.waitReason = reason
		}
		counts[reason]++
		e.waits.Tasks[reason]++
		if waited := e.now.Boot - e.s.waitsSince(t); waited > longest.Waited {
			longest = Waiting{Task: t.id(), Reason: reason, Waited: waited, Worker: search.worker, Workers: search.workers,
				BesideServices: search.besideServices}
		}
	}
	if longest.Waited < 0 || longest.Reason == WaitNotDue {
		return
	}
	e.waits.Longest = max(e.waits.Longest, longest.Waited)
	if longest.Waited < LongWait || e.described[longest.Reason] == maxWaitsPerReason {
		return
	}
	e.described[longest.Reason]++
	longest.Tasks = int(counts[longest.Reason])
	longest.Size, longest.Label = st.spec.Size, st.spec.Label
	longest.Service, longest.Filler = st.spec.Service, st.spec.Filler
	if longest.Reason.untilExpiry() {
		longest.ExpiresIn = e.s.expiresIn(e.now.Boot, longest.Worker)
	}
	e.waits.Steps = append(e.waits.Steps, longest)
}

// reason returns why a task waits, with the worker that the reason names and the obstacles on all workers, if they were
// checked.
func (e *explainer) reason(t *task) (WaitReason, workerSearch) {
	if n := len(t.attempts); n > 0 {
		return t.attempts[n-1].waitReason(), workerSearch{worker: t.attempts[n-1].worker.info.ID}
	}
	switch r := e.s.hold(e.now, t); r {
	case Suitable:
	case WaitTakeover:
		search := workerSearch{worker: e.awaited}
		search.workers[WaitTakeover] = int32(len(e.s.awaitingReport))
		return r, search
	case WaitOwnWorker:
		return r, workerSearch{worker: t.storedWorker}
	case WaitSilentWorkers:
		return r, workerSearch{worker: e.s.awaitedSilent(t)}
	case WaitCrashNotStored:
		return r, workerSearch{worker: WorkerID(t.crashes[len(t.crashes)-1].Worker)}
	default:
		return r, workerSearch{}
	}
	search, known := e.search(t)
	if !known {
		return WaitUnexplained, workerSearch{}
	}
	if t.nomination.worker != nil {
		search.worker = t.nomination.worker.info.ID
		return WaitNominated, search
	}
	if (search.nearest == WaitCapacity || search.nearest == WaitNominee) && t.displaced() && search.besideServices == 0 {
		return WaitServiceShare, search
	}
	if search.nearest != Suitable {
		return search.nearest, search
	}
	return e.s.notStarted(e.now, t.step), search
}

// waitReason returns why an attempt is not known to run.
func (a *attempt) waitReason() WaitReason {
	switch {
	case a.phase == awaitingStore:
		return WaitStore
	case a.confirmedAt > 0:
		return WaitWorkerSilent
	}
	return WaitAnswer
}

// awaitedSilent returns a worker of a task's record that was silent and has not reported yet.
func (s *Scheduler) awaitedSilent(t *task) WorkerID {
	for _, silence := range t.silentOn {
		if id := WorkerID(silence.Worker); s.awaitingReport[id] {
			return id
		}
	}
	return ""
}

// notStarted returns why a task of a step has not started although a worker suits it.
func (s *Scheduler) notStarted(now Time, st *step) WaitReason {
	switch {
	case now.Boot-s.plannedAt.Boot > maxPlanAge:
		return WaitPlan
	case st.unplacedAt == s.plannedAt.Boot:
		return WaitNotFound
	}
	return WaitTurn
}

// search checks all workers of a task's pool, unless an equal task was searched for. It returns false once too many workers
// were checked.
func (e *explainer) search(t *task) (search workerSearch, known bool) {
	key := e.key(t)
	if search, known = e.searches[key]; known {
		return search, true
	}
	if search, known = e.lackingLabel(t); known {
		return search, true
	}
	if !e.mayCheckWorkers() {
		return workerSearch{}, false
	}
	search = e.searchPool(key.shape.pool, func(w *worker) WaitReason {
		r := e.s.obstacle(e.now, t, w)
		if r != Suitable && key.overdue && e.s.fitsAvoided(e.now, t, w) {
			r = Suitable
		}
		return r
	})
	if t.step.spec.Service {
		search.besideServices = e.s.workersBesideServices(e.now, t)
	}
	e.searches[key] = search
	return search, true
}

// searchPool returns the outcome of a check of all workers of a pool.
func (e *explainer) searchPool(pool workload.PoolName, check func(*worker) WaitReason) workerSearch {
	search := workerSearch{nearest: WaitNoWorker}
	for _, w := range e.s.sortedWorkers {
		if w.info.Pool != pool {
			continue
		}
		r := check(w)
		search.workers[r]++
		if r < search.nearest {
			search.nearest, search.worker = r, w.info.ID
		}
	}
	return search
}

// lackingLabel returns the outcome for a task whose label no worker of its pool has, and whether that is so. Tasks of one pool and
// label share a check.
func (e *explainer) lackingLabel(t *task) (search workerSearch, lacking bool) {
	shape := taskShape{pool: t.step.job.rec.Queue.Pool, label: t.step.spec.Label}
	if shape.label == "" {
		return search, false
	}
	search, known := e.lacking[shape]
	if !known {
		if !e.mayCheckWorkers() {
			return search, false
		}
		search = e.searchPool(shape.pool, func(w *worker) WaitReason { return w.lacks(t) })
		e.lacking[shape] = search
	}
	return search, search.nearest != Suitable
}

// mayCheckWorkers reports whether all workers may be checked once more, and counts the check.
func (e *explainer) mayCheckWorkers() bool {
	if e.checked > 0 && e.checked+len(e.s.sortedWorkers) > maxWaitChecks {
		return false
	}
	e.checked += len(e.s.sortedWorkers)
	return true
}

// key returns the key of the search for a task.
func (e *explainer) key(t *task) searchKey {
	spec := &t.step.spec
	shape, _ := t.step.shape()
	key := searchKey{
		shape: shape, reserved: spec.Reserved(), filler: spec.Filler, service: spec.Service,
		nominee: t.nomination.worker != nil,
		guarded: t.step.job.rec.Queue.CapacityGuarded,
		overdue: t.displaced() && t.displacement.since > 0 && t.restartOverdue(e.now),
	}
	if spec.MaxPerWorker > 0 {
		key.step = t.step
	}
	if len(t.failedOn) > 0 || t.onProbation() {
		key.task = t
	}
	return key
}
