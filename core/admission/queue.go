package admission

import (
	"container/heap"
	"time"

	"fulmarcourse.example/core/structs"
)

// Item is one request that waits for a slot or holds one. The queue owns the unexported fields.
type Item struct {
	Kind     structs.KindName
	Arrived  time.Time
	Deadline time.Time
	Avoid    []structs.HostID // runners that hold or failed an attempt of the same request

	waited bool // there was no free slot for it when it arrived
	probe  bool // admitted to learn whether the service time is still as long as it seems
	index  int  // position in the heap; notQueued if not in the queue
	order  uint64
}

const notQueued = -1

// Queue orders items by earliest deadline first (EDF; Liu and Layland, "Scheduling algorithms for
// multiprogramming in a hard-real-time environment", 1973). Items with equal deadlines leave in order of arrival.
type Queue struct {
	items itemHeap
	next  uint64
}

// Push adds item.
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

// Remove takes item out and reports whether it was queued.
func (q *Queue) Remove(item *Item) bool {
	if item.index < 0 || item.index >= len(q.items) || q.items[item.index] != item {
		return false
	}
	heap.Remove(&q.items, item.index)
	return true
}

// Len returns the number of queued items.
func (q *Queue) Len() int { return len(q.items) }

// Ahead returns how many queued items leave before one with the given deadline.
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
