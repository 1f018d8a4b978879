// Package incarnation tells the processes of a worker apart that state the same start, which happens if the clock of their machine was set
// back. Without it a relay would acknowledge ends to the next process with numbers of the former one, and the next process would drop
// ends that nobody has read.
//
// Locks: Workers.mu guards the clock readings. No call is made while it is held.
package incarnation

import (
	"context"
	"maps"
	"sync"
	"time"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

// retention is how long the clock reading of a worker is kept that no poll has reached.
const retention = 10 * time.Minute

// Workers implements relay.Workers on top of another client. It replaces the start that a process states by an incarnation that differs
// from that of the former process, see schedule.NextIncarnation.
type Workers struct {
	relay.Workers
	now func() time.Duration // boot clock

	mu       sync.Mutex
	readings map[schedule.WorkerID]reading
	sweptAt  time.Duration // boot time at which old readings were last dropped
}

// reading is a reading of the clock of a worker's process. The clock is steady and begins anew with each process.
type reading struct {
	startedMs   int64 // stated start of the process, Unix milliseconds
	incarnation int64
	clockMs     int64         // the highest one of the process
	receivedAt  time.Duration // boot time at which clockMs was received
}

// Identify returns a client that tells the processes of workers apart.
func Identify(workers relay.Workers) *Workers {
	return &Workers{Workers: workers, now: bootclock.Uptime, readings: map[schedule.WorkerID]reading{}}
}

// Poll implements relay.Workers.
func (w *Workers) Poll(ctx context.Context, req relay.PollRequest) (relay.PollReply, error) {
	sentAt := w.now()
	reply, err := w.Workers.Poll(ctx, req)
	if err != nil {
		return reply, err
	}
	reply.Report.Incarnation = w.identify(req.Worker.ID, sentAt, reply)
	return reply, nil
}

// identify returns the incarnation of the process that has answered a poll, which was sent at a boot time. It is another one if its
// clock reads less than in an answer that was received before the poll was sent.
func (w *Workers) identify(id schedule.WorkerID, sentAt time.Duration, reply relay.PollReply) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sweep()
	r, known := w.readings[id]
	switch {
	case !known || r.startedMs != reply.Report.Incarnation:
		r = reading{startedMs: reply.Report.Incarnation, incarnation: reply.Report.Incarnation}
	case reply.ClockMs >= r.clockMs:
	case sentAt < r.receivedAt:
		return r.incarnation // the answers to two polls have overtaken each other
	default:
		r.incarnation = schedule.NextIncarnation(r.incarnation)
	}
	r.clockMs, r.receivedAt = reply.ClockMs, w.now()
	w.readings[id] = r
	return r.incarnation
}

// sweep drops the readings of workers that have not answered for long. w.mu is held.
func (w *Workers) sweep() {
	now := w.now()
	if now-w.sweptAt < retention {
		return
	}
	w.sweptAt = now
	maps.DeleteFunc(w.readings, func(_ schedule.WorkerID, r reading) bool { return now-r.receivedAt > retention })
}
