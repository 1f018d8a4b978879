package quota

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

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
	f := newFilling(&state, pending)
	order := f.urgent(make([]int, 0, len(pending)))
	taken := make([]bool, len(pending))
	for _, i := range order {
		taken[i] = true
	}
	return f.rest(order, taken)
}

// account is what one team may use, and uses including the tasks ordered so far.
type account struct {
	team      structs.TeamName
	guarantee structs.Resources
	mayUrgent bool
	urgent    structs.Resources
	used      structs.Resources
}

func (a *account) level() float64 { return level(a.used, a.guarantee) }

// filling is the state of one progressive filling.
type filling struct {
	now      time.Time
	pending  []Task
	accounts []*account // by task
}

func newFilling(state *State, pending []Task) *filling {
	f := &filling{now: state.Now, pending: pending, accounts: make([]*account, len(pending))}
	byTeam := map[structs.TeamName]*account{}
	for i := range pending {
		team := pending[i].Team
		a := byTeam[team]
		if a == nil {
			a = &account{team, floorGuarantee(state, team), state.Shares[team].Urgent, state.UrgentUsage[team], state.Usage[team]}
			byTeam[team] = a
		}
		f.accounts[i] = a
	}
	return f
}

// urgent orders the urgent tasks that are within the urgent share of their team.
func (f *filling) urgent(order []int) []int {
	teams := f.queues(byAge(f.pending, func(i int) bool { return f.pending[i].Urgent && f.accounts[i].mayUrgent }))
	for len(teams) > 0 {
		q := teams[0]
		next := q.tasks[0]
		within := q.account.urgent.Add(f.pending[next].Size)
		if level(within, q.account.guarantee) > UrgentShare {
			heap.Pop(&teams) // the rest of the team's urgent work is ordered like any other
			continue
		}
		q.account.urgent = within
		order = append(order, next)
		f.count(next)
		if q.tasks = q.tasks[1:]; len(q.tasks) == 0 {
			heap.Pop(&teams)
			continue
		}
		relevel(&teams)
	}
	return order
}

// rest orders all tasks that are not taken yet.
func (f *filling) rest(order []int, taken []bool) []int {
	left := byAge(f.pending, func(i int) bool { return !taken[i] })
	teams := f.queues(left)
	starved := left
	for position := 1; len(teams) > 0; position++ {
		relevel(&teams)
		q := teams[0]
		q.tasks = dropTaken(q.tasks, taken)
		if len(q.tasks) == 0 {
			heap.Pop(&teams)
			position--
			continue
		}
		next := q.tasks[0]
		starved = dropTaken(starved, taken)
		if position%StarvedEvery == 0 && f.now.Sub(f.pending[starved[0]].Since) > StarveAfter {
			next = starved[0]
		}
		taken[next] = true
		order = append(order, next)
		f.count(next)
	}
	return order
}

// count adds a task to what its team uses.
func (f *filling) count(i int) { f.accounts[i].used = f.accounts[i].used.Add(f.pending[i].Size) }

// relevel brings the level of the first team up to date until it is the lowest. Levels only rise, so those further
// down that are out of date are corrected when they come first.
func relevel(teams *teamHeap) {
	for {
		q := (*teams)[0]
		now := q.account.level()
		if now == q.level {
			return
		}
		q.level = now
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

// queues groups tasks, which are sorted by age, by team.
func (f *filling) queues(tasks []int) teamHeap {
	byTeam := map[*account]*teamQueue{}
	var teams teamHeap
	for _, i := range tasks {
		a := f.accounts[i]
		q := byTeam[a]
		if q == nil {
			q = &teamQueue{account: a, level: a.level()}
			byTeam[a] = q
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
	slices.SortFunc(result, func(a, b int) int {
		return cmp.Or(pending[a].Since.Compare(pending[b].Since), cmp.Compare(a, b))
	})
	return result
}

// teamQueue holds the tasks of one team that are not ordered yet.
type teamQueue struct {
	account *account
	level   float64 // as of the latest relevel
	tasks   []int
}

// teamHeap has the team with the lowest level on top.
type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }
func (h teamHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].level, h[j].level), cmp.Compare(h[i].account.team, h[j].account.team)) < 0
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
