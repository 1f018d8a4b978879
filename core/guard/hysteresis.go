package guard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fulmarcourse.example/core/internal/bucket"
	"fulmarcourse.example/core/structs"
)

// Hysteresis implements the policy that the package comment describes. It is not safe for concurrent use.
type Hysteresis struct {
	hosts  map[structs.HostID]*hostState
	budget *bucket.Bucket // eviction budget of the whole shard
}

// hostState is the state kept for one worker.
type hostState struct {
	lastSignal      time.Time
	cpu, latency    float64       // smoothed
	memory          float64       // latest value; memory does not fluctuate like CPU usage
	highFor         time.Duration // time with CPU or latency at or above the throttle threshold
	lowFor          time.Duration // time with CPU and latency below the release thresholds
	memoryHighFor   time.Duration // time with memory at or above EvictMemory
	atFloorFor      time.Duration // time under pressure with all tasks at ThrottleFloor
	throttleChanged time.Time     // time of the latest change of throttling
	lastEviction    time.Time
}

// NewHysteresis returns a policy without state.
func NewHysteresis() *Hysteresis {
	return &Hysteresis{hosts: map[structs.HostID]*hostState{}}
}

// Name returns "hysteresis".
func (g *Hysteresis) Name() string { return "hysteresis" }

// Step implements Policy. The state of workers that are not in hosts is removed.
func (g *Hysteresis) Step(now time.Time, hosts []HostSignal) []Action {
	g.refill(now, len(hosts))
	present := make(map[structs.HostID]bool, len(hosts))
	var actions []Action
	for _, i := range byPressure(hosts) {
		h := &hosts[i]
		present[h.Host] = true
		if s := g.observe(now, h); s != nil {
			actions = append(actions, g.chooseActions(now, h, s)...)
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

// byPressure returns the indexes of hosts by decreasing pressure, so that the workers under the highest pressure use
// the eviction budget first.
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

// observe smooths the signals of one worker and updates its timers. It returns nil if the signals are too old or the
// first ones of the worker.
func (g *Hysteresis) observe(now time.Time, h *HostSignal) *hostState {
	if h.Age > MaxSignalAge {
		delete(g.hosts, h.Host)
		return nil
	}
	cpu := share(h.Usage.MilliCPU, h.Capacity.MilliCPU)
	s := g.hosts[h.Host]
	if s == nil {
		// A single signal may be a peak, so the smoothed values do not start above the release thresholds.
		g.hosts[h.Host] = &hostState{lastSignal: now, cpu: min(cpu, ReleaseCPU), latency: min(h.Latency, ReleaseLatency)}
		return nil
	}
	step := min(max(now.Sub(s.lastSignal), 0), MaxSignalInterval)
	s.lastSignal = now
	weight := 1 - math.Exp(-step.Seconds()/SmoothingTime.Seconds())
	s.cpu += weight * (cpu - s.cpu)
	s.latency += weight * (h.Latency - s.latency)
	s.memory = share(h.Usage.MemoryBytes, h.Capacity.MemoryBytes)
	s.highFor = heldFor(s.highFor, s.cpu >= ThrottleCPU || s.latency >= ThrottleLatency, step)
	s.lowFor = heldFor(s.lowFor, s.cpu < ReleaseCPU && s.latency < ReleaseLatency, step)
	s.memoryHighFor = heldFor(s.memoryHighFor, s.memory >= EvictMemory, step)
	s.atFloorFor = heldFor(s.atFloorFor, s.highFor >= ThrottleAfter && atFloor(h.Tasks), step)
	return s
}

// heldFor returns how long a condition has held without interruption.
func heldFor(before time.Duration, holds bool, step time.Duration) time.Duration {
	if !holds {
		return 0
	}
	return before + step
}

// atFloor reports whether all tasks are throttled to ThrottleFloor.
func atFloor(tasks []TaskSignal) bool {
	for i := range tasks {
		if throttleable(&tasks[i]) {
			return false
		}
	}
	return len(tasks) > 0
}

// chooseActions returns the actions for one worker: at most one kind of change at a time.
func (g *Hysteresis) chooseActions(now time.Time, h *HostSignal, s *hostState) []Action {
	switch {
	case s.memoryHighFor >= EvictMemoryAfter:
		need := structs.Resources{MemoryBytes: excess(h.Usage.MemoryBytes, h.Capacity.MemoryBytes, TargetMemory)}
		return g.evictFrom(now, h, s, need, "memory")
	case s.atFloorFor >= EvictAfter:
		return g.evictFrom(now, h, s, structs.Resources{MilliCPU: cpuRelief(h, s)}, "processors")
	case now.Sub(s.throttleChanged) < ThrottleInterval:
		return nil
	case s.highFor >= ThrottleAfter:
		return throttle(now, h, s)
	case s.lowFor >= ReleaseAfter:
		return release(now, h, s)
	}
	return nil
}

// excess returns the part of used above the share target of capacity.
func excess(used, capacity int64, target float64) int64 {
	return max(0, used-int64(target*float64(capacity)))
}

// cpuRelief returns the CPU usage to free, in milli-CPUs.
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

// throttleable reports whether the task can be throttled further.
func throttleable(t *TaskSignal) bool { return t.Throttle > ThrottleFloor+1e-9 }

// throttle reduces the speed of tasks by ThrottleFactor until enough CPU is freed: those that exceed their reservation
// most first, urgent ones last.
func throttle(now time.Time, h *HostSignal, s *hostState) []Action {
	s.throttleChanged = now
	relief := cpuRelief(h, s)
	order := make([]*TaskSignal, 0, len(h.Tasks))
	for i := range h.Tasks {
		if throttleable(&h.Tasks[i]) {
			order = append(order, &h.Tasks[i])
		}
	}
	slices.SortStableFunc(order, func(a, b *TaskSignal) int {
		return cmp.Or(cmp.Compare(boolToInt(a.Urgent), boolToInt(b.Urgent)),
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

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// release raises the speed of every throttled task by ReleaseStep.
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
		s.throttleChanged = now
	}
	return actions
}

// evictFrom evicts the cheapest set of tasks that frees need, within the eviction limits of the worker and the shard.
func (g *Hysteresis) evictFrom(now time.Time, h *HostSignal, s *hostState, need structs.Resources, reason string) []Action {
	if !s.lastEviction.IsZero() && now.Sub(s.lastEviction) < EvictInterval {
		return nil
	}
	var actions []Action
	for _, t := range cheapestEvictions(h.Tasks, need) {
		if !g.budget.Take(1, now) {
			break
		}
		actions = append(actions, evict(h.Host, t, reason))
	}
	if len(actions) > 0 {
		s.lastEviction, s.memoryHighFor, s.atFloorFor = now, 0, 0
	}
	return actions
}
