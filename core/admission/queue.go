package admission

import (
	"container/heap"
	"time"

	"fulmarcourse.example/core/structs"
)

// Item is one request that waits for a slot or holds one. The Controller and the Queue own the unexported fields.
type Item struct {
	Kind     structs.KindName
	Arrived  time.Time
	Deadline time.Time
	Avoid    []structs.HostID // runners that hold or failed an attempt of the same request

	waited bool   // no slot was free for it on arrival
	probe  bool   // admitted to measure whether the service time is still as long as estimated
	index  int    // position in the heap; notQueued if not in the queue
	order  uint64 // arrival number; breaks ties between equal deadlines
}

const notQueued = -1

// Queue orders items by earliest deadline first (EDF; Liu and Layland, "Scheduling algorithms for
// multiprogramming in a hard-real-time environment", 1973). Items with equal deadlines leave in order of arrival.
type Queue struct {
	items itemHeap
	next  uint64
}

// Push adds item to the queue.
func (q *Queue) Push(item *Item) {
	q.next++
	item.order = q.next
	heap.Push(&q.items, item)
}

// Head returns the item with the earliest deadline, or nil.
func (q *Queue) Head() *Item {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// Remove removes item and reports whether it was queued.
func (q *Queue) Remove(item *Item) bool {
	if item.index < 0 || item.index >= len(q.items) || q.items[item.index] != item {
		return false
	}
	heap.Remove(&q.items, item.index)
	return true
}

// Len returns the number of queued items.
func (q *Queue) Len() int { return len(q.items) }

// Ahead returns the number of queued items that leave before a new item with the given deadline.
func (q *Queue) Ahead(deadline time.Time) int {
	n := 0
	for _, item := range q.items {
		if !item.Deadline.After(deadline) {
			n++
		}
	}
	return n
}

type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	if h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].order < h[j].order
	}
	return h[i].Deadline.Before(h[j].Deadline)
}
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}
func (h *itemHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.index = notQueued
	*h = old[:len(old)-1]
	return last
}
