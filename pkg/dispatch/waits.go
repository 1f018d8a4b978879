package dispatch

import (
	"time"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

const (
	// maxWaitLines is the maximum number of waiting steps that are logged with one status.
	maxWaitLines = 8
	// waitLogInterval is the time after which a step that waits for the same reason is logged again.
	waitLogInterval = 10 * time.Second
)

// stepKey identifies a step of an occurrence of a job.
type stepKey struct {
	job              workload.JobID
	occurrence, step int
}

// loggedWait is what was last logged about a waiting step.
type loggedWait struct {
	reason schedule.WaitReason
	at     time.Duration // boot time
}

// waitLog selects which waiting steps are logged. It is used by logStatus only. Entries that are older than waitLogInterval are
// removed, so their number is bounded by that of the lines.
type waitLog struct{ logged map[stepKey]loggedWait }

// choose returns the steps to log, which are sorted by their wait: the longest wait of each reason first, then the next longest
// ones. A step is chosen again only once its reason has changed or waitLogInterval has passed.
func (l *waitLog) choose(now time.Duration, steps []schedule.Waiting) []schedule.Waiting {
	if l.logged == nil {
		l.logged = map[stepKey]loggedWait{}
	}
	for key, entry := range l.logged {
		if now-entry.at >= waitLogInterval {
			delete(l.logged, key)
		}
	}
	var chosen, next []schedule.Waiting
	seen := map[schedule.WaitReason]bool{}
	for _, w := range steps {
		if entry, logged := l.logged[keyOfStep(w.Task)]; logged && entry.reason == w.Reason {
			seen[w.Reason] = true
			continue
		}
		if seen[w.Reason] {
			next = append(next, w)
			continue
		}
		seen[w.Reason] = true
		chosen = append(chosen, w)
	}
	chosen = append(chosen, next...)
	chosen = chosen[:min(len(chosen), maxWaitLines)]
	for _, w := range chosen {
		l.logged[keyOfStep(w.Task)] = loggedWait{w.Reason, now}
	}
	return chosen
}

func keyOfStep(id workload.TaskID) stepKey { return stepKey{id.Job, id.Occurrence, id.Step} }

// logWaiting logs why a step waits.
func logWaiting(l *eventlog.Logger, term int64, w *schedule.Waiting) {
	entry := l.Event(eventlog.TaskWaits).Int64("term", term).Str("job", string(w.Task.Job)).
		Int("occurrence", w.Task.Occurrence).Int("step", w.Task.Step).Int("task", w.Task.Index).
		Str("reason", w.Reason.String()).Int64("waited", ms(w.Waited)).Int("tasks", w.Tasks).
		Str("kind", kindOf(w)).
		Int64("cpu", w.Size.MilliCPU).Int64("memory_mib", w.Size.MemoryBytes>>20).Int64("accelerators", w.Size.Accelerators)
	if w.Label != "" {
		entry = entry.Str("label", w.Label)
	}
	if w.Worker != "" {
		entry = entry.Str("worker", string(w.Worker))
	}
	if w.ExpiresIn > 0 {
		entry = entry.Int64("expires_in", ms(w.ExpiresIn))
	}
	if w.Service {
		entry = entry.Int("beside_services", w.BesideServices)
	}
	if workers := w.Workers.String(); workers != "" {
		entry = entry.Str("workers", workers)
	}
	entry.Msg("")
}

// kindOf returns the kind of a waiting task, as the totals of the status name it.
func kindOf(w *schedule.Waiting) string {
	switch {
	case w.Service:
		return "service"
	case w.Filler:
		return "filler"
	}
	return "other"
}

// waitMetrics publish how many tasks wait, by reason, and what starts depend on.
type waitMetrics struct {
	tasks                       map[schedule.WaitReason]tally.Gauge
	longest                     tally.Gauge
	listAge, unstored, awaiting tally.Gauge
}

func newWaitMetrics(scope tally.Scope) waitMetrics {
	m := waitMetrics{
		tasks: map[schedule.WaitReason]tally.Gauge{}, longest: scope.Gauge("task_wait_max_seconds"),
		listAge: scope.Gauge("worker_list_age_seconds"), unstored: scope.Gauge("workers_not_stored"),
		awaiting: scope.Gauge("workers_awaited"),
	}
	for _, r := range schedule.WaitReasons() {
		m.tasks[r] = scope.Tagged(map[string]string{"reason": r.String()}).Gauge("tasks_waiting")
	}
	return m
}

func (m *waitMetrics) publish(s *status) {
	for r, gauge := range m.tasks {
		gauge.Update(float64(s.waits.Tasks[r]))
	}
	m.longest.Update(s.waits.Longest.Seconds())
	m.listAge.Update(s.counts.ListAge.Seconds())
	m.unstored.Update(float64(s.counts.Unstored))
	m.awaiting.Update(float64(s.counts.Awaited))
}
