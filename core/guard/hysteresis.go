package guard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fulmarcourse.example/core/internal/bucket"
	"fulmarcourse.example/core/structs"
)

// Hysteresis is the policy described in the package comment. It is not safe for concurrent use.
type Hysteresis struct {
	hosts  map[structs.HostID]*hostState
	budget *bucket.Bucket // evictions of the whole shard
}

// hostState is what is remembered about one worker.
type hostState struct {
	seen         time.Time // latest signal
	cpu, latency float64   // smoothed
	memory       float64   // latest; memory does not fluctuate like processor time
	hot          time.Duration
	calm         time.Duration
	memoryHot    time.Duration
	floored      time.Duration // pressure while everything is throttled to the floor
	stepped      time.Time     // latest change of throttling
	evicted      time.Time     // latest eviction
}

// NewHysteresis returns the policy.
func NewHysteresis() *Hysteresis {
	return &Hysteresis{hosts: map[structs.HostID]*hostState{}}
}

// Name returns "hysteresis".
func (g *Hysteresis) Name() string { return "hysteresis" }

// Step implements Policy. Workers that are left out are forgotten.
func (g *Hysteresis) Step(now time.Time, hosts []HostSignal) []Action {
	g.refill(now, len(hosts))
	present := make(map[structs.HostID]bool, len(hosts))
	var actions []Action
	for _, i := range byPressure(hosts) {
		h := &hosts[i]
		present[h.Host] = true
		if s := g.observe(now, h); s != nil {
			actions = append(actions, g.act(now, h, s)...)
		}
	}
	for host := range g.hosts {
		if !present[host] {
			delete(g.hosts, host)
		}
	}
	return actions
}

// refill adjusts the eviction budget to the number of workers.
func (g *Hysteresis) refill(now time.Time, hosts int) {
	rate := max(EvictShare*float64(hosts), 1) / EvictWindow.Seconds()
	if g.budget == nil {
		g.budget = bucket.New(rate, MinEvictBurst, now)
	}
	g.budget.SetRate(rate, MinEvictBurst, now)
}

// byPressure returns the indices of hosts, the one with the most pressure first, so that it gets what is left of
// the eviction budget.
func byPressure(hosts []HostSignal) []int {
	order := make([]int, len(hosts))
	for i := range order {
		order[i] = i
	}
	pressure := func(i int) float64 {
		h := &hosts[i]
		return max(share(h.Usage.MilliCPU, h.Capacity.MilliCPU), share(h.Usage.MemoryBytes, h.Capacity.MemoryBytes), h.Latency)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(pressure(b), pressure(a)) })
	return order
}

// observe smooths the signals of one worker and advances its timers. It returns nil when there is nothing to go by.
func (g *Hysteresis) observe(now time.Time, h *HostSignal) *hostState {
	if h.Age > MaxSignalAge {
		delete(g.hosts, h.Host)
		return nil
	}
	cpu := share(h.Usage.MilliCPU, h.Capacity.MilliCPU)
	s := g.hosts[h.Host]
	if s == nil {
		// A single signal may be a peak, so the smoothed values do not start above the release thresholds.
		g.hosts[h.Host] = &hostState{seen: now, cpu: min(cpu, ReleaseCPU), latency: min(h.Latency, ReleaseLatency)}
		return nil
	}
	step := min(max(now.Sub(s.seen), 0), MaxSignalInterval)
	s.seen = now
	weight := 1 - math.Exp(-step.Seconds()/SmoothingTime.Seconds())
	s.cpu += weight * (cpu - s.cpu)
	s.latency += weight * (h.Latency - s.latency)
	s.memory = share(h.Usage.MemoryBytes, h.Capacity.MemoryBytes)
	s.hot = lasting(s.hot, s.cpu >= ThrottleCPU || s.latency >= ThrottleLatency, step)
	s.calm = lasting(s.calm, s.cpu < ReleaseCPU && s.latency < ReleaseLatency, step)
	s.memoryHot = lasting(s.memoryHot, s.memory >= EvictMemory, step)
	s.floored = lasting(s.floored, s.hot >= ThrottleAfter && atFloor(h.Tasks), step)
	return s
}

// lasting returns how long a condition has held without a break.
func lasting(before time.Duration, holds bool, step time.Duration) time.Duration {
	if !holds {
		return 0
	}
	return before + step
}

// atFloor reports whether throttling can do no more.
func atFloor(tasks []TaskSignal) bool {
	for i := range tasks {
		if throttleable(&tasks[i]) {
			return false
		}
	}
	return len(tasks) > 0
}

// act chooses the actions for one worker: at most one kind of change at a time.
func (g *Hysteresis) act(now time.Time, h *HostSignal, s *hostState) []Action {
	switch {
	case s.memoryHot >= EvictMemoryAfter:
		need := structs.Resources{MemoryBytes: excess(h.Usage.MemoryBytes, h.Capacity.MemoryBytes, TargetMemory)}
		return g.evictFrom(now, h, s, need, "memory")
	case s.floored >= EvictAfter:
		return g.evictFrom(now, h, s, structs.Resources{MilliCPU: cpuRelief(h, s)}, "processors")
	case now.Sub(s.stepped) < ThrottleInterval:
		return nil
	case s.hot >= ThrottleAfter:
		return throttle(now, h, s)
	case s.calm >= ReleaseAfter:
		return release(now, h, s)
	}
	return nil
}

// excess returns how much used is above target as a share of capacity.
func excess(used, capacity int64, target float64) int64 {
	return max(0, used-int64(target*float64(capacity)))
}

// cpuRelief returns the processor time to take from tasks, in thousandths of a processor.
func cpuRelief(h *HostSignal, s *hostState) int64 {
	relief := excess(int64(s.cpu*float64(h.Capacity.MilliCPU)), h.Capacity.MilliCPU, TargetCPU)
	if s.latency < ThrottleLatency {
		return relief
	}
	var batch int64
	for i := range h.Tasks {
		batch += h.Tasks[i].Usage.MilliCPU
	}
	return max(relief, int64(LatencyRelief*float64(batch)))
}

// throttleable reports whether the task can be slowed further.
func throttleable(t *TaskSignal) bool { return t.Throttle > ThrottleFloor+1e-9 }

// throttle halves the speed of tasks until the relief is covered: those that use more than they reserved first,
// urgent ones last.
func throttle(now time.Time, h *HostSignal, s *hostState) []Action {
	s.stepped = now
	relief := cpuRelief(h, s)
	order := make([]*TaskSignal, 0, len(h.Tasks))
	for i := range h.Tasks {
		if throttleable(&h.Tasks[i]) {
			order = append(order, &h.Tasks[i])
		}
	}
	slices.SortStableFunc(order, func(a, b *TaskSignal) int {
		return cmp.Or(cmp.Compare(order01(a.Urgent), order01(b.Urgent)),
			cmp.Compare(b.Usage.MilliCPU-b.Reserved.MilliCPU, a.Usage.MilliCPU-a.Reserved.MilliCPU))
	})
	var actions []Action
	for _, t := range order {
		if relief <= 0 && len(actions) > 0 {
			break
		}
		speed := max(ThrottleFloor, t.Throttle*ThrottleFactor)
		relief -= int64(float64(t.Usage.MilliCPU) * (1 - speed/t.Throttle))
		actions = append(actions, Action{Kind: SetThrottle, Host: h.Host, Task: t.Task, Attempt: t.Attempt, Share: speed, Reason: "pressure"})
	}
	return actions
}

func order01(b bool) int {
	if b {
		return 1
	}
	return 0
}

// release speeds every throttled task up by one step.
func release(now time.Time, h *HostSignal, s *hostState) []Action {
	var actions []Action
	for i := range h.Tasks {
		t := &h.Tasks[i]
		if t.Throttle < 1 {
			speed := min(1, t.Throttle+ReleaseStep)
			actions = append(actions, Action{Kind: SetThrottle, Host: h.Host, Task: t.Task, Attempt: t.Attempt, Share: speed, Reason: "calm"})
		}
	}
	if len(actions) > 0 {
		s.stepped = now
	}
	return actions
}

// evictFrom evicts the cheapest set of tasks that frees need, if the worker and the shard may evict now.
func (g *Hysteresis) evictFrom(now time.Time, h *HostSignal, s *hostState, need structs.Resources, reason string) []Action {
	if !s.evicted.IsZero() && now.Sub(s.evicted) < EvictInterval {
		return nil
	}
	var actions []Action
	for _, t := range cheapest(h.Tasks, need) {
		if !g.budget.Take(1, now) {
			break
		}
		actions = append(actions, evict(h.Host, t, reason))
	}
	if len(actions) > 0 {
		s.evicted, s.memoryHot, s.floored = now, 0, 0
	}
	return actions
}
