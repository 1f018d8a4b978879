package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/placement/learn"
	"fulmarcourse.example/core/structs"
)

// Errors of Assume.
const (
	// ErrNoCapacity means that the placement would commit the host beyond its capacity.
	ErrNoCapacity = errors.ConstError("host has too little free capacity")
	// ErrAlreadyPlaced means that the task may already run somewhere.
	ErrAlreadyPlaced = errors.ConstError("task is already placed")
	// ErrUnknownHost means that the cache has no such host.
	ErrUnknownHost = errors.ConstError("host not known")
	// ErrUnusableHost means that the host is leaving, or quarantined and the placement is no probe.
	ErrUnusableHost = errors.ConstError("host takes no new tasks")
)

// Placed is one task on one worker as the owner knows it.
type Placed struct {
	Task      structs.TaskID
	Attempt   int
	Kind      structs.KindName
	Host      structs.HostID
	Reserved  structs.Resources
	Confirmed bool      // the worker has reported it
	Since     time.Time // when it was assumed, or confirmed
	ExpiresAt time.Time // assumed placements only: the worker has certainly ended the task by then
}

// node is one worker in the cache.
type node struct {
	host        structs.Host
	reserved    structs.Resources
	quarantined bool
	listed      bool // the latest host list contains it
	tasks       map[structs.TaskID]*Placed
	frozen      *Node // as in the latest snapshot; nil after a change
}

// Cache is the owner's knowledge of the workers of its shard and of the tasks placed on them. Invariant: Assume
// never commits a host beyond its capacity in any dimension, and never adds a second placement of a task.
// It is not safe for concurrent use; the shard owner calls it under its lock.
type Cache struct {
	nodes  map[structs.HostID]*node
	order  []structs.HostID       // sorted
	placed map[structs.TaskID]int // number of workers that may run the task
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{nodes: map[structs.HostID]*node{}, placed: map[structs.TaskID]int{}}
}

// SetHosts takes the workers of the shard from a new host list. Workers that are no longer listed take no new
// tasks, and are dropped when nothing is placed on them.
func (c *Cache) SetHosts(hosts []structs.Host) {
	for _, n := range c.nodes {
		n.listed = false
	}
	for _, h := range hosts {
		n := c.nodes[h.ID]
		if n == nil {
			n = &node{tasks: map[structs.TaskID]*Placed{}}
			c.nodes[h.ID] = n
			i, _ := slices.BinarySearch(c.order, h.ID)
			c.order = slices.Insert(c.order, i, h.ID)
		}
		n.host, n.listed, n.frozen = h, true, nil
	}
	for id, n := range c.nodes {
		if !n.listed {
			n.frozen = nil
			c.dropIfEmpty(id, n)
		}
	}
}

// dropIfEmpty removes a worker that is no longer listed and has no tasks.
func (c *Cache) dropIfEmpty(id structs.HostID, n *node) {
	if n.listed || len(n.tasks) > 0 {
		return
	}
	delete(c.nodes, id)
	if i, found := slices.BinarySearch(c.order, id); found {
		c.order = slices.Delete(c.order, i, i+1)
	}
}

// SetQuarantined marks a worker as taking probe tasks only, or not.
func (c *Cache) SetQuarantined(id structs.HostID, quarantined bool) {
	if n := c.nodes[id]; n != nil && n.quarantined != quarantined {
		n.quarantined, n.frozen = quarantined, nil
	}
}

// Assume commits a placement before its start command is sent. sent is the time of the command, and expires the
// time at which the worker has certainly ended the task if it is never heard of again. probe allows a quarantined
// host.
func (c *Cache) Assume(p Placement, attempt int, probe bool, sent, expires time.Time) error {
	n := c.nodes[p.Host]
	switch {
	case n == nil:
		return errors.Annotatef(ErrUnknownHost, "%s", p.Host)
	case c.placed[p.Task] > 0:
		return errors.Annotatef(ErrAlreadyPlaced, "%s", p.Task)
	case !n.listed || n.host.State == structs.HostLeaving || (n.probesOnly() && !probe):
		return errors.Annotatef(ErrUnusableHost, "%s", p.Host)
	case !p.Reserved.Fits(n.host.Capacity.Sub(n.reserved)) || !(structs.Resources{}).Fits(p.Reserved):
		return errors.Annotatef(ErrNoCapacity, "%s", p.Host)
	}
	c.add(n, Placed{Task: p.Task, Attempt: attempt, Kind: p.Kind, Host: p.Host, Reserved: p.Reserved, Since: sent, ExpiresAt: expires})
	return nil
}

// Confirm notes that the worker has reported the attempt as running. It reports whether the placement was known.
func (c *Cache) Confirm(host structs.HostID, task structs.TaskID, attempt int, now time.Time) bool {
	p := c.find(host, task, attempt)
	if p == nil {
		return false
	}
	if !p.Confirmed {
		p.Confirmed, p.Since, p.ExpiresAt = true, now, time.Time{}
	}
	return true
}

// Forget releases an attempt that certainly does not run: the start was rejected, never sent, or the worker has
// confirmed its end.
func (c *Cache) Forget(host structs.HostID, task structs.TaskID, attempt int) bool {
	if c.find(host, task, attempt) == nil {
		return false
	}
	c.remove(c.nodes[host], task)
	return true
}

// Expire releases the assumed placements whose time has passed, and returns them. Until then a placement whose
// start command was not answered counts as committed.
func (c *Cache) Expire(now time.Time) []Placed {
	var expired []Placed
	for _, id := range slices.Clone(c.order) {
		n := c.nodes[id]
		for task, p := range n.tasks {
			if !p.Confirmed && now.After(p.ExpiresAt) {
				expired = append(expired, *p)
				c.remove(n, task)
			}
		}
	}
	sortPlaced(expired)
	return expired
}

// DropHost releases everything on a worker whose task leases have certainly expired, and returns it.
func (c *Cache) DropHost(host structs.HostID) []Placed {
	n := c.nodes[host]
	if n == nil {
		return nil
	}
	var dropped []Placed
	for task, p := range n.tasks {
		dropped = append(dropped, *p)
		c.remove(n, task)
	}
	sortPlaced(dropped)
	return dropped
}

// Reconciled is what an inventory has changed.
type Reconciled struct {
	Added   []Placed // tasks that this owner did not know, for example those of a former owner
	Removed []Placed // tasks that ended, or that the worker no longer has
}

// Reconcile takes a worker's inventory, which was requested at sent. Tasks that the worker reports are committed,
// whatever the cache assumed. A confirmed task that is missing has ended. An assumed one that is missing stays,
// since its start command may still be on its way.
func (c *Cache) Reconcile(inventory structs.Inventory, sent time.Time) Reconciled {
	var result Reconciled
	n := c.nodes[inventory.Worker]
	if n == nil {
		return result
	}
	reported := make(map[structs.TaskID]bool, len(inventory.Tasks))
	for _, t := range inventory.Tasks {
		if t.State != structs.OnWorkerRunning {
			if p := n.tasks[t.Task]; p != nil && p.Attempt <= t.Attempt {
				result.Removed = append(result.Removed, *p)
				c.remove(n, t.Task)
			}
			continue
		}
		reported[t.Task] = true
		if c.report(n, t, sent) {
			result.Added = append(result.Added, *n.tasks[t.Task])
		}
	}
	for task, p := range n.tasks {
		if p.Confirmed && !reported[task] && p.Since.Before(sent) {
			result.Removed = append(result.Removed, *p)
			c.remove(n, task)
		}
	}
	sortPlaced(result.Removed)
	return result
}

// report takes one running task of an inventory and tells whether it was unknown.
func (c *Cache) report(n *node, t structs.WorkerTask, sent time.Time) bool {
	p := n.tasks[t.Task]
	if p != nil && p.Attempt > t.Attempt {
		return false // a late inventory still shows an earlier attempt
	}
	if p != nil && p.Attempt == t.Attempt && p.Reserved == t.Reserved {
		c.Confirm(p.Host, t.Task, t.Attempt, sent)
		return false
	}
	if p != nil {
		c.remove(n, t.Task)
	}
	c.add(n, Placed{Task: t.Task, Attempt: t.Attempt, Kind: t.Kind, Host: n.host.ID, Reserved: t.Reserved, Confirmed: true, Since: sent})
	return p == nil
}

func (c *Cache) find(host structs.HostID, task structs.TaskID, attempt int) *Placed {
	n := c.nodes[host]
	if n == nil {
		return nil
	}
	if p := n.tasks[task]; p != nil && p.Attempt == attempt {
		return p
	}
	return nil
}

func (c *Cache) add(n *node, p Placed) {
	n.tasks[p.Task] = &p
	n.reserved = n.reserved.Add(p.Reserved)
	n.frozen = nil
	c.placed[p.Task]++
}

func (c *Cache) remove(n *node, task structs.TaskID) {
	p := n.tasks[task]
	delete(n.tasks, task)
	n.reserved = n.reserved.Sub(p.Reserved)
	n.frozen = nil
	if c.placed[task]--; c.placed[task] == 0 {
		delete(c.placed, task)
	}
	c.dropIfEmpty(n.host.ID, n)
}

// Hosts returns the workers on which the task may run. More than one means that an earlier attempt was found on a
// worker that had not been heard of.
func (c *Cache) Hosts(task structs.TaskID) []structs.HostID {
	if c.placed[task] == 0 {
		return nil
	}
	var hosts []structs.HostID
	for _, id := range c.order {
		if c.nodes[id].tasks[task] != nil {
			hosts = append(hosts, id)
		}
	}
	return hosts
}

// Tasks returns the placements on a worker, sorted by task.
func (c *Cache) Tasks(host structs.HostID) []Placed {
	n := c.nodes[host]
	if n == nil {
		return nil
	}
	result := make([]Placed, 0, len(n.tasks))
	for _, p := range n.tasks {
		result = append(result, *p)
	}
	sortPlaced(result)
	return result
}

// Snapshot returns the state for one planning cycle. Workers that have not changed since the last snapshot share
// their Node with it.
func (c *Cache) Snapshot(out bool, now time.Time) Snapshot {
	nodes := make([]*Node, len(c.order))
	for i, id := range c.order {
		n := c.nodes[id]
		if n.frozen == nil {
			n.frozen = n.freeze()
		}
		nodes[i] = n.frozen
	}
	return Snapshot{Nodes: nodes, Out: out, Now: now}
}

func (n *node) freeze() *Node {
	return &Node{
		Host: n.host.ID, Rack: n.host.Rack, Capacity: n.host.Capacity, Reserved: n.reserved,
		Leaving:     !n.listed || n.host.State == structs.HostLeaving,
		Quarantined: n.probesOnly(), Kinds: n.kinds(), Tasks: n.occupants(),
	}
}

// occupants lists the placed tasks, the earliest first.
func (n *node) occupants() []Occupant {
	occupants := make([]Occupant, 0, len(n.tasks))
	for _, p := range n.tasks {
		occupants = append(occupants, Occupant{p.Kind, p.Reserved, p.Since})
	}
	slices.SortFunc(occupants, func(a, b Occupant) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reserved.MilliCPU, b.Reserved.MilliCPU))
	})
	return occupants
}

// probesOnly reports whether the worker is quarantined, by this owner or by its entry in the host list.
func (n *node) probesOnly() bool { return n.quarantined || n.host.ProbeOnly }

// kinds counts the placed tasks by kind.
func (n *node) kinds() []learn.KindCount {
	var kinds []learn.KindCount
	for _, p := range n.tasks {
		kinds = addKind(kinds, p.Kind)
	}
	return kinds
}

// addKind counts one more task of a kind in a slice sorted by kind.
func addKind(kinds []learn.KindCount, kind structs.KindName) []learn.KindCount {
	i, found := slices.BinarySearchFunc(kinds, kind, func(k learn.KindCount, name structs.KindName) int { return cmp.Compare(k.Kind, name) })
	if !found {
		kinds = slices.Insert(kinds, i, learn.KindCount{Kind: kind})
	}
	kinds[i].Count++
	return kinds
}

func sortPlaced(placed []Placed) {
	slices.SortFunc(placed, func(a, b Placed) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
}
