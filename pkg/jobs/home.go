package jobs

import (
	"math"
	"math/rand/v2"

	"fulmarcourse.example/core/structs"
)

// HomeCandidate is a shard that may become the home of a job.
type HomeCandidate struct {
	Digest       structs.ShardDigest
	State        structs.DatacentreState
	BatchAllowed bool // the document allows batch work in the data centre
}

// HomeDemand is the demand of a job for which a home shard is selected.
type HomeDemand struct {
	Size                structs.Resources // of one task
	Tasks               int
	PreferredDatacentre structs.DatacentreID // its shards are chosen first if the job fits there
}

// HomePolicy selects a home shard for a job. It returns false if no candidate can ever run the tasks.
type HomePolicy func(candidates []HomeCandidate, demand HomeDemand, rnd *rand.Rand) (structs.ShardID, bool)

// FirstHome selects the first shard that can run a task of the job. It is the baseline for TwoChoiceHome.
func FirstHome(candidates []HomeCandidate, demand HomeDemand, _ *rand.Rand) (structs.ShardID, bool) {
	for _, c := range candidates {
		if c.usable(demand.Size) {
			return c.Digest.Shard, true
		}
	}
	return structs.ShardID{}, false
}

// TwoChoiceHome prefers shards of the preferred data centre with headroom for the whole job, then any shard with such
// headroom, then any shard that can run a task. Among these it draws two at random and selects the one with more
// headroom. Digests are up to one heartbeat old, so selecting the best shard would send all submissions of that time
// to the same shard (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
func TwoChoiceHome(candidates []HomeCandidate, demand HomeDemand, rnd *rand.Rand) (structs.ShardID, bool) {
	var preferred, fitting, usable []HomeCandidate
	for _, c := range candidates {
		if !c.usable(demand.Size) {
			continue
		}
		usable = append(usable, c)
		if c.headroom(demand.Size) < demand.Tasks {
			continue
		}
		fitting = append(fitting, c)
		if c.Digest.Shard.Datacentre == demand.PreferredDatacentre {
			preferred = append(preferred, c)
		}
	}
	for _, group := range [][]HomeCandidate{preferred, fitting, usable} {
		if len(group) > 0 {
			return betterOfTwo(group, demand, rnd), true
		}
	}
	return structs.ShardID{}, false
}

// betterOfTwo draws two candidates and returns the shard of the one with more headroom. The preferred data centre wins
// ties.
func betterOfTwo(group []HomeCandidate, demand HomeDemand, rnd *rand.Rand) structs.ShardID {
	i := rnd.IntN(len(group))
	if len(group) == 1 {
		return group[i].Digest.Shard
	}
	j := rnd.IntN(len(group) - 1)
	if j >= i {
		j++
	}
	a, b := group[i], group[j]
	headroomA, headroomB := a.headroom(demand.Size), b.headroom(demand.Size)
	if headroomB > headroomA || (headroomB == headroomA && b.Digest.Shard.Datacentre == demand.PreferredDatacentre) {
		return b.Digest.Shard
	}
	return a.Digest.Shard
}

// usable reports whether the shard may run batch work and a task of the given size fits on its largest worker.
func (c HomeCandidate) usable(size structs.Resources) bool {
	return c.BatchAllowed && c.State != structs.DatacentreOut && size.Fits(c.Digest.Largest)
}

// headroom estimates how many tasks of the given size could start now in addition to the pending tasks. It is negative
// if more tasks are pending than fit.
func (c HomeCandidate) headroom(size structs.Resources) int {
	fit := min(
		maxTasks(c.Digest.Free.MilliCPU, size.MilliCPU),
		maxTasks(c.Digest.Free.MemoryBytes, size.MemoryBytes),
		maxTasks(c.Digest.Free.Accelerators, size.Accelerators))
	return int(fit) - c.Digest.Pending
}

// maxTasks returns how many tasks that use size of a resource fit into its free amount.
func maxTasks(free, size int64) int64 {
	if size <= 0 {
		return math.MaxInt32
	}
	return max(free, 0) / size
}
