package guard

import (
	"math"

	"fulmarcourse.example/core/structs"
)

// reliefSteps is the maximum number of units into which the required relief is divided. The relief of a task is rounded
// down to whole units, so that a chosen set always frees what is needed.
const reliefSteps = 100

// cheapestEvictions returns the set of tasks that frees need and loses the least work: the minimum knapsack cover, by
// dynamic programming over reliefSteps. Exactly one dimension of need is not 0. If all evictable tasks together free
// too little, it returns only the task that frees the most per second of cost. Urgent tasks are included only if the
// others do not suffice.
func cheapestEvictions(tasks []TaskSignal, need structs.Resources) []*TaskSignal {
	if need == (structs.Resources{}) {
		return nil
	}
	var normal, all []*TaskSignal
	for i := range tasks {
		t := &tasks[i]
		if !t.evictable() || relief(t, need) <= 0 {
			continue
		}
		all = append(all, t)
		if !t.Urgent {
			normal = append(normal, t)
		}
	}
	for _, candidates := range [][]*TaskSignal{normal, all} {
		if set := cover(candidates, need); set != nil {
			return set
		}
	}
	if len(normal) == 0 {
		normal = all
	}
	return bestReliefPerCost(normal, need)
}

// relief returns the usage that evicting t frees in the dimension of need.
func relief(t *TaskSignal, need structs.Resources) int64 {
	if need.MemoryBytes > 0 {
		return t.Usage.MemoryBytes
	}
	return t.Usage.MilliCPU
}

// cost returns the cost of evicting t in seconds: the lost work and RestartCost.
func cost(t *TaskSignal) float64 { return (t.LostWork + RestartCost).Seconds() }

// cover returns the set of candidates with the lowest cost that frees need, or nil if there is none.
func cover(candidates []*TaskSignal, need structs.Resources) []*TaskSignal {
	amount := max(need.MemoryBytes, need.MilliCPU)
	unit := (amount + reliefSteps - 1) / reliefSteps
	steps := int((amount + unit - 1) / unit)
	// least[r] is the lowest cost of a subset of the candidates so far that frees at least r units.
	least := make([]float64, steps+1)
	for r := 1; r <= steps; r++ {
		least[r] = math.Inf(1)
	}
	taken := make([][]bool, len(candidates))
	for i, t := range candidates {
		taken[i] = make([]bool, steps+1)
		units := int(min(relief(t, need)/unit, int64(steps)))
		for r := steps; r > 0; r-- {
			if c := least[max(0, r-units)] + cost(t); c < least[r] {
				least[r], taken[i][r] = c, true
			}
		}
	}
	if math.IsInf(least[steps], 1) {
		return nil
	}
	var set []*TaskSignal
	r := steps
	for i := len(candidates) - 1; i >= 0 && r > 0; i-- {
		if taken[i][r] {
			set = append(set, candidates[i])
			r = max(0, r-int(min(relief(candidates[i], need)/unit, int64(steps))))
		}
	}
	return set
}

// bestReliefPerCost returns the task that frees the most per second of cost, or nil if there are no tasks.
func bestReliefPerCost(tasks []*TaskSignal, need structs.Resources) []*TaskSignal {
	var best *TaskSignal
	for _, t := range tasks {
		if best == nil || float64(relief(t, need))*cost(best) > float64(relief(best, need))*cost(t) {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	return []*TaskSignal{best}
}
