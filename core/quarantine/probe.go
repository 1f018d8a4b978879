package quarantine

import (
	"cmp"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// ProbeCandidate is a pending task that might test a quarantined worker.
type ProbeCandidate struct {
	Task       structs.TaskID
	Idempotent bool
	Urgent     bool
	RunTime    time.Duration // expected; 0 if not known
}

// PickProbe chooses the task that tests a worker: one that may be repeated and is not urgent, since the probe will
// likely fail, of a job that has not failed on the worker. Tasks of jobs that succeed elsewhere come first, because
// their failure speaks against the worker, then those that are done soonest.
func (t *Tracker) PickProbe(host structs.HostID, candidates []ProbeCandidate) (structs.TaskID, bool) {
	var usable []ProbeCandidate
	for _, c := range candidates {
		if c.Idempotent && !c.Urgent && !slices.Contains(t.Excluded(c.Task), host) {
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		return structs.TaskID{}, false
	}
	best := slices.MinFunc(usable, func(a, b ProbeCandidate) int {
		return cmp.Or(cmp.Compare(t.doubt(a), t.doubt(b)), cmp.Compare(a.runTime(), b.runTime()),
			cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return best.Task, true
}

// doubt ranks a candidate by what is known about its job: 0 succeeds elsewhere, 1 nothing known, 2 fails elsewhere.
func (t *Tracker) doubt(c ProbeCandidate) int {
	j := t.jobs[c.Task.Job]
	switch {
	case j == nil:
		return 1
	case j.succeeded:
		return 0
	case len(j.failures) > 0:
		return 2
	}
	return 1
}

// runTime returns the expected run time; one that is not known counts as long.
func (c ProbeCandidate) runTime() time.Duration {
	if c.RunTime <= 0 {
		return 1<<63 - 1
	}
	return c.RunTime
}
