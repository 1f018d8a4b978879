package dispatch

import (
	"strings"
	"testing"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

// startingOwner returns an owner that has decided to start the tasks of a job with an input on its worker, and the link on which
// the orders are queued.
func startingOwner(t *testing.T, tasks int, input string) (*Owner, *link) {
	t.Helper()
	o, l, _ := measuredOwner(t)
	o.loaded = true
	info := schedule.WorkerInfo{ID: testWorker, Address: "w", Datacentre: "dc", Pool: "pool",
		Capacity: structs.Resources{MilliCPU: 1000 * 1000, MemoryBytes: 64 << 30}}
	o.setWorkers([]schedule.WorkerInfo{info})
	o.update(func(s *schedule.Scheduler, now schedule.Time) {
		s.KnownWorkersStored([]schedule.WorkerInfo{info})
		s.Report(now, testWorker, schedule.Report{Incarnation: 1, SentAt: now.Boot})
	})
	o.Announce(workload.Job{ID: "job", Queue: workload.Queue{Name: "queue", Pool: "pool"}, Input: input,
		Steps: []workload.Step{{Tasks: tasks, Size: structs.Resources{MilliCPU: 100}, EstimateMs: 100}}})
	o.plan()
	return o, l
}

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
	const starts = 1000
	o, l := startingOwner(t, starts, strings.Repeat("x", workload.MaxInputBytes))
	if len(l.orders) != starts {
		t.Fatalf("%d orders, want %d starts", len(l.orders), starts)
	}
	stop := schedule.Order{Kind: schedule.OrderStop, Worker: testWorker, Task: workload.TaskID{Job: "cancelled"}, Attempt: 1}
	o.mu.Lock()
	l.orders = append(l.orders, stop)
	o.mu.Unlock()
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
		if order.Kind != schedule.OrderStart || order.Task.Index != n {
			t.Fatalf("order %d is a %v of task %d", n, order.Kind, order.Task.Index)
		}
	}
	if len(l.inFlight) != starts+1 {
		t.Errorf("%d orders are in flight, want %d", len(l.inFlight), starts+1)
	}
}

// Guards against an order that is never sent because it is larger than an update should be.
func TestLargeOrderIsSent(t *testing.T) {
	_, l, _ := measuredOwner(t)
	l.orders = []schedule.Order{{Kind: schedule.OrderStop, Worker: testWorker, Checkpoint: strings.Repeat("x", 2*maxUpdateBytes)}}
	if u, ok := l.takeUpdate(); !ok || len(u.Orders) != 1 {
		t.Errorf("%d orders are sent, want 1", len(u.Orders))
	}
}

// Scenario: the starts of a burst wait to be sent to a slow relay, or the process is paused. Meanwhile a worker announces that it
// leaves, and a job is cancelled. Guards against a start on a worker that leaves, and against one of a cancelled job, because
// only the decision was checked.
func TestStartThatIsNoLongerAllowedIsNotSent(t *testing.T) {
	for name, change := range map[string]func(o *Owner, info schedule.WorkerInfo){
		"worker leaves": func(o *Owner, info schedule.WorkerInfo) {
			info.Draining = true
			o.setWorkers([]schedule.WorkerInfo{info})
		},
		"data centre evacuated": func(o *Owner, _ schedule.WorkerInfo) { o.SetEvacuated([]structs.DatacentreID{"dc"}) },
		"job cancelled":         func(o *Owner, _ schedule.WorkerInfo) { o.Cancel("job") },
		"nothing":               func(*Owner, schedule.WorkerInfo) {},
	} {
		t.Run(name, func(t *testing.T) {
			o, l := startingOwner(t, 1, "")
			if len(l.orders) != 1 {
				t.Fatalf("%d orders, want the start of the task", len(l.orders))
			}
			info, _ := o.scheduler.Worker(testWorker)
			change(o, info)
			starts := 0
			u, _ := l.takeUpdate()
			for _, order := range u.Orders {
				if order.Kind == schedule.OrderStart {
					starts++
				}
			}
			if sent := starts == 1; sent != (name == "nothing") {
				t.Errorf("the start was sent: %v", sent)
			}
			if len(l.inFlight) != len(u.Orders) {
				t.Errorf("%d orders in flight, %d sent", len(l.inFlight), len(u.Orders))
			}
		})
	}
}
