package quarantine

import (
	"cmp"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// ProbeCandidate is a pending task that may be used to probe a quarantined worker.
type ProbeCandidate struct {
	Task       structs.TaskID
	Idempotent bool
	Urgent     bool
	RunTime    time.Duration // expected; 0 if unknown
}

// PickProbe chooses the task that probes a worker: one of an idempotent kind that is not urgent, since the probe will
// likely fail, and of a job that has not failed on the worker. Tasks of jobs that succeed elsewhere come first, because
// their failure counts against the worker, then those with the shortest run time.
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
		return cmp.Or(cmp.Compare(t.probeRank(a), t.probeRank(b)), cmp.Compare(a.runTime(), b.runTime()),
			cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return best.Task, true
}

// probeRank orders candidates by the results of their jobs: 0 if the job succeeds elsewhere, 1 if it has no results, 2
// if it fails elsewhere.
func (t *Tracker) probeRank(c ProbeCandidate) int {
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

// runTime returns the expected run time; an unknown one counts as the longest.
func (c ProbeCandidate) runTime() time.Duration {
	if c.RunTime <= 0 {
		return 1<<63 - 1
	}
	return c.RunTime
}
