package quota

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// FIFO returns the indexes of pending by waiting time, longest first. It is the baseline for Order.
func FIFO(pending []Task) []int {
	return byAge(pending, func(int) bool { return true })
}

// Order returns the indexes of pending in the order in which the tasks should start: first the urgent tasks within the
// urgent share of their team, then all others. In both parts the next task belongs to the team with the lowest weighted
// dominant share, including the tasks ordered so far (progressive filling). Within a team the oldest task comes first.
// Every StarvedEvery-th position of the second part goes to the task that has waited longest, if it has waited for more
// than StarveAfter, so that no task waits indefinitely behind teams with a lower share.
func Order(state State, pending []Task) []int {
	f := newFilling(&state, pending)
	order := f.orderUrgent(make([]int, 0, len(pending)))
	ordered := make([]bool, len(pending))
	for _, i := range order {
		ordered[i] = true
	}
	return f.orderRest(order, ordered)
}

// account is the guarantee of one team and its usage, including the tasks ordered so far.
type account struct {
	team          structs.TeamName
	guarantee     structs.Resources
	urgentAllowed bool
	urgentUsed    structs.Resources
	used          structs.Resources
}

func (a *account) dominantShare() float64 { return dominantShare(a.used, a.guarantee) }

// filling is the state of one progressive filling.
type filling struct {
	now      time.Time
	pending  []Task
	accounts []*account // account of the team of each pending task
}

func newFilling(state *State, pending []Task) *filling {
	f := &filling{now: state.Now, pending: pending, accounts: make([]*account, len(pending))}
	byTeam := map[structs.TeamName]*account{}
	for i := range pending {
		team := pending[i].Team
		a := byTeam[team]
		if a == nil {
			a = &account{team, effectiveGuarantee(state, team), state.Shares[team].Urgent, state.UrgentUsage[team], state.Usage[team]}
			byTeam[team] = a
		}
		f.accounts[i] = a
	}
	return f
}

// orderUrgent appends the urgent tasks that are within the urgent share of their team to order.
func (f *filling) orderUrgent(order []int) []int {
	teams := f.queues(byAge(f.pending, func(i int) bool { return f.pending[i].Urgent && f.accounts[i].urgentAllowed }))
	for len(teams) > 0 {
		q := teams[0]
		next := q.tasks[0]
		within := q.account.urgentUsed.Add(f.pending[next].Size)
		if dominantShare(within, q.account.guarantee) > UrgentShare {
			heap.Pop(&teams) // the remaining urgent tasks of the team are ordered like any other
			continue
		}
		q.account.urgentUsed = within
		order = append(order, next)
		f.addUsage(next)
		if q.tasks = q.tasks[1:]; len(q.tasks) == 0 {
			heap.Pop(&teams)
			continue
		}
		refreshTop(&teams)
	}
	return order
}

// orderRest appends all tasks that are not ordered yet to order.
func (f *filling) orderRest(order []int, ordered []bool) []int {
	left := byAge(f.pending, func(i int) bool { return !ordered[i] })
	teams := f.queues(left)
	starved := left
	for position := 1; len(teams) > 0; position++ {
		refreshTop(&teams)
		q := teams[0]
		q.tasks = skipOrdered(q.tasks, ordered)
		if len(q.tasks) == 0 {
			heap.Pop(&teams)
			position--
			continue
		}
		next := q.tasks[0]
		starved = skipOrdered(starved, ordered)
		if position%StarvedEvery == 0 && f.now.Sub(f.pending[starved[0]].Since) > StarveAfter {
			next = starved[0]
		}
		ordered[next] = true
		order = append(order, next)
		f.addUsage(next)
	}
	return order
}

// addUsage adds a task to the usage of its team.
func (f *filling) addUsage(i int) { f.accounts[i].used = f.accounts[i].used.Add(f.pending[i].Size) }

// refreshTop updates the share of the top team until the top team has the lowest share. Shares only increase, so
// outdated ones further down are updated when they reach the top.
func refreshTop(teams *teamHeap) {
	for {
		q := (*teams)[0]
		now := q.account.dominantShare()
		if now == q.share {
			return
		}
		q.share = now
		heap.Fix(teams, 0)
	}
}

// skipOrdered removes the leading tasks that are ordered already.
func skipOrdered(tasks []int, ordered []bool) []int {
	for len(tasks) > 0 && ordered[tasks[0]] {
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
			q = &teamQueue{account: a, share: a.dominantShare()}
			byTeam[a] = q
			teams = append(teams, q)
		}
		q.tasks = append(q.tasks, i)
	}
	heap.Init(&teams)
	return teams
}

// byAge returns the indexes of the tasks that match, the oldest first and equally old ones in the given order.
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
	share   float64 // as of the latest refreshTop
	tasks   []int
}

// teamHeap is a heap with the team with the lowest share on top.
type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }
func (h teamHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].share, h[j].share), cmp.Compare(h[i].account.team, h[j].account.team)) < 0
}
func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*teamQueue)) }

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
