package jobs

import (
	"math"
	"math/rand/v2"

	"fulmarcourse.example/core/structs"
)

// HomeCandidate is a shard that may become home of a job.
type HomeCandidate struct {
	Digest       structs.ShardDigest
	State        structs.DatacentreState
	BatchAllowed bool // the document allows batch work in the data centre
}

// HomeDemand is what a job asks of its home shard.
type HomeDemand struct {
	Size                structs.Resources // of one task
	Tasks               int
	PreferredDatacentre structs.DatacentreID // data centre of the accepting host, preferred
}

// HomePolicy chooses a home shard; false when no candidate can ever run the tasks.
type HomePolicy func(candidates []HomeCandidate, demand HomeDemand, rnd *rand.Rand) (structs.ShardID, bool)

// FirstHome takes the first shard that can hold a task. It is the baseline for TwoChoiceHome.
func FirstHome(candidates []HomeCandidate, demand HomeDemand, _ *rand.Rand) (structs.ShardID, bool) {
	for _, c := range candidates {
		if c.usable(demand.Size) {
			return c.Digest.Shard, true
		}
	}
	return structs.ShardID{}, false
}

// TwoChoiceHome prefers shards of the own data centre with room for the whole job, then any shard with such
// room, then any shard. Among the preferred ones it draws two and takes the one with more room. Digests are
// late by up to a heartbeat, and always taking the best one would send every submission of that time to the
// same shard (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
func TwoChoiceHome(candidates []HomeCandidate, demand HomeDemand, rnd *rand.Rand) (structs.ShardID, bool) {
	var own, roomy, usable []HomeCandidate
	for _, c := range candidates {
		if !c.usable(demand.Size) {
			continue
		}
		usable = append(usable, c)
		if c.room(demand.Size) < demand.Tasks {
			continue
		}
		roomy = append(roomy, c)
		if c.Digest.Shard.Datacentre == demand.PreferredDatacentre {
			own = append(own, c)
		}
	}
	for _, group := range [][]HomeCandidate{own, roomy, usable} {
		if len(group) > 0 {
			return betterOfTwo(group, demand, rnd), true
		}
	}
	return structs.ShardID{}, false
}

// betterOfTwo draws two candidates and returns the shard of the one with more room; the own data centre wins ties.
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
	roomA, roomB := a.room(demand.Size), b.room(demand.Size)
	if roomB > roomA || (roomB == roomA && b.Digest.Shard.Datacentre == demand.PreferredDatacentre) {
		return b.Digest.Shard
	}
	return a.Digest.Shard
}

// usable reports whether the shard may run batch work and its largest worker holds size.
func (c HomeCandidate) usable(size structs.Resources) bool {
	return c.BatchAllowed && c.State != structs.DatacentreOut && size.Fits(c.Digest.Largest)
}

// room estimates how many more tasks of size could start now, after the tasks that already wait.
// It is negative when more tasks wait than fit.
func (c HomeCandidate) room(size structs.Resources) int {
	fit := min(
		tasksIn(c.Digest.Free.MilliCPU, size.MilliCPU),
		tasksIn(c.Digest.Free.MemoryBytes, size.MemoryBytes),
		tasksIn(c.Digest.Free.Accelerators, size.Accelerators))
	return int(fit) - c.Digest.Pending
}

// tasksIn returns how many parts of size go into free.
func tasksIn(free, size int64) int64 {
	if size <= 0 {
		return math.MaxInt32
	}
	return max(free, 0) / size
}
