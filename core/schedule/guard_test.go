package schedule

import (
	"fmt"
	"math"
	"testing"
	"time"

	"fulmarcourse.example/core/placement/learn"
	"fulmarcourse.example/core/workload"
)

// interferenceWorld simulates tail latencies: each core that a pressing filler uses beside a sensitive service raises
// the logarithm of its tail latency by a constant.
type interferenceWorld struct {
	*harness
	started map[attemptKey]time.Duration
	paced   map[attemptKey]int
	over    map[attemptKey]time.Duration // since when a service is over its target
	longest time.Duration
	base    float64 // tail latency of a service alone, ms
}

const (
	worldPressure = 0.35 // of one core of a pressing filler
	worldBase     = 15.0 // tail latency of a service alone, ms
	worldTarget   = 50.0 // ms
	worldReport   = 400 * time.Millisecond
	fillerTime    = 8 * time.Second
)

func newInterferenceWorld(t *testing.T, workers int) *interferenceWorld {
	w := &interferenceWorld{
		harness: newHarness(t, 1), started: map[attemptKey]time.Duration{}, paced: map[attemptKey]int{},
		over: map[attemptKey]time.Duration{}, base: worldBase,
	}
	for n := range workers {
		w.addWorker(WorkerID(fmt.Sprintf("w%02d", n)), nil)
	}
	return w
}

func serviceStep(image string, tasks int) workload.Step {
	step := testStep(tasks)
	step.Service, step.Image, step.TailTargetMs = true, image, worldTarget
	step.Size.MilliCPU = 4000
	return step
}

func fillerStep(image string, tasks int) workload.Step {
	step := testStep(tasks)
	step.Filler, step.Image, step.Checkpoints, step.EstimateMs = true, image, true, fillerTime.Milliseconds()
	step.Size.MilliCPU = 2000
	return step
}

// presses is the truth that the scheduler has to find out.
func presses(service, filler string) bool { return service == "sensitive" && filler == "heavy" }

// step lets time pass, updates what workers see and plans.
func (w *interferenceWorld) step() {
	w.pass(worldReport)
	for _, worker := range w.workers {
		w.advance(worker)
	}
	for id := range w.workers {
		w.report(id)
	}
	for _, o := range w.plan() {
		if o.Kind == OrderPace {
			w.paced[attemptKey{o.Task, o.Attempt}] = o.Percent
		}
		if o.Kind == OrderStart {
			w.started[attemptKey{o.Task, o.Attempt}] = w.now.Boot
			w.paced[attemptKey{o.Task, o.Attempt}] = fullShare
		}
		w.accept(o)
	}
}

func (w *interferenceWorld) advance(worker *simWorker) {
	for i := range worker.running {
		r := &worker.running[i]
		spec := w.s.task(r.Task).step.spec
		key := attemptKey{r.Task, r.Attempt}
		if spec.Filler {
			share := float64(w.paced[key]) / fullShare
			r.Metric = share * float64(spec.Size.MilliCPU)
			r.Percent += 100 * share * float64(worldReport) / float64(fillerTime)
			continue
		}
		r.Percent = 100
		r.Metric = w.base * math.Exp(w.pressureOn(worker, spec.Image))
		w.watch(key, r.Metric)
	}
	for _, r := range append([]Running(nil), worker.running...) {
		if w.s.task(r.Task).step.spec.Filler && r.Percent >= 100 {
			w.end(r.Task, EndDone)
		}
	}
}

func (w *interferenceWorld) pressureOn(worker *simWorker, image string) float64 {
	cores := 0.0
	for _, r := range worker.running {
		spec := w.s.task(r.Task).step.spec
		if spec.Filler && presses(image, spec.Image) {
			cores += float64(w.paced[attemptKey{r.Task, r.Attempt}]) / fullShare * float64(spec.Size.MilliCPU) / 1000
		}
	}
	return cores * worldPressure
}

func (w *interferenceWorld) watch(key attemptKey, tail float64) {
	if tail <= worldTarget {
		delete(w.over, key)
		return
	}
	if _, over := w.over[key]; !over {
		w.over[key] = w.now.Boot
	}
	w.longest = max(w.longest, w.now.Boot-w.over[key])
}

// streamOfFillers plays a steady stream of fillers beside services and returns how many looks found a service over its
// target, once the pairs could be learned. A blind scheduler forgets what it has learned before each plan.
func streamOfFillers(t *testing.T, blind bool) (over int, longest time.Duration) {
	w := newInterferenceWorld(t, 8)
	w.s.AddJob(testJob("sensitive", serviceStep("sensitive", 12)), nil, false)
	w.s.AddJob(testJob("robust", serviceStep("robust", 12)), nil, false)
	w.run()
	for n := range 120 {
		if n%2 == 0 {
			w.s.AddJob(testJob(workload.JobID(fmt.Sprintf("heavy%03d", n)), fillerStep("heavy", 3)), nil, false)
			w.s.AddJob(testJob(workload.JobID(fmt.Sprintf("light%03d", n)), fillerStep("light", 3)), nil, false)
		}
		if blind {
			w.s.model.slowdowns = learn.NewSlowdowns()
		}
		w.step()
		if n >= 60 {
			over += len(w.over)
		}
	}
	return over, w.longest
}

// Answers the pattern of a steady stream of fillers beside services, of which some pairs disturb each other. Guards
// against a service that stays over its target because of fillers, and against learning that brings nothing: compared
// with the policy that does not learn, services have to be over their target in less than half of the looks.
func TestFillersLearnToAvoidSensitiveServices(t *testing.T) {
	blind, _ := streamOfFillers(t, true)
	learned, longest := streamOfFillers(t, false)
	t.Logf("services over their target in %d looks, %d without learning", learned, blind)
	if longest >= 4*time.Second {
		t.Errorf("a service was over its target for %v", longest)
	}
	if 2*learned >= blind {
		t.Errorf("services were over their target in %d looks, %d without learning", learned, blind)
	}
}

// Answers the pattern of services that start beside pressing fillers which run already. Guards against a service that
// is kept over its target for longer than the platform tolerates, 4 s.
func TestGuardSlowsFillersInTime(t *testing.T) {
	w := newInterferenceWorld(t, 1)
	filler := fillerStep("heavy", 4)
	filler.Checkpoints = false
	w.s.AddJob(testJob("heavy", filler), nil, false)
	w.step()
	w.s.AddJob(testJob("sensitive", serviceStep("sensitive", 3)), nil, false)
	seen := false
	for range 40 {
		w.step()
		seen = seen || len(w.over) > 0
	}
	if !seen {
		t.Error("the fillers never pressed the services; the test shows nothing")
	}
	if w.longest >= 4*time.Second {
		t.Errorf("a service was over its target for %v", w.longest)
	}
}

// Answers the pattern of a service that is over its target by its own load. Guards against fillers that stay paused
// although they are not the cause.
func TestServiceOverByItsOwnLoadDoesNotStopFillers(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w", nil)
	h.s.AddJob(testJob("service", serviceStep("sensitive", 1)), nil, false)
	h.s.AddJob(testJob("filler", fillerStep("light", 1)), nil, false)
	h.run()
	worked := 0
	paced := fullShare
	for range 60 {
		h.pass(worldReport)
		for i := range h.workers["w"].running {
			r := &h.workers["w"].running[i]
			if r.Task.Job == "service" {
				r.Percent, r.Metric = 100, 2*worldTarget
			} else {
				r.Metric = float64(20 * paced)
			}
		}
		h.report("w")
		for _, o := range h.run() {
			if o.Kind == OrderPace {
				paced = o.Percent
			}
		}
		if paced > 0 {
			worked++
		}
	}
	if worked < 20 {
		t.Errorf("the filler worked in %d of 60 looks", worked)
	}
}

// pressedService returns a harness with a service that is over its target on the only worker, and no report yet.
func pressedService(t *testing.T) (h *harness, report func()) {
	h = newHarness(t, 1)
	h.addWorker("w", nil)
	h.s.AddJob(testJob("service", serviceStep("sensitive", 1)), nil, false)
	h.run()
	return h, func() {
		h.pass(worldReport)
		for i := range h.workers["w"].running {
			if r := &h.workers["w"].running[i]; r.Task.Job == "service" {
				r.Percent, r.Metric = 100, 2*worldTarget
			} else {
				r.Metric = 1000
			}
		}
		h.report("w")
	}
}

// Answers the pattern of a service that is over its target beside fillers whose pressure on it is underrated. Guards
// against new fillers that take the place of those that the guard has slowed down.
func TestNoFillerStartsBesideServiceOverItsTarget(t *testing.T) {
	h, report := pressedService(t)
	h.s.AddJob(testJob("first", fillerStep("light", 1)), nil, false)
	h.wantStarts(h.run(), 1)
	report()
	report()
	h.s.model.refresh(h.now.Boot)
	h.s.model.pressures[h.s.task(taskID("service", 0, 0)).step.image][h.s.task(taskID("first", 0, 0)).step.image] = 0
	h.s.AddJob(testJob("second", fillerStep("light", 1)), nil, false)
	h.wantStarts(h.run(), 0)
}

// Answers the pattern of a service over its target beside a filler that counts as harmless, while all others are slowed
// to nothing. Guards against a service that counts as over by its own load as soon as that filler ends: its figure does
// not cover a time without fillers yet.
func TestServiceIsNotBlamedBeforeItWasAlone(t *testing.T) {
	h, report := pressedService(t)
	h.s.AddJob(testJob("slowed", fillerStep("heavy", 1)), nil, false)
	h.s.AddJob(testJob("harmless", fillerStep("light", 1)), nil, false)
	h.wantStarts(h.run(), 2)
	service := h.s.task(taskID("service", 0, 0))
	light := h.s.task(taskID("harmless", 0, 0)).step.image
	for n := range 5 {
		h.s.model.refresh(h.now.Boot)
		h.s.model.pressures[service.step.image][light] = 0
		if n == 3 {
			h.end(taskID("harmless", 0, 0), EndDone)
		}
		report()
		h.run()
		if service.attempts[0].blameless(h.now.Boot) {
			t.Fatalf("look %d: the service counts as over by its own load", n)
		}
	}
}

// Answers the pattern of a service that is over its target by its own load on a worker without fillers. Guards against
// fillers that never start there.
func TestFillersStartBesideServiceOverByItsOwnLoad(t *testing.T) {
	h, report := pressedService(t)
	for range 6 {
		report()
		h.run()
	}
	h.s.AddJob(testJob("filler", fillerStep("light", 1)), nil, false)
	started := 0
	for range 6 {
		report()
		started += len(starts(h.run()))
	}
	if started != 1 {
		t.Errorf("%d fillers started, want 1", started)
	}
}

// Answers the pattern of a service that is over its target by its own load, until fillers have started beside it.
// Guards against a guard that takes the fillers for harmless for too long: the platform tolerates 4 s, of which figures,
// looks and orders take up to 1.5 s.
func TestFillersAreBlamedOnceTheOwnLoadIsGone(t *testing.T) {
	w := newInterferenceWorld(t, 1)
	w.base = 1.2 * worldTarget
	w.s.AddJob(testJob("sensitive", serviceStep("sensitive", 1)), nil, false)
	for range 8 {
		w.step()
	}
	filler := fillerStep("heavy", 4)
	filler.Checkpoints = false
	w.s.AddJob(testJob("heavy", filler), nil, false)
	for len(w.workers["w00"].running) == 1 {
		w.step()
	}
	w.base = 0.6 * worldTarget
	clear(w.over)
	w.longest = 0
	for range 20 {
		w.step()
	}
	if w.longest >= 2500*time.Millisecond {
		t.Errorf("the fillers kept the service over its target for %v", w.longest)
	}
}

// Guards against memory that grows with every image that jobs ever named.
func TestPressuresStayBounded(t *testing.T) {
	m := newInterference()
	for n := range 10 * learn.MaxKinds {
		m.imageNumber(fillerStep(fmt.Sprint("image", n), 1))
	}
	if got := len(m.pressures); got > learn.MaxKinds+1 {
		t.Fatalf("pressures of %d images", got)
	}
}
