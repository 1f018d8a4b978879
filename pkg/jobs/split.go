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
	// MaxParts is the number of records a job may be stored in. All of them are created in one transaction.
	MaxParts = 16
	// MinPartTasks is the number of tasks below which a part is not worth a record of its own.
	MinPartTasks = 4
	// partBytes is what a part takes in its first record beside the specification and the tasks.
	partBytes = 1 << 10
	// pendingTaskBytes is what a task takes in its first record.
	pendingTaskBytes = 64
)

// Share is the number of tasks of a job that one shard gets.
type Share struct {
	Shard structs.ShardID
	Tasks int
}

// maxPartsOf bounds the parts of a job, so that the transaction which creates all of them stays below MaxTxnBytes:
// every part repeats the specification.
func maxPartsOf(spec structs.JobSpec) int {
	data, err := json.Marshal(spec)
	if err != nil {
		return 1 // encoding the record reports the error
	}
	return min(MaxParts, (MaxTxnBytes-spec.Tasks*pendingTaskBytes)/(len(data)+partBytes))
}

// Split divides the tasks of a job over shards: all to home if it has room for them, else over the shards of the own
// data centre if these have room together, else over all shards that can hold a task. A share has at least
// MinPartTasks tasks unless there is only one, and there are at most maxParts shares. The tasks are dealt so that the
// room that is left, or the queue that is added to, becomes as even as possible. Equal shards are drawn at random,
// since all submissions between two heartbeats see the same digests.
func Split(candidates []HomeCandidate, demand HomeDemand, home structs.ShardID, maxParts int, rnd *rand.Rand) []Share {
	whole := []Share{{Shard: home, Tasks: demand.Tasks}}
	limit := min(MaxParts, maxParts, demand.Tasks/MinPartTasks)
	all := roomsOf(candidates, demand)
	if limit < 2 || slices.ContainsFunc(all, func(r shardRoom) bool { return r.shard == home && r.room >= demand.Tasks }) {
		return whole
	}
	rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b shardRoom) int { return cmp.Compare(b.room, a.room) })
	own := slices.DeleteFunc(slices.Clone(all), func(r shardRoom) bool { return r.shard.Datacentre != demand.PreferredDatacentre })
	if totalRoom(own) >= demand.Tasks {
		if shares := divide(own, demand.Tasks, limit); len(shares) > 1 {
			return shares
		}
	}
	if shares := divide(all, demand.Tasks, limit); len(shares) > 1 {
		return shares
	}
	return whole
}

// shardRoom is a shard with the number of tasks that could start there now; negative if more tasks wait than fit.
type shardRoom struct {
	shard structs.ShardID
	epoch structs.Epoch
	room  int
}

// roomsOf returns each usable shard once. After a takeover two hosts may report a shard; the later owner counts.
func roomsOf(candidates []HomeCandidate, demand HomeDemand) []shardRoom {
	var rooms []shardRoom
	for _, c := range candidates {
		if !c.usable(demand.Size) {
			continue
		}
		r := shardRoom{shard: c.Digest.Shard, epoch: c.Digest.Epoch, room: c.room(demand.Size)}
		at := slices.IndexFunc(rooms, func(other shardRoom) bool { return other.shard == r.shard })
		if at < 0 {
			rooms = append(rooms, r)
		} else if r.epoch > rooms[at].epoch {
			rooms[at] = r
		}
	}
	return rooms
}

func totalRoom(rooms []shardRoom) int {
	sum := 0
	for _, r := range rooms {
		sum += max(r.room, 0)
	}
	return sum
}

// divide deals tasks to at most limit of the rooms, which are sorted by falling room. It leaves out the last ones
// until every share has MinPartTasks tasks.
func divide(rooms []shardRoom, tasks, limit int) []Share {
	for count := min(limit, len(rooms)); count > 1; count-- {
		shares := deal(rooms[:count], tasks)
		if !slices.ContainsFunc(shares, func(s Share) bool { return s.Tasks < MinPartTasks }) {
			return shares
		}
	}
	return nil
}

// deal gives each task to the shard that has the most room left.
func deal(rooms []shardRoom, tasks int) []Share {
	shares := make([]Share, len(rooms))
	for i, r := range rooms {
		shares[i].Shard = r.shard
	}
	for range tasks {
		best := 0
		for i := range rooms {
			if rooms[i].room-shares[i].Tasks > rooms[best].room-shares[best].Tasks {
				best = i
			}
		}
		shares[best].Tasks++
	}
	return shares
}
