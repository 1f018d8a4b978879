// Package learn estimates the resource usage and run times of batch kinds and how much colocated kinds slow each other
// down. Declared sizes and run times differ widely from the actual ones, and measurements arrive late. The estimators
// hold plain data: they make no calls, take the current time as an argument and take no locks. The shard owner calls
// them while holding its own lock.
package learn

import (
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"

	"fulmarcourse.example/core/structs"
)

// Parameters of the size and run time estimates.
const (
	// SketchAccuracy is the relative error of a quantile (DDSketch: Masson, Rim and Lee, 2019).
	SketchAccuracy = 0.02
	// SketchBins bounds the memory of one sketch. At SketchAccuracy the bins span a range of 1 to 25 million, for
	// example 4 kB to 100 GB; smaller values are counted in the lowest bin.
	SketchBins = 426
	// SizeHalfLife is the time in which a sample loses half of its weight. After the size of a kind has changed, the
	// estimate follows when the old samples weigh less than the share above MemoryQuantile, after 7 half-lives.
	SizeHalfLife = 30 * time.Minute
	// DecayStep is the minimum time between two reweightings of a sketch, which visit every bin.
	DecayStep = SizeHalfLife / 32
	// MinSamplesToRaise is the minimum weight of the samples for a reservation above the declared size.
	MinSamplesToRaise = 20
	// MinSamplesToLower is the minimum weight of the samples for a reservation below the declared size. It is higher,
	// since a reservation that is too small harms the neighbours of the task.
	MinSamplesToLower = 60
	// CPUQuantile is the quantile of the measured CPU usage that is reserved. CPU time can be throttled, so rare peaks
	// are not covered.
	CPUQuantile = 0.90
	// MemoryQuantile is the quantile of the measured memory usage that is reserved. Memory cannot be throttled.
	MemoryQuantile = 0.99
	// MemoryMargin is the factor applied to the memory quantile to allow for growth between two measurements.
	MemoryMargin = 1.15
	// MinShareOfDeclared is the minimum share of the declared size that is reserved.
	MinShareOfDeclared = 0.05
	// MinRunSamples is the minimum weight of the recorded run times for an estimate.
	MinRunSamples = 10
	// MinProgress is the progress from which the remaining time of a task is extrapolated from its own rate.
	MinProgress = 0.1
)

// sketch is a quantile sketch whose samples lose weight with time. Samples from before the latest decay are added with
// full weight.
type sketch struct {
	data    *ddsketch.DDSketch
	decayed time.Time
}

func newSketch(now time.Time) *sketch {
	data, err := ddsketch.LogCollapsingLowestDenseDDSketch(SketchAccuracy, SketchBins)
	if err != nil {
		panic("learn: SketchAccuracy is not a relative accuracy: " + err.Error())
	}
	return &sketch{data: data, decayed: now}
}

// add adds one sample. Negative and non-finite values, which a sketch cannot hold, are dropped.
func (s *sketch) add(value float64, now time.Time) {
	s.decay(now)
	if value >= 0 && !math.IsInf(value, 0) {
		_ = s.data.Add(value) // fails only for values beyond the range of float64 bins, which carry no information
	}
}

// decay reduces the weight of all samples by the time since the latest decay.
func (s *sketch) decay(now time.Time) {
	age := now.Sub(s.decayed)
	if age < DecayStep {
		return
	}
	s.decayed = now
	factor := math.Exp2(-age.Hours() / SizeHalfLife.Hours())
	if factor < 1e-6 || s.data.IsEmpty() {
		s.data.Clear()
		return
	}
	_ = s.data.Reweight(factor) // fails only for factors that are not positive
}

// quantile returns the value at quantile q and the total weight of the samples.
func (s *sketch) quantile(q float64) (value, weight float64) {
	weight = s.data.GetCount()
	if weight <= 0 {
		return 0, 0
	}
	value, err := s.data.GetValueAtQuantile(q)
	if err != nil {
		return 0, 0
	}
	return value, weight
}

// kindSizes holds the sketches of one kind: CPU in milli-CPUs, memory in bytes, run time in seconds.
type kindSizes struct{ cpu, memory, run *sketch }

// Sizes estimates reservations and run times per kind.
type Sizes struct {
	kinds map[structs.KindName]*kindSizes
}

// NewSizes returns an estimator without samples.
func NewSizes() *Sizes { return &Sizes{kinds: map[structs.KindName]*kindSizes{}} }

func (s *Sizes) kind(name structs.KindName, now time.Time) *kindSizes {
	k := s.kinds[name]
	if k == nil {
		k = &kindSizes{newSketch(now), newSketch(now), newSketch(now)}
		s.kinds[name] = k
	}
	return k
}

// ObserveUsage adds one usage measurement of a running task.
func (s *Sizes) ObserveUsage(kind structs.KindName, usage structs.Resources, now time.Time) {
	k := s.kind(kind, now)
	k.cpu.add(float64(usage.MilliCPU), now)
	k.memory.add(float64(usage.MemoryBytes), now)
}

// RemainingWithProgress returns the expected remaining run time of a task: extrapolated from its progress from
// MinProgress on, and otherwise estimated from the run times of its kind. ranFor is its run time over all attempts. The
// result is 0 if the remaining time is unknown.
func (s *Sizes) RemainingWithProgress(kind structs.KindName, progress float64, ranFor time.Duration) time.Duration {
	if progress >= MinProgress && progress <= 1 && ranFor > 0 {
		return max(time.Duration(float64(ranFor)*(1-progress)/progress), time.Second)
	}
	if left, known := s.Remaining(kind, ranFor); known {
		return left
	}
	return 0
}

// ObserveRun adds the run time of a completed task over all its attempts.
func (s *Sizes) ObserveRun(kind structs.KindName, ran time.Duration, now time.Time) {
	s.kind(kind, now).run.add(ran.Seconds(), now)
}

// Reservation returns the resources that a task of kind should reserve. Accelerators are whole devices and stay as
// declared. The planner limits the result to the capacity of a worker.
func (s *Sizes) Reservation(kind structs.KindName, declared structs.Resources) structs.Resources {
	k := s.kinds[kind]
	if k == nil {
		return declared
	}
	cpu, cpuWeight := k.cpu.quantile(CPUQuantile)
	memory, memoryWeight := k.memory.quantile(MemoryQuantile)
	return structs.Resources{
		MilliCPU:     reservedAmount(declared.MilliCPU, cpu, cpuWeight),
		MemoryBytes:  reservedAmount(declared.MemoryBytes, memory*MemoryMargin, memoryWeight),
		Accelerators: declared.Accelerators,
	}
}

// reservedAmount returns the measured amount, but at least MinShareOfDeclared of the declared one, if the weight of the
// samples suffices, and the declared amount otherwise.
func reservedAmount(declared int64, measured, weight float64) int64 {
	floor := int64(math.Ceil(float64(declared) * MinShareOfDeclared))
	value := int64(math.Ceil(min(measured, math.MaxInt64/2)))
	switch {
	case value > declared && weight >= MinSamplesToRaise:
		return value
	case value < declared && weight >= MinSamplesToLower:
		return max(value, floor)
	}
	return declared
}

// RunTime returns a quantile of the run time of kind; false if there are too few samples.
func (s *Sizes) RunTime(kind structs.KindName, q float64) (time.Duration, bool) {
	k := s.kinds[kind]
	if k == nil {
		return 0, false
	}
	seconds, weight := k.run.quantile(q)
	return time.Duration(seconds * float64(time.Second)), weight >= MinRunSamples
}

// Remaining returns the expected remaining run time of a task that has run for ranFor: the mean excess over ranFor of
// the run times that are longer. It returns false if there are too few samples.
func (s *Sizes) Remaining(kind structs.KindName, ranFor time.Duration) (time.Duration, bool) {
	k := s.kinds[kind]
	if k == nil || k.run.data.GetCount() < MinRunSamples {
		return 0, false
	}
	var sum, weight float64
	k.run.data.ForEach(func(value, count float64) bool {
		if value > ranFor.Seconds() {
			sum += (value - ranFor.Seconds()) * count
			weight += count
		}
		return false
	})
	if weight <= 0 {
		return 0, false
	}
	return time.Duration(sum / weight * float64(time.Second)), true
}
