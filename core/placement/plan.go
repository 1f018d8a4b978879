package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"fulmarcourse.example/core/structs"
)

// Config configures a Planner.
type Config struct {
	Policy  Policy
	Filters []Filter // DefaultFilters when nil
}

// Planner computes plans from snapshots. It reuses buffers between cycles, so it is not safe for concurrent use.
type Planner struct {
	policy  Policy
	filters []Filter
	scorers []Scorer

	views     []View
	versions  []uint32 // incremented when a view changes
	counts    []int32  // backing array of View.Counts
	kinds     kindIndex
	classes   map[classKey]*class
	now       time.Time
	heldCount int    // workers held in this cycle
	feasible  []int  // views that pass all filters; only while a worker is chosen at random
	placed    []bool // by pending task: placed on the worker held for it
}

// kindIndex maps the kinds of a cycle to indexes.
type kindIndex struct {
	names []structs.KindName
	index map[structs.KindName]int
}

func (k *kindIndex) add(name structs.KindName) {
	if _, known := k.index[name]; !known {
		k.index[name] = len(k.names)
		k.names = append(k.names, name)
	}
}

// NewPlanner returns a planner for cfg.
func NewPlanner(cfg Config) *Planner {
	if cfg.Filters == nil {
		cfg.Filters = DefaultFilters()
	}
	return &Planner{policy: cfg.Policy, filters: cfg.Filters, scorers: cfg.Policy.Scorers()}
}

// classKey identifies the tasks that every filter and scorer treats the same, so that they share scores.
type classKey struct {
	kind     structs.KindName
	declared structs.Resources
	excluded string
	probe    structs.HostID
	urgent   bool
}

// class caches the scores of the workers for one class of tasks.
type class struct {
	task       Task      // of the first pending task of the class
	scores     []float64 // negative infinity where a filter rejects the worker
	versions   []uint32  // version of the view for which the score was computed
	exhausted  bool      // no worker accepts the class; final, since capacity only shrinks within a cycle
	rejections []Rejection
}

// Plan places pending tasks in the given order. The result depends only on the arguments and the models of the policy,
// and Plan modifies neither. A task for which no worker passes all filters stays pending, and later tasks may be placed
// before it.
func (p *Planner) Plan(snapshot Snapshot, pending []Pending, rnd *rand.Rand) Plan {
	if snapshot.OutOfService {
		return allUnplaced(pending, []Rejection{{outOfServiceReason, len(snapshot.Workers)}})
	}
	p.beginCycle(snapshot, pending)
	plan := Plan{Placements: make([]Placement, 0, len(pending))}
	p.resumeHolds(&plan, pending)
	for i := range pending {
		if p.placed[i] {
			continue
		}
		task := &pending[i]
		c := p.classOf(task)
		best, explored := p.selectWorker(c, rnd)
		if best < 0 {
			plan.Unplaced = append(plan.Unplaced, p.handleUnplaced(task, c))
			continue
		}
		p.place(&plan, task, c, best, explored)
	}
	return plan
}

func allUnplaced(pending []Pending, rejections []Rejection) Plan {
	plan := Plan{Unplaced: make([]Unplaced, len(pending))}
	for i := range pending {
		plan.Unplaced[i] = Unplaced{Task: pending[i].Task, Rejections: rejections}
	}
	return plan
}

// beginCycle resets the state of the planner for a new cycle.
func (p *Planner) beginCycle(snapshot Snapshot, pending []Pending) {
	p.indexKinds(snapshot, pending)
	width := len(p.kinds.names)
	p.counts = slices.Grow(p.counts[:0], width*len(snapshot.Workers))[:width*len(snapshot.Workers)]
	clear(p.counts)
	p.views = slices.Grow(p.views[:0], len(snapshot.Workers))
	for i, w := range snapshot.Workers {
		counts := p.counts[i*width : (i+1)*width]
		for _, k := range w.Kinds {
			counts[p.kinds.index[k.Kind]] = int32(k.Count)
		}
		p.views = append(p.views, View{Worker: w, Available: w.Free(), Counts: counts})
	}
	p.versions = slices.Grow(p.versions[:0], len(p.views))[:len(p.views)]
	for i := range p.versions {
		p.versions[i] = 1
	}
	p.classes = map[classKey]*class{}
	p.now, p.heldCount = snapshot.Now, 0
	for _, s := range p.scorers {
		if preparer, ok := s.(Preparer); ok {
			preparer.Prepare(p.kinds.names)
		}
	}
}

// indexKinds assigns indexes to the kinds of the placed and of the pending tasks.
func (p *Planner) indexKinds(snapshot Snapshot, pending []Pending) {
	p.kinds = kindIndex{names: p.kinds.names[:0], index: map[structs.KindName]int{}}
	for _, w := range snapshot.Workers {
		for _, k := range w.Kinds {
			p.kinds.add(k.Kind)
		}
	}
	for i := range pending {
		p.kinds.add(pending[i].Kind)
	}
}

// classOf returns the class of a task and creates it if needed.
func (p *Planner) classOf(task *Pending) *class {
	key := classKey{task.Kind, task.Declared, excludedKey(task.Excluded), task.Probe, task.Urgent}
	c := p.classes[key]
	if c == nil {
		size := p.limitSize(sanitise(p.policy.Size(task), task.Declared), task.Declared)
		c = &class{
			task:     Task{Pending: task, Size: size, KindIndex: p.kinds.index[task.Kind], EndsBy: p.endsBy(task.Kind)},
			scores:   make([]float64, len(p.views)),
			versions: make([]uint32, len(p.views)),
		}
		p.classes[key] = c
	}
	return c
}

func excludedKey(hosts []structs.HostID) string {
	if len(hosts) == 0 {
		return ""
	}
	var key strings.Builder
	for _, h := range hosts {
		key.WriteString(string(h))
		key.WriteByte(0)
	}
	return key.String()
}

// sanitise replaces negative amounts, which only a faulty estimate yields, with the declared ones. Accelerators are
// always as declared.
func sanitise(size, declared structs.Resources) structs.Resources {
	if size.MilliCPU < 0 {
		size.MilliCPU = declared.MilliCPU
	}
	if size.MemoryBytes < 0 {
		size.MemoryBytes = declared.MemoryBytes
	}
	size.Accelerators = declared.Accelerators
	return size
}

// limitSize limits an estimate that exceeds the capacity of every worker to the capacity of the worker that covers most
// of it. Otherwise a wrong estimate would prevent a task from ever starting.
func (p *Planner) limitSize(size, declared structs.Resources) structs.Resources {
	best, bestCover := declared, -1.0
	for i := range p.views {
		capacity := p.views[i].Capacity
		if size.Fits(capacity) {
			return size
		}
		if !declared.Fits(capacity) {
			continue
		}
		cover := math.Min(1, float64(capacity.MilliCPU)/float64(max(size.MilliCPU, 1))) +
			math.Min(1, float64(capacity.MemoryBytes)/float64(max(size.MemoryBytes, 1)))
		if cover > bestCover {
			bestCover = cover
			best = structs.Resources{
				MilliCPU:     min(size.MilliCPU, capacity.MilliCPU),
				MemoryBytes:  min(size.MemoryBytes, capacity.MemoryBytes),
				Accelerators: size.Accelerators,
			}
		}
	}
	return best
}

// selectWorker returns the index of the worker for a task of a class, or -1 if there is none, and whether it was chosen
// at random.
func (p *Planner) selectWorker(c *class, rnd *rand.Rand) (int, bool) {
	if c.exhausted {
		return -1, false
	}
	share := p.policy.ExploreShare()
	explore := share > 0 && !c.task.Urgent && rnd.Float64() < share
	best, bestScore := -1, math.Inf(-1)
	p.feasible = p.feasible[:0]
	for i := range p.views {
		if c.versions[i] != p.versions[i] {
			c.scores[i], c.versions[i] = p.score(&c.task, &p.views[i]), p.versions[i]
		}
		if c.scores[i] > bestScore {
			best, bestScore = i, c.scores[i]
		}
		if explore && !math.IsInf(c.scores[i], -1) {
			p.feasible = append(p.feasible, i)
		}
	}
	if best < 0 {
		c.exhausted = true
		return -1, false
	}
	if explore {
		return p.feasible[rnd.IntN(len(p.feasible))], true
	}
	return best, false
}

// score returns the sum of the scores, or negative infinity if a filter rejects the worker.
func (p *Planner) score(task *Task, view *View) float64 {
	for _, f := range p.filters {
		if !f.Allows(task, view) {
			return math.Inf(-1)
		}
	}
	sum := 0.0
	for _, s := range p.scorers {
		sum += s.Score(task, view)
	}
	if math.IsNaN(sum) || math.IsInf(sum, 0) {
		return -math.MaxFloat64 // a faulty estimate ranks last but does not prevent the task from starting
	}
	return sum
}

// place assigns a task to worker i and adds the placement to the plan.
func (p *Planner) place(plan *Plan, task *Pending, c *class, i int, explored bool) {
	view := &p.views[i]
	view.Available = view.Available.Sub(c.task.Size)
	view.Counts[c.task.KindIndex]++
	p.versions[i]++
	plan.Placements = append(plan.Placements, Placement{task.Task, task.Kind, view.Host, c.task.Size, explored})
}

// countRejections counts for each filter the workers that it is the first to reject.
func (p *Planner) countRejections(task *Task) []Rejection {
	counts := make([]int, len(p.filters))
	for i := range p.views {
		for f := range p.filters {
			if !p.filters[f].Allows(task, &p.views[i]) {
				counts[f]++
				break
			}
		}
	}
	result := []Rejection{}
	for f, count := range counts {
		if count > 0 {
			result = append(result, Rejection{p.filters[f].Name(), count})
		}
	}
	return result
}
