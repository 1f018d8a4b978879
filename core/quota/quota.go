// Package quota orders pending batch tasks by the shares of their teams and selects the running tasks that may be
// stopped for a pending task with precedence. It is pure: it makes no calls, reads no clock and keeps no state.
//
// Each shard orders its own pending tasks by its part of every team's quota (Scale). A team below its guarantee always
// comes before a team above its guarantee, and the order is work-conserving: capacity that a team does not use is
// available to any team with pending tasks. A team whose tasks arrive later than those of others regains its share as
// borrowed capacity is released and, for urgent tasks or after ReclaimAfter, by preemption of tasks of teams that
// borrow.
package quota

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// Thresholds of the order.
const (
	// MinShare is the minimum guarantee of a team, as a share of the capacity in each dimension. It lets teams without
	// a quota make progress. 180 teams at this share are guaranteed 18% of the capacity.
	MinShare = 0.001
	// UrgentShare is the share of its guarantee that a team may use for urgent tasks, which start before the tasks of
	// other teams. Urgent tasks beyond it are ordered like any other, so that a team cannot declare everything urgent.
	UrgentShare = 1.0
	// StarveAfter is the waiting time after which a task counts as starved and may be ordered ahead of its turn.
	StarveAfter = 15 * time.Minute
	// StarvedEvery is the interval at which positions in the order go to the task that has waited longest.
	StarvedEvery = 16
)

// Share is the part of a team's entitlement in the environment document that applies to one shard.
type Share struct {
	Guarantee structs.Resources // part of the team's quota; see Scale
	Urgent    bool              // the team may submit urgent work
}

// State is the capacity of a shard and its usage.
type State struct {
	Capacity    structs.Resources
	Shares      map[structs.TeamName]Share
	Usage       map[structs.TeamName]structs.Resources // reservations of all running tasks
	UrgentUsage map[structs.TeamName]structs.Resources // part of Usage by urgent tasks
	Now         time.Time
}

// Task is a pending task.
type Task struct {
	Team   structs.TeamName
	Size   structs.Resources // reservation
	Urgent bool
	Since  time.Time // start of the wait
}

// Scale returns the part of a team's quota in a shard with capacity part of the total capacity whole. Each dimension is
// rounded up, so that a small quota does not become 0 in every shard.
func Scale(quota, part, whole structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU:     scale(quota.MilliCPU, part.MilliCPU, whole.MilliCPU),
		MemoryBytes:  scale(quota.MemoryBytes, part.MemoryBytes, whole.MemoryBytes),
		Accelerators: scale(quota.Accelerators, part.Accelerators, whole.Accelerators),
	}
}

func scale(quota, part, whole int64) int64 {
	if whole <= 0 || part <= 0 || quota <= 0 {
		return 0
	}
	share := float64(quota) * float64(part) / float64(whole)
	if rounded := int64(share); float64(rounded) == share {
		return rounded
	}
	return int64(share) + 1
}

// DominantShare returns the weighted dominant share of a team whose usage is used: the maximum ratio of usage to
// guarantee over all dimensions (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011, with a weight per resource).
// Up to 1 the team is within its guarantee; above 1 it borrows capacity that other teams do not use.
func DominantShare(state *State, team structs.TeamName, used structs.Resources) float64 {
	return dominantShare(used, effectiveGuarantee(state, team))
}

func dominantShare(used, guarantee structs.Resources) float64 {
	return max(ratio(used.MilliCPU, guarantee.MilliCPU), ratio(used.MemoryBytes, guarantee.MemoryBytes),
		ratio(used.Accelerators, guarantee.Accelerators))
}

// effectiveGuarantee returns the guarantee of a team, at least MinShare of the capacity.
func effectiveGuarantee(state *State, team structs.TeamName) structs.Resources {
	g := state.Shares[team].Guarantee
	return structs.Resources{
		MilliCPU:     max(g.MilliCPU, minGuarantee(state.Capacity.MilliCPU)),
		MemoryBytes:  max(g.MemoryBytes, minGuarantee(state.Capacity.MemoryBytes)),
		Accelerators: max(g.Accelerators, minGuarantee(state.Capacity.Accelerators)),
	}
}

func minGuarantee(capacity int64) int64 { return max(1, int64(float64(capacity)*MinShare)) }

func ratio(used, guarantee int64) float64 { return float64(used) / float64(guarantee) }

// TeamShares returns the shares of all teams of an environment document in a shard with capacity part of the total
// capacity whole.
func TeamShares(doc structs.Document, part, whole structs.Resources) map[structs.TeamName]Share {
	shares := make(map[structs.TeamName]Share, len(doc.Teams))
	for name, team := range doc.Teams {
		shares[name] = Share{Guarantee: Scale(team.Quota, part, whole), Urgent: team.Urgent}
	}
	return shares
}
