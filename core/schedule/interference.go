package schedule

import (
	"math"
	"time"

	"fulmarcourse.example/core/placement/learn"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

const (
	// unknownPressure is assumed for a pair of images without evidence: the logarithm of the factor by which one core
	// of the filler raises the tail latency of the service. It is low enough for the pair to be tried.
	unknownPressure = 0.05
	// knownEvidence is the weight of measurements from which a pair counts as known: a standard deviation of 0.08.
	knownEvidence = 1 / (0.08 * 0.08)
	// negligiblePressure is the pressure per core below which a pair is treated as not interfering.
	negligiblePressure = 0.03
)

// interference estimates how much fillers of one image raise the tail latency of services of another image. The model
// is that the logarithm of the tail latency rises linearly with the processor use of each filler; core/placement/learn
// estimates the slopes from the changes between the reports of all workers.
type interference struct {
	slowdowns *learn.Slowdowns
	indexes   map[string]int     // of the images
	names     []structs.KindName // images by index
	pressures [][]float64        // by service image and filler image, as of the latest refresh
	refreshed time.Duration      // time of the latest refresh
}

// otherImages stands for all images beyond learn.MaxKinds.
const otherImages = "other images"

// noImage is the image index of steps that are neither services nor fillers.
const noImage = -1

// refreshEvery is the interval between updates of the pressures that decisions use.
const refreshEvery = 500 * time.Millisecond

func newInterference() *interference {
	return &interference{slowdowns: learn.NewSlowdowns(), indexes: map[string]int{}}
}

// imageIndex returns the index of a step's image in pressures, or noImage.
func (m *interference) imageIndex(spec workload.Step) int {
	if !spec.Filler && !spec.Service {
		return noImage
	}
	if _, known := m.indexes[spec.Image]; !known && len(m.names) >= learn.MaxKinds {
		spec.Image = otherImages // the estimator supports no more kinds, and pressures stays bounded
	}
	if n, known := m.indexes[spec.Image]; known {
		return n
	}
	n := len(m.names)
	m.indexes[spec.Image] = n
	m.names = append(m.names, structs.KindName(spec.Image))
	for i := range m.pressures {
		m.pressures[i] = append(m.pressures[i], unknownPressure)
	}
	row := make([]float64, n+1)
	for i := range row {
		row[i] = unknownPressure
	}
	m.pressures = append(m.pressures, row)
	return n
}

// observe records the tail latencies of the services of a worker together with the processor use of its fillers.
// Package learn models how neighbours lower the progress rate of a task. The inverse of the tail latency is passed as
// the rate, and the number of cores in use by fillers as the number of neighbours.
func (m *interference) observe(now time.Duration, w *worker) {
	at := time.Unix(0, int64(now))
	var exposures []learn.Exposure
	for _, a := range w.attemptList {
		if a.filler() {
			exposures = append(exposures, learn.Exposure{Kind: imageOf(a), Mean: a.metric / 1000})
		}
	}
	exposures = mergeImages(exposures)
	for _, a := range w.attemptList {
		if a.tailKnown() {
			m.slowdowns.Add(learn.Measurement{
				Task: learnTaskID(a.task.id()), Attempt: int(a.number), Kind: imageOf(a), Rate: 1 / a.metric,
				Neighbours: exposures, Group: a.task.step.replicas(), Host: string(w.info.ID),
			}, at)
		}
	}
}

// mergeImages sums the processor use of fillers with the same image.
func mergeImages(exposures []learn.Exposure) []learn.Exposure {
	var merged []learn.Exposure
	for _, e := range exposures {
		found := false
		for i := range merged {
			if merged[i].Kind == e.Kind {
				merged[i].Mean += e.Mean
				found = true
			}
		}
		if !found {
			merged = append(merged, e)
		}
	}
	return merged
}

// refresh updates the pressures from the latest estimates.
func (m *interference) refresh(now time.Duration) {
	if now-m.refreshed < refreshEvery {
		return
	}
	m.refreshed = now
	m.slowdowns.Refresh(time.Unix(0, int64(now)))
	for i := range m.pressures {
		for j := range m.pressures[i] {
			m.pressures[i][j] = m.estimate(m.names[i], m.names[j])
		}
	}
}

// removeAttempt removes the baseline of an attempt that has ended.
func (m *interference) removeAttempt(a *attempt) {
	m.slowdowns.RemoveAttempt(learnTaskID(a.task.id()), int(a.number))
}

// pressure returns by how much one core of a filler raises the logarithm of the tail latency of a service.
func (m *interference) pressure(service, filler *task) float64 {
	return m.pressures[service.step.imageIndex][filler.step.imageIndex]
}

func (m *interference) estimate(victim, neighbour structs.KindName) float64 {
	slope := m.slowdowns.LogSlowdown(victim, neighbour)
	if m.slowdowns.Evidence(victim, neighbour) < knownEvidence {
		return max(unknownPressure, slope)
	}
	if slope < negligiblePressure {
		return 0
	}
	return slope
}

func imageOf(a *attempt) structs.KindName { return structs.KindName(a.task.step.spec.Image) }

// replicas returns the ID under which package learn compares the tasks of a service, which share the load of its clients.
func (st *step) replicas() structs.TaskID {
	return learnTaskID(workload.TaskID{Job: st.job.rec.ID, Occurrence: st.occurrence, Step: st.index})
}

// learnTaskID returns the ID of a task for package learn, whose IDs have no steps and occurrences.
func learnTaskID(id workload.TaskID) structs.TaskID {
	return structs.TaskID{
		Job:   structs.JobID(id.Job),
		Index: (id.Occurrence*workload.MaxSteps+id.Step)*workload.MaxTasks + id.Index,
	}
}

// filler reports whether the attempt uses only processor time that other tasks leave idle.
func (a *attempt) filler() bool { return a.task.step.spec.Filler }

// tailKnown reports whether the attempt is a service task at full speed with a target and a known tail latency.
func (a *attempt) tailKnown() bool {
	spec := a.task.step.spec
	return spec.Service && spec.TailTargetMs > 0 && a.metric > 0 && a.percent >= fullShare
}

// tailRatio returns the tail latency of a service task as a share of its target.
func (a *attempt) tailRatio() float64 { return a.metric / a.task.step.spec.TailTargetMs }

// headroom returns by how much the logarithm of the tail latency may rise to reach a share of the target.
func (a *attempt) headroom(share float64) float64 { return math.Log(share / a.tailRatio()) }

// InterferenceState returns the learned effect of fillers on services, to be stored for a later owner.
func (s *Scheduler) InterferenceState() learn.SlowdownState { return s.interference.slowdowns.State() }

// RestoreInterference restores the state learned by a former owner. It must be called before the first job is added.
func (s *Scheduler) RestoreInterference(now Time, state learn.SlowdownState) {
	if s.interference.slowdowns.Restore(state, time.Unix(0, int64(now.Boot))) {
		s.interference.refreshed = 0
	}
}
