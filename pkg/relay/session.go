package relay

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/pause"
)

const (
	// lookTimeout is added to the wait of a look. It covers a link that loses packets.
	lookTimeout = 800 * time.Millisecond
	// storeWait is how long a session waits for ends to be stored before it looks again without acknowledging them.
	storeWait = 100 * time.Millisecond
	// unreachableAfter is the pause after a failed look.
	unreachableAfter = 250 * time.Millisecond
	// leaseStep is the least rest of a lease worth a grant.
	leaseStep = 50 * time.Millisecond
	// clockRate is the slowest rate of a worker's clock.
	clockRate = 0.98
)

// session looks at one worker. Its fields are guarded by Relay.mu, but for those that never change.
type session struct {
	relay  *Relay
	term   int64
	cancel context.CancelFunc

	worker      schedule.WorkerInfo
	wait        time.Duration
	incarnation int64
	listed      int64         // newest end that the worker has listed
	stored      int64         // newest end that is stored
	trusted     bool          // the worker answered the last look
	clockMs     int64         // last reading of the worker's clock
	readAt      time.Duration // boot time at which it was received
	saved       chan struct{} // capacity 1; signalled when stored has changed
}

func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		look, ok := s.prepare()
		if !ok {
			return
		}
		if !s.look(ctx, look) {
			pause.For(ctx, unreachableAfter)
			continue
		}
		s.awaitStored(ctx)
	}
}

// prepare returns the next look; ok is false when the owner is gone. Ends are acknowledged only to the incarnation that
// answered last.
func (s *session) prepare() (look Look, ok bool) {
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	if s.relay.abandoned(s.term) {
		return Look{}, false
	}
	look = Look{Worker: s.worker, Fence: s.term}
	if !s.trusted {
		return look, true
	}
	if leaseTo, granted := s.grant(); granted {
		look.LeaseToMs = leaseTo
	}
	look.SeenEnd = s.acknowledged()
	if s.stored >= s.listed {
		look.Wait = s.wait
	}
	return look, true
}

// acknowledged returns the newest end that the worker may forget. Relay.mu is held.
func (s *session) acknowledged() int64 {
	if !s.trusted {
		return 0
	}
	return s.stored
}

// grant returns how far task leases may be extended on the worker's clock. A worker that has not answered its last look
// gets none: the look may be carried out all the same, and its leases would then never certainly expire. Leases end at
// most one task lease after the owner's permission. Relay.mu is held.
func (s *session) grant() (leaseToMs int64, ok bool) {
	if !s.trusted {
		return 0, false
	}
	now := bootclock.Uptime()
	from := min(now, s.relay.leaseUntil)
	lease := s.relay.cfg.TaskLease
	if from+lease < now+leaseStep {
		return 0, false
	}
	elapsed := time.Duration(float64(from-s.readAt) * clockRate)
	return s.clockMs + (elapsed + lease).Milliseconds(), true
}

// look calls the worker and notes its report.
func (s *session) look(ctx context.Context, look Look) bool {
	call, cancel := context.WithTimeout(ctx, look.Wait+lookTimeout)
	defer cancel()
	sent := bootclock.Uptime()
	reply, err := s.relay.cfg.Workers.Look(call, look)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		s.lookFailed(err)
		return false
	}
	s.takeReply(reply)
	reply.Report.SentAt = sent
	s.relay.report(s.term, WorkerReport{Worker: look.Worker.ID, Report: reply.Report})
	return true
}

func (s *session) lookFailed(err error) {
	if errors.Is(err, ErrFenced) {
		s.relay.fenced(s.term)
		return
	}
	s.relay.mu.Lock()
	s.trusted = false
	s.relay.mu.Unlock()
	s.relay.report(s.term, WorkerReport{Worker: s.worker.ID, Failed: err.Error()})
}

// takeReply notes the clock and the newest end of the worker. A new incarnation counts its ends from 1.
func (s *session) takeReply(reply LookReply) {
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	if s.incarnation != reply.Report.Incarnation {
		s.incarnation = reply.Report.Incarnation
		s.listed, s.stored = 0, 0
	}
	s.clockMs, s.readAt, s.trusted = reply.ClockMs, bootclock.Uptime(), true
	for _, end := range reply.Report.Ended {
		s.listed = max(s.listed, end.Number)
	}
}

// awaitStored waits until the ends that the worker has listed are stored. The next look acknowledges them; a look that
// does not would return them again at once.
func (s *session) awaitStored(ctx context.Context) {
	deadline := time.NewTimer(storeWait)
	defer deadline.Stop()
	for {
		s.relay.mu.Lock()
		done := s.stored >= s.listed
		s.relay.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			return
		case <-s.saved:
		}
	}
}

// endsStored notes that ends are stored. Relay.mu is held.
func (s *session) endsStored(stored StoredEnd) {
	if stored.Incarnation != s.incarnation {
		return
	}
	s.stored = max(s.stored, min(stored.Number, s.listed))
	select {
	case s.saved <- struct{}{}:
	default:
	}
}
