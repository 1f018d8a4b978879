package quota

import (
	"cmp"
	"container/heap"
	"slices"

	"fulmarcourse.example/core/structs"
)

// FIFO orders tasks by the time they wait. It is the baseline for Order.
func FIFO(pending []Task) []int {
	return byAge(pending, func(int) bool { return true })
}

// Order returns the indices of pending in the order in which they should start: first urgent work within the
// urgent share of its team, then all others. In both parts the next task is always one of the team with the
// lowest weighted dominant share, counting the tasks ordered so far (progressive filling). Within a team the
// oldest goes first. Every StarvedEvery-th position of the second part goes to the task that has waited longest,
// if that is more than StarveAfter, so no task waits for ever behind teams with a better claim.
func Order(state State, pending []Task) []int {
	f := filling{state: &state, pending: pending, used: map[structs.TeamName]structs.Resources{}}
	order := f.urgent(make([]int, 0, len(pending)))
	taken := make([]bool, len(pending))
	for _, i := range order {
		taken[i] = true
	}
	return f.rest(order, taken)
}

// filling is the state of one progressive filling.
type filling struct {
	state   *State
	pending []Task
	used    map[structs.TeamName]structs.Resources // ordered so far
}

// usage returns what a team uses including the tasks ordered so far.
func (f *filling) usage(team structs.TeamName) structs.Resources {
	return f.state.Usage[team].Add(f.used[team])
}

// urgent orders the urgent tasks that are within the urgent share of their team.
func (f *filling) urgent(order []int) []int {
	urgent := byAge(f.pending, func(i int) bool {
		return f.pending[i].Urgent && f.state.Shares[f.pending[i].Team].Urgent
	})
	teams := f.queues(urgent)
	for len(teams) > 0 {
		q := teams[0]
		task := &f.pending[q.tasks[0]]
		within := f.state.UrgentUsage[q.team].Add(f.used[q.team]).Add(task.Size)
		if Level(f.state, q.team, within) > UrgentShare {
			heap.Pop(&teams) // the rest of the team's urgent work is ordered like any other
			continue
		}
		order = append(order, q.tasks[0])
		f.advance(&teams)
	}
	return order
}

// rest orders all tasks that are not taken yet.
func (f *filling) rest(order []int, taken []bool) []int {
	left := byAge(f.pending, func(i int) bool { return !taken[i] })
	teams := f.queues(left)
	starved := left
	for position := 1; len(teams) > 0; position++ {
		f.relevel(&teams)
		q := teams[0]
		q.tasks = dropTaken(q.tasks, taken)
		if len(q.tasks) == 0 {
			heap.Pop(&teams)
			position--
			continue
		}
		next := q.tasks[0]
		starved = dropTaken(starved, taken)
		if position%StarvedEvery == 0 && f.state.Now.Sub(f.pending[starved[0]].Since) > StarveAfter {
			next = starved[0]
		}
		taken[next] = true
		order = append(order, next)
		f.count(next)
	}
	return order
}

// relevel brings the level of the first team up to date until it is the lowest. Levels only rise, so those further
// down that are out of date are corrected when they come first.
func (f *filling) relevel(teams *teamHeap) {
	for {
		q := (*teams)[0]
		level := Level(f.state, q.team, f.usage(q.team))
		if level == q.level {
			return
		}
		q.level = level
		heap.Fix(teams, 0)
	}
}

// dropTaken removes the leading tasks that are taken.
func dropTaken(tasks []int, taken []bool) []int {
	for len(tasks) > 0 && taken[tasks[0]] {
		tasks = tasks[1:]
	}
	return tasks
}

// count adds a task to what its team uses.
func (f *filling) count(i int) {
	team := f.pending[i].Team
	f.used[team] = f.used[team].Add(f.pending[i].Size)
}

// advance takes the first task of the first team and puts the team back in its place.
func (f *filling) advance(teams *teamHeap) {
	q := (*teams)[0]
	f.count(q.tasks[0])
	q.tasks = q.tasks[1:]
	if len(q.tasks) == 0 {
		heap.Pop(teams)
		return
	}
	f.relevel(teams)
}

// queues groups tasks, which are sorted by age, by team.
func (f *filling) queues(tasks []int) teamHeap {
	byTeam := map[structs.TeamName]*teamQueue{}
	var teams teamHeap
	for _, i := range tasks {
		team := f.pending[i].Team
		q := byTeam[team]
		if q == nil {
			q = &teamQueue{team: team, level: Level(f.state, team, f.usage(team))}
			byTeam[team] = q
			teams = append(teams, q)
		}
		q.tasks = append(q.tasks, i)
	}
	heap.Init(&teams)
	return teams
}

// byAge returns the indices of the tasks that match, the oldest first and in the given order among equals.
func byAge(pending []Task, matches func(int) bool) []int {
	result := make([]int, 0, len(pending))
	for i := range pending {
		if matches(i) {
			result = append(result, i)
		}
	}
	slices.SortStableFunc(result, func(a, b int) int { return pending[a].Since.Compare(pending[b].Since) })
	return result
}

// teamQueue holds the tasks of one team that are not ordered yet.
type teamQueue struct {
	team  structs.TeamName
	level float64
	tasks []int
}

// teamHeap has the team with the lowest level on top.
type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }
func (h teamHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].level, h[j].level), cmp.Compare(h[i].team, h[j].team)) < 0
}
func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a team; container/heap calls it.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*teamQueue)) }

// Pop removes the last team; container/heap calls it.
func (h *teamHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
