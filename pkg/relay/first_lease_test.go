package relay

import (
	"sync/atomic"
	"testing"
	"time"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
)

// Scenario: a new owner lists a worker, collects its first answer and permits leases with the next call, as every owner does: it does not
// know the relay's clock before. Guards against a first extension of the worker's leases that waits until the worker has held a poll open
// to the end: where owners follow each other within that time, none extends a lease, and the tasks end.
func TestFirstLeaseDoesNotWaitForAHeldPoll(t *testing.T) {
	const hold = 2 * time.Second
	extended := make(chan time.Duration, 100)
	f := &fakeWorkers{reply: func(_ int, req PollRequest) (PollReply, error) {
		if req.LeaseToMs != 0 {
			extended <- bootclock.Uptime()
		}
		time.Sleep(req.Wait)
		return PollReply{ClockMs: 1000, Report: schedule.Report{Incarnation: 1}}, nil
	}}
	r := startRelay(t, f)
	update := Update{Term: 1, Reset: true, Assign: []Assignment{{Worker: schedule.WorkerInfo{ID: "w"}, Wait: hold}}}
	if err := r.Update(update); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Collect(t.Context(), 1, 0, time.Second); err != nil {
		t.Fatal(err)
	}
	permitted := bootclock.Uptime()
	go func() { _, _ = r.Collect(t.Context(), 1, permitted+time.Hour, hold) }() // only the permission matters
	if waited := <-extended - permitted; waited > hold/2 {
		t.Errorf("the first lease was granted %v after the permission, beside a poll that is held open for %v", waited, hold)
	}
}

// Scenario: the owner's permission has lapsed, since the store did not answer, and is given again while a worker holds a poll open. Guards
// against an extension of the worker's leases that waits until the end of that poll: where worker and store stand still again before, none
// extends a lease, and the tasks end.
func TestLeaseAfterALapsedPermissionDoesNotWaitForAHeldPoll(t *testing.T) {
	const hold = 2 * time.Second
	const maxWobble = unpermittedWait / 8 // of a lease that ends with the former permission, above what clock rates explain
	extended, polled := make(chan time.Duration, 100), make(chan struct{}, 100)
	var lapsedLease atomic.Int64
	f := &fakeWorkers{reply: func(n int, req PollRequest) (PollReply, error) {
		switch {
		case n == 1:
			time.Sleep(unpermittedWait / 2) // until the permission has lapsed
		case lapsedLease.CompareAndSwap(0, req.LeaseToMs):
			polled <- struct{}{}
		case req.LeaseToMs > lapsedLease.Load()+maxWobble.Milliseconds():
			extended <- bootclock.Uptime()
		}
		time.Sleep(req.Wait)
		return PollReply{ClockMs: bootclock.Uptime().Milliseconds(), Report: schedule.Report{Incarnation: 1}}, nil
	}}
	r := startRelay(t, f)
	update := Update{Term: 1, Reset: true, LeaseUntil: bootclock.Uptime() - lapsedAfter + unpermittedWait/4,
		Assign: []Assignment{{Worker: schedule.WorkerInfo{ID: "w"}, Wait: hold}}}
	if err := r.Update(update); err != nil {
		t.Fatal(err)
	}
	<-polled
	permitted := bootclock.Uptime()
	go func() { _, _ = r.Collect(t.Context(), 1, permitted+time.Hour, hold) }() // only the permission matters
	if waited := <-extended - permitted; waited > hold/2 {
		t.Errorf("the lease was extended %v after the permission, beside a poll that is held open for %v", waited, hold)
	}
}
