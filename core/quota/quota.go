// Package quota orders pending batch tasks by the shares of their teams and names the tasks that may be stopped
// for work that has a better claim. It is pure: it makes no calls, reads no clock and keeps no state.
//
// Each shard orders its own pending work by the part of every team's quota that falls to it (Scale). A team below
// its guarantee always comes before one above, and what a team leaves idle goes to whoever has work: nothing is
// kept free. A team that gets work later than others recovers its share as borrowed capacity is released, and, for
// urgent work or after ReclaimAfter, by stopping tasks of teams that borrow.
package quota

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// Thresholds of the order.
const (
	// MinShare is the share of the capacity, in each dimension, that a team counts as guaranteed at least. It
	// lets teams without a quota make progress. 180 teams at this share claim 18% of the capacity.
	MinShare = 0.001
	// UrgentShare is the share of its guarantee that a team may fill with work that goes before that of other
	// teams. Urgent work beyond it is ordered like any other, so that a team cannot declare everything urgent.
	UrgentShare = 1.0
	// StarveAfter is how long a task waits before it is put forward out of turn.
	StarveAfter = 15 * time.Minute
	// StarvedEvery is the distance between positions that go to the task which has waited longest.
	StarvedEvery = 16
)

// Share is what the document guarantees a team within the capacity at hand.
type Share struct {
	Guarantee structs.Resources
	Urgent    bool // the team may submit urgent work
}

// State is the capacity and how it is used.
type State struct {
	Capacity    structs.Resources
	Shares      map[structs.TeamName]Share
	Usage       map[structs.TeamName]structs.Resources // reservations of all running tasks
	UrgentUsage map[structs.TeamName]structs.Resources // the part of Usage that is urgent
	Now         time.Time
}

// Task is a pending task.
type Task struct {
	Team   structs.TeamName
	Size   structs.Resources // reservation
	Urgent bool
	Since  time.Time // when it began to wait
}

// Scale returns the part of a team's quota that falls to a shard with capacity part of all capacity whole. Each
// dimension is rounded up, so that a small quota does not vanish in every shard.
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

// DominantShare returns the weighted dominant share of a team that uses used: the greatest ratio of use to guarantee over
// all dimensions (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011, with a weight per resource). Up to 1 the
// team is within its guarantee; above, it borrows what others leave idle.
func DominantShare(state *State, team structs.TeamName, used structs.Resources) float64 {
	return level(used, floorGuarantee(state, team))
}

func level(used, guarantee structs.Resources) float64 {
	return max(ratio(used.MilliCPU, guarantee.MilliCPU), ratio(used.MemoryBytes, guarantee.MemoryBytes),
		ratio(used.Accelerators, guarantee.Accelerators))
}

// floorGuarantee returns the guarantee of a team, at least MinShare of the capacity.
func floorGuarantee(state *State, team structs.TeamName) structs.Resources {
	g := state.Shares[team].Guarantee
	return structs.Resources{
		MilliCPU:     max(g.MilliCPU, atLeastOne(state.Capacity.MilliCPU)),
		MemoryBytes:  max(g.MemoryBytes, atLeastOne(state.Capacity.MemoryBytes)),
		Accelerators: max(g.Accelerators, atLeastOne(state.Capacity.Accelerators)),
	}
}

func atLeastOne(capacity int64) int64 { return max(1, int64(float64(capacity)*MinShare)) }

func ratio(used, guarantee int64) float64 { return float64(used) / float64(guarantee) }

// TeamShares returns the shares of all teams of a document in a shard with capacity part of all capacity whole.
func TeamShares(doc structs.Document, part, whole structs.Resources) map[structs.TeamName]Share {
	shares := make(map[structs.TeamName]Share, len(doc.Teams))
	for name, team := range doc.Teams {
		shares[name] = Share{Guarantee: Scale(team.Quota, part, whole), Urgent: team.Urgent}
	}
	return shares
}
