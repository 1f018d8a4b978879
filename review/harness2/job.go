//go:build review2

package main

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// taskName is a task's name ID.K.STEP.INDEX in parts.
type taskName struct {
	job            string
	k, step, index int
}

func parseTask(name string) taskName {
	parts := strings.Split(name, ".")
	n := taskName{job: parts[0]}
	for i, field := range []*int{&n.k, &n.step, &n.index} {
		if i+1 < len(parts) {
			*field, _ = strconv.Atoi(parts[i+1])
		}
	}
	return n
}

// sentStep is a step of a job as a client has sent it.
type sentStep struct {
	count        int
	size         size
	after        []int
	saves        bool
	speculative  bool
	lasts        bool
	antiAffinity int
}

// sentJob is a job as a client has sent it. It checks what runners are told to start.
type sentJob struct {
	id         string
	spec       string
	steps      []sentStep
	startAtMs  int64
	intervalMs int64
	repeats    int
	attempts   int // of the queue

	mu          sync.Mutex
	cancelledAt time.Time // when the cancelling was acknowledged
}

func (j *sentJob) sizeOf(step int) size { return j.steps[step].size }

// wire returns the body of the submission.
func (j *sentJob) wire() map[string]any {
	body := map[string]any{"spec": j.spec}
	var steps []map[string]any
	for _, st := range j.steps {
		row := map[string]any{"count": st.count, "cpu": st.size.CPU, "memMb": st.size.MemMb, "estimateMs": 800}
		for name, value := range map[string]any{"after": st.after, "savesProgress": st.saves, "speculative": st.speculative,
			"longRunning": st.lasts, "antiAffinity": st.antiAffinity} {
			row[name] = value
		}
		steps = append(steps, row)
	}
	body["steps"] = steps
	if j.repeats > 0 {
		body["startAtMs"], body["intervalMs"], body["repeats"] = j.startAtMs, j.intervalMs, j.repeats
	}
	return body
}

// occurrences returns how many times the steps run.
func (j *sentJob) occurrences() int { return max(j.repeats, 1) }

// checkStart checks a start that a runner has just begun. r.mu is held.
func (j *sentJob) checkStart(r *runner, name taskName, o wireOrder) {
	rec := r.site.record
	if name.k >= j.occurrences() || name.step >= len(j.steps) || name.index >= j.steps[name.step].count || o.Spec != j.spec {
		rec.breaks("UNASKED", "%s on %s", o.Task, r.id)
		return
	}
	st := j.steps[name.step]
	if due := j.startAtMs + int64(name.k)*j.intervalMs - 250; j.repeats > 0 && time.Now().UnixMilli() < due {
		rec.breaks("ORDER", "%s started %d ms early", o.Task, due-time.Now().UnixMilli())
	}
	for _, before := range st.after {
		if missing := rec.notDone(j.id, name.k, before, j.steps[before].count); missing > 0 {
			rec.breaks("ORDER", "%s: %d tasks of step %d are not done", o.Task, missing, before)
		}
	}
	if st.antiAffinity > 0 {
		n := 1
		for key := range r.running {
			if other := parseTask(key.task); other.job == j.id && other.k == name.k && other.step == name.step {
				n++
			}
		}
		if n > st.antiAffinity {
			rec.breaks("ROUTE", "%s run %d is number %d of its step on %s", o.Task, o.Run, n, r.id)
		}
	}
	if !st.speculative && !st.lasts {
		if failed := rec.failedAndNoted(o.Task); failed >= j.attempts {
			rec.breaks("BUDGET", "%s run %d after %d failed", o.Task, o.Run, failed)
		}
	}
}

// notDone returns how many tasks of a step have no run that has ended done.
func (r *record) notDone(job string, k, step, count int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	done := map[int]bool{}
	for _, one := range r.runs {
		if n := parseTask(one.task); one.how == "done" && n.job == job && n.k == k && n.step == step {
			done[n.index] = true
		}
	}
	return count - len(done)
}

// failedAndNoted returns how many runs of a task have ended failed and were taken note of.
func (r *record) failedAndNoted(task string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.runs {
		if one.task == task && one.how == "failed" && !one.noted.IsZero() {
			n++
		}
	}
	return n
}
