package jobs

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"

	"fulmarcourse.example/core/structs"
)

// Limits of a split.
const (
	// MaxParts is the maximum number of records of a job. All of them are created in one transaction.
	MaxParts = 16
	// MinPartTasks is the minimum number of tasks of a part when a job has several.
	MinPartTasks = 4
	// partBytes is the assumed size of a new record without the specification and the tasks.
	partBytes = 1 << 10
	// pendingTaskBytes is the assumed size of a task in a new record.
	pendingTaskBytes = 64
)

// Share is the number of tasks of a job that are assigned to one shard.
type Share struct {
	Shard structs.ShardID
	Tasks int
}

// maxPartsOf returns the maximum number of parts of a job with which the transaction that creates them stays below
// MaxTxnBytes. Every part has a copy of the specification.
func maxPartsOf(spec structs.JobSpec) int {
	data, err := json.Marshal(spec)
	if err != nil {
		return 1 // the error is reported when the record is encoded
	}
	return min(MaxParts, (MaxTxnBytes-spec.Tasks*pendingTaskBytes)/(len(data)+partBytes))
}

// Split distributes the tasks of a job over shards: all to home if it has headroom for them, else over the shards of
// the preferred data centre if their total headroom suffices, else over all shards that can run a task. A share has at
// least MinPartTasks tasks unless there is only one, and there are at most maxParts shares. The tasks are distributed
// so that the remaining headroom of the shards, negative for a queue, becomes as even as possible. Shards with equal
// headroom are put in random order, since all submissions between two heartbeats see the same digests.
func Split(candidates []HomeCandidate, demand HomeDemand, home structs.ShardID, maxParts int, rnd *rand.Rand) []Share {
	whole := []Share{{Shard: home, Tasks: demand.Tasks}}
	limit := min(MaxParts, maxParts, demand.Tasks/MinPartTasks)
	all := shardHeadrooms(candidates, demand)
	if limit < 2 || slices.ContainsFunc(all, func(r shardHeadroom) bool { return r.shard == home && r.headroom >= demand.Tasks }) {
		return whole
	}
	rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b shardHeadroom) int { return cmp.Compare(b.headroom, a.headroom) })
	preferred := slices.DeleteFunc(slices.Clone(all), func(r shardHeadroom) bool { return r.shard.Datacentre != demand.PreferredDatacentre })
	if totalHeadroom(preferred) >= demand.Tasks {
		if shares := divide(preferred, demand.Tasks, limit); len(shares) > 1 {
			return shares
		}
	}
	if shares := divide(all, demand.Tasks, limit); len(shares) > 1 {
		return shares
	}
	return whole
}

// shardHeadroom is a shard with the number of tasks that could start there now, which is negative if more tasks are
// pending than fit.
type shardHeadroom struct {
	shard    structs.ShardID
	epoch    structs.Epoch
	headroom int
}

// shardHeadrooms returns the headroom of each usable shard. After a takeover two hosts may report a shard; the digest
// of the later owner is used.
func shardHeadrooms(candidates []HomeCandidate, demand HomeDemand) []shardHeadroom {
	var headrooms []shardHeadroom
	for _, c := range candidates {
		if !c.usable(demand.Size) {
			continue
		}
		r := shardHeadroom{shard: c.Digest.Shard, epoch: c.Digest.Epoch, headroom: c.headroom(demand.Size)}
		at := slices.IndexFunc(headrooms, func(other shardHeadroom) bool { return other.shard == r.shard })
		if at < 0 {
			headrooms = append(headrooms, r)
		} else if r.epoch > headrooms[at].epoch {
			headrooms[at] = r
		}
	}
	return headrooms
}

func totalHeadroom(headrooms []shardHeadroom) int {
	sum := 0
	for _, r := range headrooms {
		sum += max(r.headroom, 0)
	}
	return sum
}

// divide distributes tasks over at most limit shards. headrooms is sorted in descending order, and shards are dropped
// from its end until every share has MinPartTasks tasks. It returns nil if fewer than two shards remain.
func divide(headrooms []shardHeadroom, tasks, limit int) []Share {
	for count := min(limit, len(headrooms)); count > 1; count-- {
		shares := distribute(headrooms[:count], tasks)
		if !slices.ContainsFunc(shares, func(s Share) bool { return s.Tasks < MinPartTasks }) {
			return shares
		}
	}
	return nil
}

// distribute assigns each task to the shard with the most remaining headroom.
func distribute(headrooms []shardHeadroom, tasks int) []Share {
	shares := make([]Share, len(headrooms))
	for i, r := range headrooms {
		shares[i].Shard = r.shard
	}
	for range tasks {
		best := 0
		for i := range headrooms {
			if headrooms[i].headroom-shares[i].Tasks > headrooms[best].headroom-shares[best].Tasks {
				best = i
			}
		}
		shares[best].Tasks++
	}
	return shares
}
