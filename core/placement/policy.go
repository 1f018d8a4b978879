package placement

import (
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
)

// ErrUnknownPolicy means that there is no policy of a name.
const ErrUnknownPolicy = errors.ConstError("unknown placement policy")

// Policy decides how much a task reserves and which of the workers that pass the filters it gets.
type Policy interface {
	Name() string
	// Size returns the reservation for a task. The planner limits it to what a host has.
	Size(task *Pending) structs.Resources
	// Scorers returns new scorers for one planner. Their scores are added up; the worker with the highest sum is
	// chosen, the first in order of host among equals.
	Scorers() []Scorer
	// RunTimes returns the estimates used to backfill workers that are held for a task; nil if there are none.
	RunTimes() RunTimeModel
	// ExploreShare is the share of placements, from 0 to 1, that go to a random worker which passes the filters.
	ExploreShare() float64
}

// Scorer rates a worker for a task.
type Scorer interface {
	Name() string
	Score(task *Task, view *View) float64
}

// Preparer is a Scorer that computes something once per planning cycle, before the first Score.
type Preparer interface {
	// Prepare takes the kinds of the workers and pending tasks; Task.KindIndex and View.Counts refer to this order.
	Prepare(kinds []structs.KindName)
}

// SizeModel estimates reservations. learn.Sizes satisfies it.
type SizeModel interface {
	Reservation(kind structs.KindName, declared structs.Resources) structs.Resources
}

// RunTimeModel estimates run times per kind; false when there is too little evidence. learn.Sizes satisfies it.
type RunTimeModel interface {
	// RunTime returns a quantile of the whole run time.
	RunTime(kind structs.KindName, quantile float64) (time.Duration, bool)
	// Remaining returns the expected time until a task that has run for ranFor is done.
	Remaining(kind structs.KindName, ranFor time.Duration) (time.Duration, bool)
}

// SlowdownModel gives the logarithm of the slowdown that one neighbour causes to a task of kind victim.
// learn.Slowdowns satisfies it.
type SlowdownModel interface {
	LogSlowdown(victim, neighbour structs.KindName) float64
}

// PolicyConfig holds the models that policies may use.
type PolicyConfig struct {
	Sizes     SizeModel
	Slowdowns SlowdownModel
	RunTimes  RunTimeModel // may be nil
}

// Names of the policies.
const (
	FirstFit = "first-fit"
	BestFit  = "best-fit"
	Learned  = "learned"
)

// PolicyNames returns the accepted names.
func PolicyNames() []string { return []string{FirstFit, BestFit, Learned} }

// NewPolicy returns the policy called name. The learned one needs both models.
func NewPolicy(name string, cfg PolicyConfig) (Policy, error) {
	switch name {
	case FirstFit:
		return firstFit{}, nil
	case BestFit:
		return bestFit{}, nil
	case Learned:
		if cfg.Sizes == nil || cfg.Slowdowns == nil {
			return nil, errors.NotValidf("policy %q without models", name)
		}
		return learnedPolicy{cfg}, nil
	}
	return nil, errors.Annotatef(ErrUnknownPolicy, "%q, accepted: %v", name, PolicyNames())
}

// firstFit takes the first worker with room for the declared size. It is the baseline.
type firstFit struct{}

func (firstFit) Name() string                         { return FirstFit }
func (firstFit) Size(task *Pending) structs.Resources { return task.Declared }
func (firstFit) Scorers() []Scorer                    { return nil }
func (firstFit) RunTimes() RunTimeModel               { return nil }
func (firstFit) ExploreShare() float64                { return 0 }

// bestFit takes the worker that the declared size fills best, which keeps large gaps for large tasks.
type bestFit struct{}

func (bestFit) Name() string                         { return BestFit }
func (bestFit) Size(task *Pending) structs.Resources { return task.Declared }
func (bestFit) Scorers() []Scorer                    { return []Scorer{fitScorer{weight: 1}} }
func (bestFit) RunTimes() RunTimeModel               { return nil }
func (bestFit) ExploreShare() float64                { return 0 }

// Thresholds of the learned policy.
const (
	// LearnedFitWeight weighs how well a worker is filled (0 to 1) against slowdown, which is in logarithms: a
	// worker that is emptier by all of its capacity is worth a slowdown of 5%.
	LearnedFitWeight = 0.05
	// LearnedExploreShare is the share of placements made at random, so that pairs which are believed to harm
	// each other are still measured at times.
	LearnedExploreShare = 0.02
)

// learnedPolicy reserves measured sizes and avoids neighbours that slow each other down. The idea of predicting
// co-location effects from measured pairs is from Delimitrou and Kozyrakis, "Paragon" (2013), and Mars et al.,
// "Bubble-Up" (2011).
type learnedPolicy struct{ models PolicyConfig }

func (learnedPolicy) Name() string { return Learned }
func (p learnedPolicy) Size(task *Pending) structs.Resources {
	return p.models.Sizes.Reservation(task.Kind, task.Declared)
}
func (p learnedPolicy) Scorers() []Scorer {
	return []Scorer{&slowdownScorer{model: p.models.Slowdowns}, fitScorer{weight: LearnedFitWeight}}
}
func (p learnedPolicy) RunTimes() RunTimeModel { return p.models.RunTimes }
func (learnedPolicy) ExploreShare() float64    { return LearnedExploreShare }

// fitScorer prefers workers with little capacity left over after the placement.
type fitScorer struct{ weight float64 }

func (fitScorer) Name() string { return "fit" }
func (s fitScorer) Score(task *Task, view *View) float64 {
	left := view.Available.Sub(task.Size)
	sum, dims := 0.0, 0.0
	for _, d := range [...][2]int64{{left.MilliCPU, view.Capacity.MilliCPU}, {left.MemoryBytes, view.Capacity.MemoryBytes}, {left.Accelerators, view.Capacity.Accelerators}} {
		if d[1] > 0 {
			sum += float64(d[0]) / float64(d[1])
			dims++
		}
	}
	if dims == 0 {
		return 0
	}
	return -s.weight * sum / dims
}

// slowdownScorer charges a worker with the slowdown that its tasks would cause to the new one and the new one to
// each of them.
type slowdownScorer struct {
	model SlowdownModel
	cost  [][]float64 // both directions of a pair, by the kind indices of the cycle
}

func (*slowdownScorer) Name() string { return "slowdown" }

// Prepare implements Preparer. Looking up pairs by name for every worker took ten times as long as the rest of
// the plan.
func (s *slowdownScorer) Prepare(kinds []structs.KindName) {
	s.cost = make([][]float64, len(kinds))
	for i, a := range kinds {
		s.cost[i] = make([]float64, len(kinds))
		for j, b := range kinds {
			s.cost[i][j] = s.model.LogSlowdown(a, b) + s.model.LogSlowdown(b, a)
		}
	}
}

func (s *slowdownScorer) Score(task *Task, view *View) float64 {
	cost := s.cost[task.KindIndex]
	sum := 0.0
	for kind, count := range view.Counts {
		if count > 0 {
			sum += float64(count) * cost[kind]
		}
	}
	return -sum
}
