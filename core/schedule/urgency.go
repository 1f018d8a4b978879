package schedule

import "cmp"

// Ranks of jobs that miss their objective, see objectiveMs. Late jobs have little value left for their callers and come after all
// jobs that can still be in time; worthless ones, and worthless occurrences of recurring jobs, have none and come last.
const (
	lateRank      = 1 << 10
	worthlessRank = 1 << 20
)

// worthlessFactor is the multiple of the objective after which a result has no value.
const worthlessFactor = 3

// initialWaitMs is added to the time that a job has waited, in milliseconds, so that new jobs compare by their work.
const initialWaitMs = 300

// compareByResponse orders steps by rank. Within a rank, tasks that end come before service tasks, which hold their
// capacity for long, and jobs with the least work for the time that they have waited come first (highest response ratio
// next): when capacity is short, most jobs are in time if small ones go first, and large ones overtake them as they wait.
func compareByResponse(_ Time, a, b *step) int {
	return cmp.Or(
		cmp.Compare(a.urgency.rank, b.urgency.rank),
		compareBool(a.spec.Service, b.spec.Service),
		cmp.Compare(a.urgency.workPerWait, b.urgency.workPerWait),
		cmp.Compare(a.dueByMs(), b.dueByMs()),
		compareIDs(a, b),
	)
}

// urgency holds what decides the order of a step. It is computed once per planning run, since a sort compares each step with
// many others.
type urgency struct {
	rank        int
	workPerWait float64
}

// urgencyAt returns the urgency of a step as of now.
func (st *step) urgencyAt(now Time) urgency {
	return urgency{rank: st.rank(now), workPerWait: st.workPerWait(now)}
}

// compareIDs orders steps by their identity, so that no decision depends on the order of a map.
func compareIDs(a, b *step) int {
	return cmp.Or(
		cmp.Compare(a.job.rec.ID, b.job.rec.ID),
		cmp.Compare(a.occurrence, b.occurrence),
		cmp.Compare(a.index, b.index),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// rank returns the sort rank of a step, the lowest first: the priority of its queue, with late steps after all others. Occurrences
// of recurring jobs keep their priority until they are worthless.
func (st *step) rank(now Time) int {
	rec := &st.job.rec
	switch {
	case st.spec.Service:
		return rec.Queue.Priority
	case now.UnixMs > st.readyMs()+worthlessFactor*st.job.objectiveMs:
		return worthlessRank
	case now.UnixMs > st.dueByMs() && rec.Recurrence.Count == 0:
		return lateRank + rec.Queue.Priority
	}
	return rec.Queue.Priority
}

// readyMs returns the Unix millisecond from which the objective of the step's occurrence counts: when its job was accepted or,
// if that is later, when the occurrence was due.
func (st *step) readyMs() int64 {
	return max(st.job.rec.AcceptedMs, st.job.rec.Recurrence.DueMs(st.occurrence))
}

// dueByMs returns the Unix millisecond after which the step's occurrence is late.
func (st *step) dueByMs() int64 { return st.readyMs() + st.job.objectiveMs }

// workPerWait returns the remaining work of the step's occurrence, in thousandths of a core times milliseconds, divided
// by the milliseconds since it was ready. It is 0 for services.
func (st *step) workPerWait(now Time) float64 {
	waited := max(now.UnixMs-st.readyMs(), 0) + initialWaitMs
	return float64(st.job.remainingWork(st.occurrence)) / float64(waited)
}

// remainingWork returns the estimated work of the tasks of an occurrence that are not done, in thousandths of a core
// times milliseconds. Services do not count: they never end.
func (j *job) remainingWork(occurrence int) int64 {
	work := int64(0)
	for _, st := range j.occurrenceSteps(occurrence) {
		if !st.spec.Service {
			work += int64(st.unfinished) * st.spec.Size.MilliCPU * st.spec.EstimateMs
		}
	}
	return work
}

// occurrenceSteps returns the steps of one occurrence of a job.
func (j *job) occurrenceSteps(occurrence int) []*step {
	n := len(j.rec.Steps)
	return j.steps[occurrence*n : (occurrence+1)*n]
}
