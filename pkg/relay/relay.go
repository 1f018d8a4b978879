package relay

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/pause"
)

const (
	// orderTimeout is far above the answer time of a worker that works. An order that takes longer is settled by a look.
	orderTimeout = 400 * time.Millisecond
	// gatherTime lets results that come together be told together.
	gatherTime = 4 * time.Millisecond
	// maxReports bounds the reports of one answer, and with it its size.
	maxReports = 400
	// idleAfter is how long a relay goes on without hearing from its owner. The owner calls several times a second.
	idleAfter = 3 * time.Second
)

// Config configures a Relay.
type Config struct {
	Workers   Workers
	TaskLease time.Duration // by which a look extends the task leases of a worker
}

// Relay works for one owner at a time, the one with the highest term.
type Relay struct {
	cfg Config

	mu         sync.Mutex // guards the fields below
	term       int64
	leaseUntil time.Duration // boot clock
	sessions   map[schedule.WorkerID]*session
	assigned   bool // the owner has listed workers; a late update of a link that was left lists none
	results    Results
	ready      chan struct{} // capacity 1; signalled when there are results
	contact    time.Duration // boot time of the owner's last call
	stop       context.CancelFunc
	running    context.Context // of the sessions of the term
	wg         sync.WaitGroup
}

// New returns a relay that works for nobody yet.
func New(cfg Config) *Relay {
	return &Relay{
		cfg: cfg, sessions: map[schedule.WorkerID]*session{}, ready: make(chan struct{}, 1),
		stop: func() {}, running: context.Background(),
	}
}

// Update takes in what an owner tells. Errors: ErrStaleTerm.
func (r *Relay) Update(u Update) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.enter(u.Term); err != nil {
		return err
	}
	if u.Reset {
		r.releaseOthers(u.Assign)
		r.assigned = len(u.Assign) > 0
	}
	r.permit(u.LeaseUntil)
	for _, a := range u.Assign {
		r.assign(a)
	}
	for _, id := range u.Release {
		r.release(id)
	}
	for _, stored := range u.Stored {
		if s, known := r.sessions[stored.Worker]; known {
			s.endsStored(stored)
		}
	}
	for _, order := range u.Orders {
		r.wg.Go(func() { r.send(u.Term, order) })
	}
	return nil
}

// enter starts to work for the owner of a term unless a later one is known. r.mu is held.
func (r *Relay) enter(term int64) error {
	if term < r.term {
		return errors.Annotatef(ErrStaleTerm, "term %d after %d", term, r.term)
	}
	r.contact = bootclock.Uptime()
	if term == r.term && r.running.Err() == nil {
		return nil
	}
	// The owner is new, or it has come back after this relay had ended the work for it.
	r.stop()
	r.term = term
	r.forget()
	r.running, r.stop = context.WithCancel(context.Background())
	return nil
}

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

// assign starts or changes the session of a worker. r.mu is held.
func (r *Relay) assign(a Assignment) {
	if s, known := r.sessions[a.Worker.ID]; known {
		s.worker, s.wait = a.Worker, a.Wait
		return
	}
	ctx, cancel := context.WithCancel(r.running)
	s := &session{relay: r, term: r.term, worker: a.Worker, wait: a.Wait, cancel: cancel, saved: make(chan struct{}, 1)}
	r.sessions[a.Worker.ID] = s
	r.wg.Go(func() { s.run(ctx) })
}

// release ends the session of a worker. r.mu is held.
func (r *Relay) release(id schedule.WorkerID) {
	if s, known := r.sessions[id]; known {
		s.cancel()
		delete(r.sessions, id)
	}
}

// Collect returns the results for the owner of a term as soon as there are any, at the latest after wait. Errors:
// ErrStaleTerm, ErrNoAssignment.
func (r *Relay) Collect(ctx context.Context, term int64, leaseUntil, wait time.Duration) (Results, error) {
	r.mu.Lock()
	err := r.enter(term)
	if err == nil {
		r.permit(leaseUntil)
	}
	empty := r.results.empty()
	r.mu.Unlock()
	if err != nil {
		return Results{}, err
	}
	if empty {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return Results{}, ctx.Err()
		case <-timer.C:
		case <-r.ready:
			pause.For(ctx, gatherTime)
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
	return r.takeResults(), nil
}

// permit takes in up to when leases may be extended. Before the owner has listed its workers, the time may be a reading of
// the clock of a former boot of this host. r.mu is held.
func (r *Relay) permit(leaseUntil time.Duration) {
	if r.assigned {
		r.leaseUntil = max(r.leaseUntil, leaseUntil)
	}
}

// abandoned ends the work for an owner that has not called for some time. r.mu is held.
func (r *Relay) abandoned(term int64) bool {
	if term != r.term || bootclock.Uptime()-r.contact < idleAfter {
		return false
	}
	r.stop()
	r.forget()
	return true
}

// forget drops what the owner has told. r.mu is held.
func (r *Relay) forget() {
	r.results = Results{}
	clear(r.sessions)
	r.assigned, r.leaseUntil = false, 0
}

func (r Results) empty() bool { return len(r.Reports) == 0 && len(r.Outcomes) == 0 && !r.Fenced }

// takeResults returns and forgets the results, or the first of them when there are many. r.mu is held.
func (r *Relay) takeResults() Results {
	out := r.results
	r.results = Results{}
	if len(out.Reports) > maxReports {
		r.results.Reports = out.Reports[maxReports:]
		out.Reports = out.Reports[:maxReports]
		r.signal()
	}
	out.Now = bootclock.Uptime()
	return out
}

func (r *Relay) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// report adds the outcome of a look.
func (r *Relay) report(term int64, report WorkerReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term != r.term {
		return
	}
	r.results.Reports = append(r.results.Reports, report)
	r.signal()
}

func (r *Relay) fenced(term int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term == r.term {
		r.results.Fenced = true
		r.signal()
	}
}

// send carries out an order and notes its outcome.
func (r *Relay) send(term int64, order schedule.Order) {
	command := Command{Order: order, Fence: term}
	outcome, err := schedule.NotRun, errors.New("no task lease can be granted")
	if r.prepare(term, &command) {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		outcome, err = r.cfg.Workers.Send(ctx, command)
		cancel()
	}
	result := OrderOutcome{Order: order, Outcome: outcome}
	result.Order.Input, result.Order.Checkpoint, result.Order.Address = "", "", ""
	if err != nil {
		result.Reason = err.Error()
	}
	r.noteOutcome(term, result)
	unanswered := order.Kind == schedule.OrderStart && outcome == schedule.Unanswered
	stopped := order.Kind == schedule.OrderStop && outcome == schedule.Accepted
	if unanswered || stopped {
		r.lookNow(term, order.Worker)
	}
}

func (r *Relay) noteOutcome(term int64, result OrderOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term == r.term {
		r.results.Outcomes = append(r.results.Outcomes, result)
		r.signal()
	}
}

// lookNow looks at a worker at once, beside the look that waits for an end: the owner has to know whether an attempt
// runs.
func (r *Relay) lookNow(term int64, id schedule.WorkerID) {
	r.mu.Lock()
	s, known := r.sessions[id]
	if !known || term != r.term {
		r.mu.Unlock()
		return
	}
	look := Look{Worker: s.worker, Fence: term, SeenEnd: s.acknowledged()}
	ctx := r.running
	r.mu.Unlock()
	s.look(ctx, look)
}

// prepare sets the lease of a start; ok is false when none can be granted or the owner was replaced.
func (r *Relay) prepare(term int64, command *Command) (ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term != r.term {
		return false
	}
	if command.Order.Kind != schedule.OrderStart {
		return true
	}
	s, known := r.sessions[command.Order.Worker]
	if !known {
		return false
	}
	command.LeaseToMs, ok = s.grant()
	return ok
}

// Close ends all sessions and waits for the orders on their way.
func (r *Relay) Close() {
	r.mu.Lock()
	r.stop()
	r.mu.Unlock()
	r.wg.Wait()
}
