package schedule

import (
	"math"
	"time"

	"fulmarcourse.example/core/placement/learn"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

const (
	// unknownPressure is assumed of a pair of images without evidence: the logarithm of the factor by which one core of
	// the filler raises the tail latency of the service. It is small enough for the pair to be tried.
	unknownPressure = 0.05
	// knownEvidence is the weight of the measurements from which on a pair counts as known: a deviation of 0.08.
	knownEvidence = 1 / (0.08 * 0.08)
	// harmless is the pressure of one core below which a pair does not matter.
	harmless = 0.03
)

// interference learns how much the fillers of an image raise the tail latency of the services of another image. The
// logarithm of the tail latency is taken to rise with the processor use of each filler; core/placement/learn estimates
// the slopes from the changes that the reports of all workers show.
type interference struct {
	slowdowns *learn.Slowdowns
	numbers   map[string]int
	names     []structs.KindName
	pressures [][]float64 // by service image and filler image, as of the latest refresh
	refreshed time.Duration
}

// otherImages stands for all images beyond learn.MaxKinds.
const otherImages = "other images"

// noImage is the number of steps that neither are services nor fillers.
const noImage = -1

// refreshEvery is the time between two updates of the pressures that decisions use.
const refreshEvery = 500 * time.Millisecond

func newInterference() *interference {
	return &interference{slowdowns: learn.NewSlowdowns(), numbers: map[string]int{}}
}

// imageNumber returns a small number for the image of a step.
func (m *interference) imageNumber(spec workload.Step) int {
	if !spec.Filler && !spec.Service {
		return noImage
	}
	if _, known := m.numbers[spec.Image]; !known && len(m.names) >= learn.MaxKinds {
		spec.Image = otherImages // the estimator knows no more, and the pressures stay bounded
	}
	if n, known := m.numbers[spec.Image]; known {
		return n
	}
	n := len(m.names)
	m.numbers[spec.Image] = n
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

// observe takes in the tail latencies of the services of a worker beside its fillers.
func (m *interference) observe(now time.Duration, w *worker) {
	at := time.Unix(0, int64(now))
	var near []learn.Exposure
	for _, a := range w.list {
		if a.filler() {
			near = append(near, learn.Exposure{Kind: imageOf(a), Mean: a.figure / 1000})
		}
	}
	near = mergeImages(near)
	for _, a := range w.list {
		if a.serving() {
			m.slowdowns.Observe(learnTask(a.task.id()), int(a.number), imageOf(a), 1/a.figure, near, at)
		}
	}
}

// mergeImages adds up the use of equal images.
func mergeImages(near []learn.Exposure) []learn.Exposure {
	var merged []learn.Exposure
	for _, e := range near {
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

// refresh prepares the estimates for the next decisions.
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

// forget drops what is kept of an attempt that has ended.
func (m *interference) forget(a *attempt) {
	m.slowdowns.Forget(learnTask(a.task.id()), int(a.number))
}

// pressure returns by how much one core of a filler raises the logarithm of the tail latency of a service.
func (m *interference) pressure(service, filler *task) float64 {
	return m.pressures[service.step.image][filler.step.image]
}

func (m *interference) estimate(victim, neighbour structs.KindName) float64 {
	slope := m.slowdowns.LogSlowdown(victim, neighbour)
	if m.slowdowns.Evidence(victim, neighbour) < knownEvidence {
		return max(unknownPressure, slope)
	}
	if slope < harmless {
		return 0
	}
	return slope
}

func imageOf(a *attempt) structs.KindName { return structs.KindName(a.task.step.spec.Image) }

// learnTask returns the name of a task in package learn, which knows no steps.
func learnTask(id workload.TaskID) structs.TaskID {
	return structs.TaskID{
		Job:   structs.JobID(id.Job),
		Index: (id.Occurrence*workload.MaxSteps+id.Step)*workload.MaxTasks + id.Index,
	}
}

// filler reports whether the attempt uses only processor time that others leave.
func (a *attempt) filler() bool { return a.task.step.spec.Filler }

// serving reports whether the attempt is a service task at full speed with a known tail latency and a target.
func (a *attempt) serving() bool {
	spec := a.task.step.spec
	return spec.Service && spec.TailTargetMs > 0 && a.figure > 0 && a.percent >= fullShare
}

// tailRatio returns the tail latency of a service task as a share of its target.
func (a *attempt) tailRatio() float64 { return a.figure / a.task.step.spec.TailTargetMs }

// headroom returns by how much the logarithm of the tail latency may rise up to a share of the target.
func (a *attempt) headroom(share float64) float64 { return math.Log(share / a.tailRatio()) }

// Interference returns what was learned of the effect of fillers on services, for a later owner.
func (s *Scheduler) Interference() learn.SlowdownState { return s.model.slowdowns.State() }

// InheritInterference takes over what a former owner has learned. It has to come before the first job.
func (s *Scheduler) InheritInterference(now Time, state learn.SlowdownState) {
	if s.model.slowdowns.Restore(state, time.Unix(0, int64(now.Boot))) {
		s.model.refreshed = 0
	}
}
