package placement

import (
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
)

// ErrUnknownPolicy is returned for a policy name that does not exist.
const ErrUnknownPolicy = errors.ConstError("unknown placement policy")

// Policy determines how much a task reserves and which of the workers that pass the filters it is placed on.
type Policy interface {
	Name() string
	// Size returns the reservation for a task. The planner limits it to the capacity of a worker.
	Size(task *Pending) structs.Resources
	// Scorers returns new scorers for one planner. Their scores are summed; the worker with the highest sum is chosen,
	// and the first in host order among equal ones.
	Scorers() []Scorer
	// RunTimes returns the estimates used to backfill held workers; nil if there are none.
	RunTimes() RunTimeModel
	// ExploreShare returns the share of placements, from 0 to 1, that use a random worker among those that pass the
	// filters.
	ExploreShare() float64
}

// Scorer scores a worker for a task; higher is better.
type Scorer interface {
	Name() string
	Score(task *Task, view *View) float64
}

// Preparer is implemented by a Scorer that precomputes data once per planning cycle, before the first call of Score.
type Preparer interface {
	// Prepare receives the kinds of all placed and pending tasks; Task.KindIndex and View.Counts are indexes into it.
	Prepare(kinds []structs.KindName)
}

// SizeModel estimates reservations. learn.Sizes implements it.
type SizeModel interface {
	Reservation(kind structs.KindName, declared structs.Resources) structs.Resources
}

// RunTimeModel estimates run times per kind. Its methods return false if there are too few samples. learn.Sizes
// implements it.
type RunTimeModel interface {
	// RunTime returns a quantile of the total run time.
	RunTime(kind structs.KindName, quantile float64) (time.Duration, bool)
	// Remaining returns the expected remaining run time of a task that has run for ranFor.
	Remaining(kind structs.KindName, ranFor time.Duration) (time.Duration, bool)
}

// SlowdownModel estimates how much colocated tasks slow each other down. learn.Slowdowns implements it.
type SlowdownModel interface {
	// LogSlowdown returns the natural logarithm of the slowdown that one neighbour causes to a task of kind victim.
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

// PolicyNames returns the accepted policy names.
func PolicyNames() []string { return []string{FirstFit, BestFit, Learned} }

// NewPolicy returns the policy with the given name. Learned requires the models Sizes and Slowdowns.
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

// firstFit uses the first worker with enough capacity for the declared size. It is the baseline for comparison.
type firstFit struct{}

func (firstFit) Name() string                         { return FirstFit }
func (firstFit) Size(task *Pending) structs.Resources { return task.Declared }
func (firstFit) Scorers() []Scorer                    { return nil }
func (firstFit) RunTimes() RunTimeModel               { return nil }
func (firstFit) ExploreShare() float64                { return 0 }

// bestFit prefers the worker with the least capacity left after placing the declared size, which preserves large gaps
// for large tasks.
type bestFit struct{}

func (bestFit) Name() string                         { return BestFit }
func (bestFit) Size(task *Pending) structs.Resources { return task.Declared }
func (bestFit) Scorers() []Scorer                    { return []Scorer{fitScorer{weight: 1}} }
func (bestFit) RunTimes() RunTimeModel               { return nil }
func (bestFit) ExploreShare() float64                { return 0 }

// Thresholds of the learned policy.
const (
	// LearnedFitWeight is the weight of the unused share of a worker (0 to 1) against the slowdown, which is a
	// logarithm: the difference between an empty and a full worker counts as much as a slowdown of 5%.
	LearnedFitWeight = 0.05
	// LearnedExploreShare is the share of placements made at random, so that pairs of kinds with a high estimated
	// slowdown are still measured occasionally.
	LearnedExploreShare = 0.02
)

// learnedPolicy reserves sizes estimated from measurements and avoids colocating kinds that slow each other down.
// Predicting colocation effects from measured pairs follows Delimitrou and Kozyrakis, "Paragon" (2013), and Mars et
// al., "Bubble-Up" (2011).
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

// fitScorer prefers workers with little capacity left after the placement.
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

// slowdownScorer penalises a worker by the slowdown that its tasks would cause to the new task and the new task to each
// of them.
type slowdownScorer struct {
	model SlowdownModel
	cost  [][]float64 // sum of both directions of a pair, by the kind indexes of the cycle
}

func (*slowdownScorer) Name() string { return "slowdown" }

// Prepare implements Preparer. The costs are precomputed because looking up pairs by name for every worker took ten
// times as long as the rest of the plan.
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
