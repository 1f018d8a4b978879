package learn

import (
	"math"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// Parameters of the slowdown estimates. Slowdowns are natural logarithms: 0.1 means about 10% slower for each
// neighbour of the kind, and the effects of several neighbours add up.
const (
	// SlowdownHalfLife is the time in which evidence loses half of its weight. Colocation effects change with load,
	// and a wrong estimate must not outlast the measurements behind it.
	SlowdownHalfLife = 30 * time.Minute
	// PriorDeviation is the standard deviation of the prior of a slowdown, whose mean is 0.
	PriorDeviation = 0.2
	// NoiseDeviation is the standard deviation of the logarithm of one measured progress rate.
	NoiseDeviation = 0.2
	// MaxLogDeviation bounds the difference between a measurement and its baseline, which limits the effect of
	// outliers.
	MaxLogDeviation = 1.5
	// MaxLogSlowdown bounds the estimated slowdown by one neighbour: a factor of 7.4.
	MaxLogSlowdown = 2.0
	// MaxKinds bounds the size of the estimator. Kinds beyond it are assumed to cause no slowdown.
	MaxKinds = 64
	// BaselineSamples is the number of measurements of an attempt that its mean rate covers.
	BaselineSamples = 20
	// DecayInterval is the minimum time between two decays of the equations of one kind, far below the half-life: a decay touches
	// all of them.
	DecayInterval = time.Second
	// SolveInterval is the minimum time between two solutions of the equations of one kind.
	SolveInterval = 2 * time.Second
	// MaxSweeps bounds the number of sweeps of one solution. Each solution starts from the previous one.
	MaxSweeps = 200
	// SolveTolerance is the change per sweep below which a solution has converged.
	SolveTolerance = 1e-4
)

// attempt identifies an attempt of a task.
type attempt struct {
	task   structs.TaskID
	number int
}

// baseline is the mean of the earlier measurements of one attempt.
type baseline struct {
	latest     time.Time
	count      float64
	logRate    float64   // mean logarithm of the progress rate
	neighbours []float64 // mean number of neighbours by kind index
}

// row holds the normal equations for one victim kind: evidence * slowdown = effect, where slowdown is the vector of the
// logarithmic slowdowns by neighbour kind.
type row struct {
	evidence [][]float64 // by the kind indexes of two neighbours
	effect   []float64   // by the kind index of a neighbour
	decayed  time.Time   // time of the latest decay
	solved   []float64   // latest solution: logarithmic slowdown by the kind index of the neighbour
	solvedAt time.Time
	stale    bool // the equations have changed since the latest solution
}

// Slowdowns estimates how much a task of one kind is slowed down by each neighbour of another kind.
//
// The model of the progress rate r of a task of kind v with n[k] neighbours of each kind k is
//
//	log r = a - sum over k of n[k] * b[v][k]
//
// where a differs between tasks and b[v][k] >= 0 is the logarithmic slowdown that LogSlowdown returns.
//
// Tasks of a kind differ widely in length, so rates of different tasks are not compared. Each measurement of an
// attempt is compared with the mean of its earlier ones, scaled so that the differences are independent (forward
// orthogonal deviations: Arellano and Bover, 1995), and this difference with those of the other attempts of its group
// at the same time (see relativeToPeers). The differences feed a ridge regression per victim kind whose evidence decays
// exponentially, so that without new measurements an estimate returns to 0.
type Slowdowns struct {
	index     map[structs.KindName]int // indexes of the kinds
	rows      []*row                   // by the kind index of the victim
	baselines map[attempt]*baseline
	groups    map[structs.TaskID]*peerGroup

	// Memory that is used again.
	neighbours []float64 // of neighbourVector
	increases  []float64 // of the latest deviation
	peers      []float64 // of relativeToPeers
	changed    []int     // of row.add
}

// NewSlowdowns returns an estimator without measurements, which estimates no slowdown.
func NewSlowdowns() *Slowdowns {
	return &Slowdowns{index: map[structs.KindName]int{}, baselines: map[attempt]*baseline{}, groups: map[structs.TaskID]*peerGroup{}}
}

// kindIndex returns the index of a kind and adds the kind if it is new; -1 if there are MaxKinds others.
func (s *Slowdowns) kindIndex(name structs.KindName) int {
	if i, ok := s.index[name]; ok {
		return i
	}
	if len(s.index) >= MaxKinds {
		return -1
	}
	i := len(s.index)
	s.index[name] = i
	s.rows = append(s.rows, &row{})
	for _, r := range s.rows {
		r.grow(len(s.index))
	}
	return i
}

// grow extends the equations to size kinds.
func (r *row) grow(size int) {
	for i := range r.evidence {
		r.evidence[i] = append(r.evidence[i], make([]float64, size-len(r.evidence[i]))...)
	}
	for len(r.evidence) < size {
		r.evidence = append(r.evidence, make([]float64, size))
		r.effect = append(r.effect, 0)
		r.solved = append(r.solved, 0)
	}
}

// Measurement is one progress rate of an attempt.
type Measurement struct {
	Task       structs.TaskID
	Attempt    int
	Kind       structs.KindName
	Rate       float64    // share of the task per second
	Neighbours []Exposure // mean numbers during the measurement
	// Group is the first task of those whose rates change together for causes other than their neighbours, for instance
	// the replicas of a service, which share the load of its clients. The zero value stands for none.
	Group structs.TaskID
	Host  string // where the attempt runs; attempts of a group on one host are not compared with each other
}

// Observe adds one progress rate (share of the task per second) of an attempt, with the mean number of its neighbours
// during the measurement.
func (s *Slowdowns) Observe(task structs.TaskID, number int, kind structs.KindName, rate float64, exposures []Exposure, now time.Time) {
	s.Add(Measurement{Task: task, Attempt: number, Kind: kind, Rate: rate, Neighbours: exposures}, now)
}

// Add adds one measurement.
func (s *Slowdowns) Add(m Measurement, now time.Time) {
	victim := s.kindIndex(m.Kind)
	if victim < 0 || !(m.Rate > 0) || math.IsInf(m.Rate, 0) {
		return
	}
	neighbours := s.neighbourVector(m.Neighbours)
	key := attempt{m.Task, m.Attempt}
	base := s.baselines[key]
	if base == nil {
		base = &baseline{}
		s.baselines[key] = base
	}
	base.neighbours = append(base.neighbours, make([]float64, len(neighbours)-len(base.neighbours))...)
	logRate := math.Log(m.Rate)
	if base.count > 0 {
		d := s.deviation(base, logRate, neighbours)
		s.relativeToPeers(m, &d, now)
		s.changed = s.rows[victim].add(d, s.changed[:0], now)
	}
	base.latest = now
	base.count = min(base.count+1, BaselineSamples)
	base.logRate += (logRate - base.logRate) / base.count
	for i := range neighbours {
		base.neighbours[i] += (neighbours[i] - base.neighbours[i]) / base.count
	}
}

// deviation is the difference between one measurement and the baseline of its attempt.
type deviation struct {
	slower     float64   // decrease of the logarithm of the rate
	neighbours []float64 // increase of the number of neighbours by kind index
	weight     float64   // inverse of the variance
}

// deviation returns the difference between a measurement and a baseline. It is valid until the next call.
func (s *Slowdowns) deviation(b *baseline, logRate float64, neighbours []float64) deviation {
	s.increases = append(s.increases[:0], neighbours...)
	for i := range neighbours {
		s.increases[i] -= b.neighbours[i]
	}
	return deviation{
		slower: b.logRate - logRate, neighbours: s.increases,
		weight: b.count / (b.count + 1) / (NoiseDeviation * NoiseDeviation),
	}
}

// neighbourVector returns the mean numbers of neighbours by kind index. It is valid until the next call.
func (s *Slowdowns) neighbourVector(exposures []Exposure) []float64 {
	for _, e := range exposures {
		s.kindIndex(e.Kind)
	}
	s.neighbours = slices.Grow(s.neighbours[:0], len(s.index))[:len(s.index)]
	clear(s.neighbours)
	for _, e := range exposures {
		if i, ok := s.index[e.Kind]; ok {
			s.neighbours[i] = e.Mean
		}
	}
	return s.neighbours
}

// add adds a deviation to the equations. It returns the kinds with neighbours, appended to changed.
func (r *row) add(d deviation, changed []int, now time.Time) []int {
	if now.Sub(r.decayed) >= DecayInterval {
		r.decay(now)
	}
	for i, di := range d.neighbours {
		if di != 0 {
			changed = append(changed, i)
		}
	}
	slower := min(max(d.slower, -MaxLogDeviation), MaxLogDeviation)
	for _, i := range changed {
		weighted := d.weight * d.neighbours[i]
		r.effect[i] += weighted * slower
		for _, j := range changed {
			r.evidence[i][j] += weighted * d.neighbours[j]
		}
	}
	r.stale = true
	return changed
}

// decay reduces the weight of the evidence by the time since the latest decay.
func (r *row) decay(now time.Time) {
	age := now.Sub(r.decayed)
	if age <= 0 {
		return
	}
	if !r.decayed.IsZero() {
		factor := math.Exp2(-age.Seconds() / SlowdownHalfLife.Seconds())
		for i := range r.evidence {
			r.effect[i] *= factor
			for j := range r.evidence[i] {
				r.evidence[i][j] *= factor
			}
		}
	}
	r.decayed = now
	r.stale = true
}

// Refresh solves the equations that have changed or decayed. The owner calls it before a planning cycle.
func (s *Slowdowns) Refresh(now time.Time) {
	for _, r := range s.rows {
		if now.Sub(r.solvedAt) < SolveInterval {
			continue
		}
		r.decay(now)
		if r.stale {
			solveNonNegative(r.evidence, r.effect, 1/(PriorDeviation*PriorDeviation), r.solved)
			r.stale = false
		}
		r.solvedAt = now
	}
	for key, base := range s.baselines {
		if now.Sub(base.latest) > HistoryRetention {
			delete(s.baselines, key) // created by a late measurement that arrived after the end of its attempt
		}
	}
	s.removeIdleGroups(now)
}

// LogSlowdown returns the natural logarithm of the slowdown that one neighbour causes to a task of kind victim, as of
// the latest Refresh; 0 for unknown kinds.
func (s *Slowdowns) LogSlowdown(victim, neighbour structs.KindName) float64 {
	v, n, known := s.indexes(victim, neighbour)
	if !known {
		return 0
	}
	return s.rows[v].solved[n]
}

// Evidence returns the weight of the measurements behind LogSlowdown: the inverse of their variance, without the prior.
func (s *Slowdowns) Evidence(victim, neighbour structs.KindName) float64 {
	v, n, known := s.indexes(victim, neighbour)
	if !known {
		return 0
	}
	return s.rows[v].evidence[n][n]
}

func (s *Slowdowns) indexes(victim, neighbour structs.KindName) (v, n int, known bool) {
	v, knownVictim := s.index[victim]
	n, knownNeighbour := s.index[neighbour]
	return v, n, knownVictim && knownNeighbour
}

// RemoveAttempt removes the baseline of an attempt that has ended.
func (s *Slowdowns) RemoveAttempt(task structs.TaskID, n int) { delete(s.baselines, attempt{task, n}) }

// solveNonNegative improves x as a solution of min x'(a+ridge*I)x/2 - b'x under x >= 0 by coordinate descent (Franc,
// Hlavac and Navara, "Sequential coordinate-wise algorithm for the non-negative least squares problem", 2005). The
// bound has to be part of the problem: on workers that are always full, the evidence determines slowdowns only up to a
// common constant, and truncating the negative values of an unbounded solution would lose the positive ones as well.
func solveNonNegative(a [][]float64, b []float64, ridge float64, x []float64) {
	for sweep := 0; sweep < MaxSweeps; sweep++ {
		change := 0.0
		for i := range b {
			rest := b[i]
			for j := range b {
				if j != i {
					rest -= a[i][j] * x[j]
				}
			}
			next := min(max(rest/(a[i][i]+ridge), 0), MaxLogSlowdown)
			change = max(change, math.Abs(next-x[i]))
			x[i] = next
		}
		if change < SolveTolerance {
			return
		}
	}
}
