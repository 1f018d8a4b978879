package relay

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/pause"
)

const (
	// pollTimeout is the timeout of a poll, in addition to its wait. It allows for retransmissions on a lossy network.
	pollTimeout = 800 * time.Millisecond
	// storedWait is how long a session waits at least for task ends to be stored before it polls again without
	// acknowledging them.
	storedWait = 200 * time.Millisecond
	// unpermittedWait is how long a worker may hold a poll open at most while its leases cannot be extended, or not to the full, for want
	// of the owner's permission. That may come at any time: a new owner gives it after the first answer, and one that the store has not
	// answered for some time once it does.
	unpermittedWait = 200 * time.Millisecond
	// maxAckAge is the age of a worker's last answer up to which polls acknowledge its ends. It is too short for a worker to
	// start again and to complete a task, whose end would be acknowledged with the number of a former one.
	maxAckAge = 400 * time.Millisecond
	// reconnectTimeout replaces pollTimeout after a poll that has failed. The leases of a worker that can be reached again may be
	// about to expire, so it has to be found soon.
	reconnectTimeout = 300 * time.Millisecond
	// fullTimeoutEvery is the number of failed polls after which one has pollTimeout again, for workers that answer slowly. It is odd, as
	// the polls of a worker that is listed elsewhere go to two addresses in turns.
	fullTimeoutEvery = 3
	// pollRetryDelay is the pause after a failed poll.
	pollRetryDelay = 250 * time.Millisecond
	// minLeaseRemaining is the minimum remaining time of a lease that is granted.
	minLeaseRemaining = 50 * time.Millisecond
	// minClockRate is the assumed minimum rate of a worker's clock relative to this host's boot clock.
	minClockRate = 0.98
	// lapsedAfter is the time from the end of the owner's permission until it counts as lapsed. Within it a lease is shorter by as much
	// at most, and the permission usually comes with the next call of the owner.
	lapsedAfter = time.Second
)

// session polls one worker. Its mutable fields are guarded by Relay.mu.
type session struct {
	relay  *Relay
	term   int64
	cancel context.CancelFunc

	worker      schedule.WorkerInfo // as the platform lists it
	address     string              // where the worker has answered last; empty if that is not known
	tryListed   bool                // the last poll at address has failed, so the next one goes to the listed address
	wait        time.Duration       // how long the worker may hold a poll open until a task ends
	withhold    bool                // no lease is granted
	fenceOffset int64               // see Assignment; it does not fall
	incarnation int64               // of the worker process, as last reported
	newestEnd   int64               // newest task end that the worker has reported
	storedEnd   int64               // newest task end that is stored
	lastPollOK  bool                // the worker answered the last poll
	failedPolls int                 // number of polls that have failed since the last answer
	acceptedAt  time.Duration       // boot time at which the worker last accepted an order
	grantedAt   time.Duration       // boot time at which the latest lease that was granted begins; 0 before the first
	broken      bool                // the connection of the first failed poll since the last answer broke soon after it
	failedAt    time.Duration       // boot time of that failure
	clockMs     int64               // last reading of the worker's clock, in milliseconds
	clockReadAt time.Duration       // boot time at which clockMs was received
	changed     chan struct{}       // capacity 1; signalled when storedEnd has changed or the owner has collected the reports
}

// run polls the worker until ctx ends or the owner has abandoned the relay.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		req, ok := s.nextPoll()
		if !ok {
			return
		}
		if !s.poll(ctx, req) {
			pause.For(ctx, pollRetryDelay)
			continue
		}
		if req.LeaseToMs == 0 && s.mayGrant() {
			continue // the leases may be about to expire, so the next poll does not wait for ends to be stored
		}
		s.awaitStored(ctx)
	}
}

// nextPoll returns the next poll request; ok is false if the owner has abandoned the relay. Task ends are acknowledged
// only to the worker incarnation that answered last, and a poll that leaves stored ends unacknowledged does not wait.
func (s *session) nextPoll() (req PollRequest, ok bool) {
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	if s.relay.stopIfAbandoned(s.term) {
		return PollRequest{}, false
	}
	req = PollRequest{Worker: s.workerAt(s.pollAddress()), Fence: s.fence()}
	if !s.lastPollOK {
		return req, true
	}
	leaseTo, granted := s.grant()
	if granted {
		req.LeaseToMs = leaseTo
	}
	req.AckedEnd = s.acknowledged()
	if s.storedEnd >= s.newestEnd && req.AckedEnd == s.storedEnd {
		req.Wait = s.wait
	}
	if !granted || s.permissionLapsed() {
		req.Wait = min(req.Wait, unpermittedWait)
	}
	return req, true
}

// pollAddress returns the address of the next poll. A worker that starts again may listen at another address, and its entry in the
// platform's list names that one from then on. But another writer may change the entry of a live worker, so that the address at
// which it has answered is used for as long as it answers there, and tried in turns with the listed one afterwards. Relay.mu is
// held.
func (s *session) pollAddress() string {
	if s.address == "" || s.tryListed {
		return s.worker.Address
	}
	return s.address
}

// orderAddress returns the address for orders: that of the process which has answered last, since the lease of a start is a time on
// its clock. Relay.mu is held.
func (s *session) orderAddress() string {
	if s.address == "" {
		return s.worker.Address
	}
	return s.address
}

// fence returns the fencing token of calls to the worker. Relay.mu is held.
func (s *session) fence() int64 { return s.term + s.fenceOffset }

// workerAt returns the worker with an address to poll. Relay.mu is held.
func (s *session) workerAt(address string) schedule.WorkerInfo {
	worker := s.worker
	worker.Address = address
	return worker
}

// acknowledged returns the newest task end that the worker may drop; 0 if its process may have been replaced since its last
// answer. Relay.mu is held.
func (s *session) acknowledged() int64 {
	if !s.lastPollOK || bootclock.Uptime()-s.clockReadAt > maxAckAge {
		return 0
	}
	return s.storedEnd
}

// grant returns the time on the worker's clock up to which task leases may be extended. No lease is granted to a worker
// that did not answer its last poll: the worker may have applied that poll all the same, and with further extensions
// there would be no time at which its leases have certainly expired. Leases end at most one task lease after the
// owner's permission, and none is granted while the owner has them withheld. Relay.mu is held.
func (s *session) grant() (leaseToMs int64, ok bool) {
	from, ok := s.grantFrom()
	if !ok {
		return 0, false
	}
	s.grantedAt = max(s.grantedAt, from)
	elapsed := time.Duration(float64(from-s.clockReadAt) * minClockRate)
	return s.clockMs + (elapsed + s.relay.cfg.TaskLease).Milliseconds(), true
}

// grantFrom returns the boot time at which a lease that is granted now begins; ok is false if none may be granted. Relay.mu is held.
func (s *session) grantFrom() (from time.Duration, ok bool) {
	if !s.lastPollOK || s.withhold {
		return 0, false
	}
	now := bootclock.Uptime()
	from = min(now, s.relay.leaseUntil)
	return from, from+s.relay.cfg.TaskLease >= now+minLeaseRemaining
}

// mayGrant reports whether the next poll may extend the worker's leases.
func (s *session) mayGrant() bool {
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	_, ok := s.grantFrom()
	return ok
}

// permissionLapsed reports whether the owner's permission to extend leases has ended some time ago. Relay.mu is held.
func (s *session) permissionLapsed() bool { return bootclock.Uptime() > s.relay.leaseUntil+lapsedAfter }

// poll sends a poll request and adds the report to the results. It reports whether the poll succeeded.
func (s *session) poll(ctx context.Context, req PollRequest) bool {
	call, cancel := context.WithTimeout(ctx, req.Wait+s.answerTimeout())
	defer cancel()
	sent := bootclock.Uptime()
	reply, err := s.relay.cfg.Workers.Poll(call, req)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		s.pollFailed(req, sent, err)
		return false
	}
	reply.Report.SentAt, reply.Report.Address, reply.Report.Fence = sent, req.Worker.Address, req.Fence
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	// Both under one lock: an answer after which leases are granted is among the results that the owner collects from then on.
	s.recordReply(req.Worker.Address, reply)
	s.relay.addReportLocked(s.term, WorkerReport{Worker: req.Worker.ID, Report: reply.Report})
	return true
}

// answerTimeout returns the timeout of the next poll, in addition to its wait.
func (s *session) answerTimeout() time.Duration {
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	if s.failedPolls%fullTimeoutEvery == 0 {
		return pollTimeout
	}
	return reconnectTimeout
}

// pollFailed records that a poll of the worker, sent at a boot time, has failed.
func (s *session) pollFailed(req PollRequest, sent time.Duration, err error) {
	if errors.Is(err, ErrFenced) {
		s.relay.pollFenced(s, req, sent, err)
		return
	}
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	if current, assigned := s.relay.sessions[req.Worker.ID]; assigned && current != s {
		return // the worker was released and assigned again, and the present session may have granted later leases
	}
	// Both under one lock: a lease that is granted after a later answer does not precede the report of the failure.
	s.relay.addReportLocked(s.term, s.recordFailure(req, sent, err))
}

// recordFailure records that a poll, sent at a boot time, has failed, and returns the report for the owner. Only where the worker has
// answered last does a broken connection say something about its process. Relay.mu is held.
func (s *session) recordFailure(req PollRequest, sent time.Duration, err error) WorkerReport {
	if s.lastPollOK {
		s.failedAt = bootclock.Uptime()
		s.broken = breaksConnection(err) && req.Worker.Address == s.address && s.failedAt-s.observedAt(sent) <= schedule.MaxUnobserved
	}
	s.lastPollOK = false
	s.failedPolls++
	s.tryListed = req.Worker.Address == s.address
	report := WorkerReport{Worker: req.Worker.ID, Failed: err.Error(), Report: schedule.Report{SentAt: s.grantedAt}}
	if s.broken {
		report.Failed = connectionBroken + report.Failed
	}
	return report
}

// observedAt returns the boot time up to which the relay knows what the worker ran. sent is when the poll was sent that has failed
// since. The worker would have answered that poll if a task had ended, so an order that it has accepted meanwhile shows that none had.
func (s *session) observedAt(sent time.Duration) time.Duration {
	if s.acceptedAt > sent {
		return max(s.clockReadAt, s.acceptedAt)
	}
	return s.clockReadAt
}

// recordAccepted records that the worker has accepted an order, which was sent at a boot time. Relay.mu is held.
func (s *session) recordAccepted(sent time.Duration) {
	s.acceptedAt = bootclock.Uptime()
	if sent > s.failedAt {
		s.broken = false
	}
}

// breaksConnection reports whether the other side has closed or refused a connection, as the system does for a process that has ended.
func breaksConnection(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// recordReply records the clock and the newest task end of the worker, and where it has answered. Each incarnation numbers its
// ends from 1. Relay.mu is held.
func (s *session) recordReply(address string, reply PollReply) {
	s.address, s.tryListed = address, false
	if s.incarnation != reply.Report.Incarnation {
		s.incarnation = reply.Report.Incarnation
		s.newestEnd, s.storedEnd = 0, 0
	}
	s.clockMs, s.clockReadAt, s.lastPollOK = reply.ClockMs, bootclock.Uptime(), true
	s.failedPolls, s.broken = 0, false
	for _, end := range reply.Report.Ended {
		s.newestEnd = max(s.newestEnd, end.Number)
	}
}

// awaitStored waits until the task ends that the worker has reported are stored. The next poll then acknowledges them;
// without the acknowledgement it would return the same ends again immediately. After storedWait it waits only until the
// owner has collected them, so that an owner which falls behind is not sent more reports than others; after the wait of a
// poll it returns in any case, since polls extend the leases.
func (s *session) awaitStored(ctx context.Context) {
	minimum := time.NewTimer(storedWait)
	defer minimum.Stop()
	maximum := time.NewTimer(max(s.pollWait(), storedWait))
	defer maximum.Stop()
	mayRepeat := false
	for {
		stored, collected := s.progress()
		if stored || (mayRepeat && collected) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-maximum.C:
			return
		case <-minimum.C:
			mayRepeat = true
		case <-s.changed:
		}
	}
}

// pollWait returns how long the worker may hold a poll open.
func (s *session) pollWait() time.Duration {
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	return s.wait
}

// progress reports whether the ends that the worker has reported are stored, and whether the owner has collected its
// reports.
func (s *session) progress() (stored, collected bool) {
	s.relay.mu.Lock()
	defer s.relay.mu.Unlock()
	return s.storedEnd >= s.newestEnd, !s.relay.reports.has(s.worker.ID)
}

// notify wakes awaitStored.
func (s *session) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// markStored records that task ends are stored, unless they are of another incarnation. Relay.mu is held.
func (s *session) markStored(stored StoredEnd) {
	if stored.Incarnation != s.incarnation {
		return
	}
	s.storedEnd = max(s.storedEnd, min(stored.Number, s.newestEnd))
	s.notify()
}
