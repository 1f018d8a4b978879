package dispatch

import (
	"strings"
	"testing"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

// inputBytes returns the size of the inputs of the orders in an update.
func inputBytes(u relay.Update) int {
	size := 0
	for _, order := range u.Orders {
		size += len(order.Input)
	}
	return size
}

// Scenario: after a takeover or a burst of jobs, hundreds of tasks with large inputs start at once behind one relay, and a job
// is cancelled. Guards against an update that grows with the backlog until it takes longer than the timeout of the call over
// a slow network link: all its starts would have to be stopped and started again, and the stop would wait behind them.
func TestBurstOfStartsIsSentInParts(t *testing.T) {
	_, l, _ := measuredOwner(t)
	const starts = 1000
	for n := range starts {
		l.orders = append(l.orders, schedule.Order{Kind: schedule.OrderStart, Worker: testWorker,
			Task: workload.TaskID{Job: "job", Index: n}, Attempt: 1, Input: strings.Repeat("x", workload.MaxInputBytes)})
	}
	stop := schedule.Order{Kind: schedule.OrderStop, Worker: testWorker, Task: workload.TaskID{Job: "cancelled"}, Attempt: 1}
	l.orders = append(l.orders, stop)
	var sent []schedule.Order
	for len(sent) < starts+1 {
		u, ok := l.takeUpdate()
		if !ok {
			t.Fatalf("%d of %d orders were sent", len(sent), starts+1)
		}
		if size := inputBytes(u); size > maxUpdateBytes {
			t.Fatalf("an update has inputs of %d bytes, want at most %d", size, maxUpdateBytes)
		}
		if len(sent) == 0 && (len(u.Orders) == 0 || keyOf(u.Orders[0]) != keyOf(stop)) {
			t.Error("the stop is not sent first")
		}
		sent = append(sent, u.Orders...)
		if len(sent) <= starts {
			select {
			case <-l.wake:
			default:
				t.Fatal("the rest of the orders waits for the next change")
			}
		}
	}
	for n, order := range sent[1:] {
		if order.Task.Index != n {
			t.Fatalf("start %d is of task %d", n, order.Task.Index)
		}
	}
	if len(l.inFlight) != starts+1 {
		t.Errorf("%d orders are in flight, want %d", len(l.inFlight), starts+1)
	}
}

// Guards against an order that is never sent because it is larger than an update should be.
func TestLargeOrderIsSent(t *testing.T) {
	_, l, _ := measuredOwner(t)
	l.orders = []schedule.Order{{Kind: schedule.OrderStart, Worker: testWorker, Checkpoint: strings.Repeat("x", 2*maxUpdateBytes)}}
	if u, ok := l.takeUpdate(); !ok || len(u.Orders) != 1 {
		t.Errorf("%d orders are sent, want 1", len(u.Orders))
	}
}
