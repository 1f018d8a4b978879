package relay

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/pause"
)

const (
	// resultBatchDelay batches results that arrive close together into one response.
	resultBatchDelay = 8 * time.Millisecond
	// reportBatchDelay is how long reports without ends wait for further results. They are most of the reports, and what
	// they say changes slowly.
	reportBatchDelay = 50 * time.Millisecond
	// maxReports limits the number of workers whose reports are in one response, and thus its size.
	maxReports = 400
	// ownerTimeout is how long a relay continues without a call from its owner, which calls several times a second.
	ownerTimeout = 3 * time.Second
)

// Config configures a Relay.
type Config struct {
	Workers   Workers
	TaskLease time.Duration // duration by which a poll extends the task leases of a worker
	Scope     tally.Scope
}

// reportWaitBuckets are the histogram buckets for the time for which reports wait in a relay, from 4 ms to about 16 s.
var reportWaitBuckets = tally.MustMakeExponentialDurationBuckets(4*time.Millisecond, 2, 13)

// Relay serves one owner at a time, the one with the highest term.
type Relay struct {
	cfg         Config
	reportWait  tally.Histogram // of the oldest report at each Collect
	uncollected tally.Gauge     // number of reports left behind by the latest Collect

	mu         sync.Mutex // guards the fields below
	term       int64
	sequence   int64         // of the latest update in the term
	leaseUntil time.Duration // boot time up to which the owner permits lease extensions
	sessions   map[schedule.WorkerID]*session
	assigned   bool           // the owner has listed workers; the update that releases a relay lists none and may be late
	reports    pendingReports // not yet returned by Collect
	results    Results        // outcomes and fencing, not yet returned by Collect
	ready      chan struct{}  // capacity 1; signalled when results are to be returned
	signalling bool           // ready will be signalled after reportBatchDelay
	lastCall   time.Duration  // boot time of the owner's last call
	stop       context.CancelFunc
	sessionCtx context.Context // parent context of the term's sessions; cancelled by stop
	wg         sync.WaitGroup
}

// New returns a relay without an owner.
func New(cfg Config) *Relay {
	return &Relay{
		cfg: cfg, reportWait: cfg.Scope.Histogram("relay_report_wait_seconds", reportWaitBuckets),
		uncollected: cfg.Scope.Gauge("relay_reports_uncollected"),
		sessions:    map[schedule.WorkerID]*session{}, ready: make(chan struct{}, 1),
		stop: func() {}, sessionCtx: context.Background(),
	}
}

// Update applies an update of an owner. An update that the owner has given up may arrive after later ones and is rejected: its list
// of workers would leave out those that were assigned since. Errors: ErrStaleTerm, ErrOutdated.
func (r *Relay) Update(u Update) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkTerm(u.Term); err != nil {
		return err
	}
	if u.Sequence > 0 && u.Sequence <= r.sequence {
		return errors.Annotatef(ErrOutdated, "update %d after %d", u.Sequence, r.sequence)
	}
	r.sequence = max(r.sequence, u.Sequence)
	if u.Reset {
		r.releaseOthers(u.Assign)
		r.assigned = len(u.Assign) > 0
	}
	r.raiseLeaseLimit(u.LeaseUntil)
	for _, a := range u.Assign {
		r.assign(a)
	}
	for _, id := range u.Release {
		r.release(id)
	}
	for _, stored := range u.Stored {
		if s, known := r.sessions[stored.Worker]; known {
			s.markStored(stored)
		}
	}
	arrived := bootclock.Uptime()
	for _, order := range u.Orders {
		r.wg.Go(func() { r.send(u.Term, order, arrived) })
	}
	return nil
}

// checkTerm records a call of the owner of a term and switches the relay to that owner if it is new. It returns
// ErrStaleTerm if the relay serves a later owner. r.mu is held.
func (r *Relay) checkTerm(term int64) error {
	if term < r.term {
		return errors.Annotatef(ErrStaleTerm, "term %d after %d", term, r.term)
	}
	r.lastCall = bootclock.Uptime()
	if term == r.term && r.sessionCtx.Err() == nil {
		return nil
	}
	// The owner is new, or it calls again after this relay had stopped serving it.
	r.stop()
	if term > r.term {
		r.term, r.sequence = term, 0
	}
	r.clearState()
	r.sessionCtx, r.stop = context.WithCancel(context.Background())
	return nil
}

// releaseOthers ends the sessions of all workers that are not in keep. r.mu is held.
func (r *Relay) releaseOthers(keep []Assignment) {
	kept := make(map[schedule.WorkerID]bool, len(keep))
	for _, a := range keep {
		kept[a.Worker.ID] = true
	}
	for id := range r.sessions {
		if !kept[id] {
			r.release(id)
		}
	}
}

// assign starts or updates the session of a worker. r.mu is held.
func (r *Relay) assign(a Assignment) {
	if s, known := r.sessions[a.Worker.ID]; known {
		s.worker, s.wait, s.withhold = a.Worker, a.Wait, a.WithholdLeases
		if a.FenceOffset > s.fenceOffset {
			s.fenceOffset = a.FenceOffset
			r.wg.Go(func() { r.pollNow(s.term, a.Worker.ID) }) // calls with the former token are void from its answer on
		}
		return
	}
	ctx, cancel := context.WithCancel(r.sessionCtx)
	s := &session{relay: r, term: r.term, worker: a.Worker, address: a.AnsweredAddress, wait: a.Wait, withhold: a.WithholdLeases,
		fenceOffset: a.FenceOffset, cancel: cancel, changed: make(chan struct{}, 1)}
	r.sessions[a.Worker.ID] = s
	r.wg.Go(func() { s.run(ctx) })
}

// release ends the session of a worker. r.mu is held.
func (r *Relay) release(id schedule.WorkerID) {
	if s, known := r.sessions[id]; known {
		s.cancel()
		s.withhold = true // its loop may be between two polls
		delete(r.sessions, id)
	}
}

// Collect returns the results for the owner of a term as soon as there are any, and empty results after wait. Errors:
// ErrStaleTerm, ErrNoAssignment.
func (r *Relay) Collect(ctx context.Context, term int64, leaseUntil, wait time.Duration) (Results, error) {
	r.mu.Lock()
	err := r.checkTerm(term)
	if err == nil {
		r.raiseLeaseLimit(leaseUntil)
	}
	waiting := r.nothingToReturn() || r.signalling
	r.mu.Unlock()
	if err != nil {
		return Results{}, err
	}
	if waiting {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return Results{}, ctx.Err()
		case <-timer.C:
		case <-r.ready:
			pause.For(ctx, resultBatchDelay)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if term < r.term {
		return Results{}, errors.Trace(ErrStaleTerm)
	}
	if !r.assigned {
		return Results{}, errors.Trace(ErrNoAssignment)
	}
	if givenUp(ctx) {
		return Results{}, errors.Trace(context.DeadlineExceeded) // the results stay for the next call
	}
	return r.takeResults(), nil
}

// givenUp reports whether nobody waits for the response of a call any more. After a pause of the process the deadline may have
// passed before its timer has ended the context.
func givenUp(ctx context.Context) bool {
	deadline, bounded := ctx.Deadline()
	return ctx.Err() != nil || (bounded && !time.Now().Before(deadline))
}

// raiseLeaseLimit raises the time up to which leases may be extended. The time is ignored until the owner has listed
// its workers, because it may refer to the boot clock of a previous boot of this host. r.mu is held.
func (r *Relay) raiseLeaseLimit(leaseUntil time.Duration) {
	if r.assigned {
		r.leaseUntil = max(r.leaseUntil, leaseUntil)
	}
}

// stopIfAbandoned ends all sessions if the owner of the term has not called within ownerTimeout, and reports whether it
// did. r.mu is held.
func (r *Relay) stopIfAbandoned(term int64) bool {
	if term != r.term || bootclock.Uptime()-r.lastCall < ownerTimeout {
		return false
	}
	r.stop()
	r.clearState()
	return true
}

// clearState drops the owner's assignments, its lease permission and the results collected for it. r.mu is held.
func (r *Relay) clearState() {
	r.reports, r.results = pendingReports{}, Results{}
	for _, s := range r.sessions {
		s.withhold = true // its loop may be between two polls
	}
	clear(r.sessions)
	r.assigned, r.leaseUntil = false, 0
}

// nothingToReturn reports whether there are no results for the owner. r.mu is held.
func (r *Relay) nothingToReturn() bool {
	return r.reports.empty() && len(r.results.Outcomes) == 0 && !r.results.Fenced
}

// takeResults removes and returns the results, with the reports of at most maxReports workers. r.mu is held.
func (r *Relay) takeResults() Results {
	out := r.results
	r.results = Results{}
	out.Reports = r.reports.take(maxReports)
	for _, report := range out.Reports {
		if s, known := r.sessions[report.Worker]; known {
			s.notify()
		}
	}
	if !r.reports.empty() {
		r.signal()
	}
	out.Now, out.WithholdsLeases, out.TaskLease = bootclock.Uptime(), true, r.cfg.TaskLease
	out.Uncollected = r.reports.workers()
	r.uncollected.Update(float64(out.Uncollected))
	if len(out.Reports) > 0 {
		r.reportWait.RecordDuration(out.Now - out.Reports[0].Report.ReceivedAt)
	}
	return out
}

// signal wakes a waiting Collect call.
func (r *Relay) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// addReportLocked adds the result of a poll unless the owner has changed. r.mu is held.
func (r *Relay) addReportLocked(term int64, report WorkerReport) {
	if term != r.term {
		return
	}
	report.Report.ReceivedAt = bootclock.Uptime()
	r.reports.add(report)
	if report.urgent() {
		r.signal()
	} else {
		r.signalLater()
	}
}

// urgent reports whether the owner can act on a report at once.
func (w WorkerReport) urgent() bool { return w.Failed != "" || len(w.Report.Ended) > 0 }

// signalLater wakes a waiting Collect call after reportBatchDelay. r.mu is held.
func (r *Relay) signalLater() {
	if r.signalling {
		return
	}
	r.signalling = true
	time.AfterFunc(reportBatchDelay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.signalling = false
		r.signal()
	})
}

// pollFenced records that a worker has rejected a poll, sent at a boot time, because of its fencing token, unless that of the session was
// raised since, or the worker has another session.
func (r *Relay) pollFenced(s *session, req PollRequest, sent time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current, assigned := r.sessions[s.worker.ID]; assigned && current != s {
		return // the present session may use a higher token
	}
	if s.term != r.term || req.Fence < s.fence() {
		return
	}
	r.results.Fenced = true
	report := s.recordFailure(req, sent, err)
	report.Failed = pollRejected + report.Failed
	r.addReportLocked(s.term, report)
	r.signal()
}

// Close ends all sessions and waits for them and for orders in flight.
func (r *Relay) Close() {
	r.mu.Lock()
	r.stop()
	r.mu.Unlock()
	r.wg.Wait()
}
