// Package slots dispatches the requests of one owned shard: it queues them, assigns runner slots to them and sends them
// to the runners. The decisions are made by core/admission; this package adds the lock, the timers and the calls.
//
// Lock order: Pool.mu is the only lock, and it is never held during a call to a runner.
package slots

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"fulmarcourse.example/core/admission"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// DefaultUncertainHold is how long after its deadline the slot of an attempt with an unknown outcome stays taken.
// Runners receive the remaining time and stop at the deadline; the hold covers a runner that stops late.
const DefaultUncertainHold = 2 * time.Second

// ErrForcedClose means that the context of Close ended with requests in progress.
const ErrForcedClose = errors.ConstError("slot pool closed with requests in progress")

// Config configures a Pool.
type Config struct {
	Shard          structs.ShardID
	Epoch          structs.Epoch
	Client         RunnerClient
	CheckOwnership func() error     // fails if the shard is no longer owned; called immediately before each send
	Now            func() time.Time // time.Now when nil
	UncertainHold  time.Duration    // DefaultUncertainHold when 0
	Scope          tally.Scope      // tally.NoopScope when nil
	Log            *eventlog.Logger // discards when nil
}

// Pool dispatches the requests of one owned shard to its runners.
type Pool struct {
	cfg     Config
	metrics metrics
	tracer  trace.Tracer

	mu               sync.Mutex
	services         map[structs.ServiceName]*service
	runnersByRequest map[string][]structs.HostID // request id to the runners that hold an attempt of it
	active           int                         // Dispatch calls and runner calls in progress
	closed           bool
	ended            chan struct{} // closed and replaced whenever a dispatch, a runner call or a hold ends
	timer            *time.Timer
}

// service holds the state of one service in a pool.
type service struct {
	admission *admission.Controller
	queued    map[*admission.Item]chan grantResult
}

// grantResult ends the wait of one request, with a slot or with the reason of a rejection.
type grantResult struct {
	grant    admission.Grant
	rejected string // one of the reasons in core/structs; empty with a grant
}

// NewPool returns a pool without runners.
func NewPool(cfg Config) *Pool {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.UncertainHold == 0 {
		cfg.UncertainHold = DefaultUncertainHold
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Log == nil {
		cfg.Log = eventlog.Discard()
	}
	return &Pool{
		cfg:              cfg,
		metrics:          newMetrics(cfg.Scope),
		tracer:           otel.Tracer("fulmarcourse/slots"),
		services:         map[structs.ServiceName]*service{},
		runnersByRequest: map[string][]structs.HostID{},
		ended:            make(chan struct{}),
	}
}

// SetRunners replaces the list of runners of the shard. The caller passes only hosts of this shard; hosts of other
// roles are ignored. Runners that are leaving or no longer listed get no new requests.
func (p *Pool) SetRunners(hosts []structs.Host) {
	byService := map[structs.ServiceName][]structs.Host{}
	for _, host := range hosts {
		if host.Role == structs.RoleRunner {
			byService[host.Service] = append(byService[host.Service], host)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range byService {
		p.serviceLocked(name)
	}
	for name, s := range p.services {
		s.admission.SetRunners(byService[name])
	}
	p.advanceLocked()
}

// serviceLocked returns the state of a service, creating it on first use. Callers hold mu.
func (p *Pool) serviceLocked(name structs.ServiceName) *service {
	s, ok := p.services[name]
	if !ok {
		s = &service{admission: admission.NewController(), queued: map[*admission.Item]chan grantResult{}}
		p.services[name] = s
	}
	return s
}

// Digest returns the slot counts of the shard. The fields about workers and tasks are left empty.
func (p *Pool) Digest() structs.ShardDigest {
	p.mu.Lock()
	defer p.mu.Unlock()
	digest := structs.ShardDigest{
		Shard:     p.cfg.Shard,
		Epoch:     p.cfg.Epoch,
		FreeSlots: map[structs.ServiceName]int{},
		Slots:     map[structs.ServiceName]int{},
		Queued:    map[structs.ServiceName]int{},
	}
	for name, s := range p.services {
		totals := s.admission.Totals()
		digest.Slots[name] = totals.Slots
		digest.FreeSlots[name] = totals.Free
		digest.Queued[name] = s.admission.Queued()
		p.metrics.updateGauges(name, totals, digest.Queued[name])
	}
	return digest
}

// Slowdowns returns, per runner of the shard, its smoothed service time relative to the typical one of the service.
func (p *Pool) Slowdowns() map[structs.HostID]float64 {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	slowdowns := map[structs.HostID]float64{}
	for _, s := range p.services {
		maps.Copy(slowdowns, s.admission.Slowdowns(now))
	}
	return slowdowns
}

// Close rejects new requests and waits until the queued requests and those on runners have ended, including slots held
// for unknown outcomes. When ctx ends first, queued requests are rejected as not-run and ErrForcedClose is returned;
// attempts on runners still end with their own replies.
func (p *Pool) Close(ctx context.Context) error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for {
		p.mu.Lock()
		done, ended := p.drainedLocked(), p.ended
		p.mu.Unlock()
		if done {
			p.cfg.Log.Event(eventlog.SlotPoolDrained).Stringer("shard", p.cfg.Shard).Msg("")
			return nil
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return p.forceClose()
		}
	}
}

// drainedLocked reports whether no call is in progress and no slot is taken. Callers hold mu.
func (p *Pool) drainedLocked() bool {
	if p.active > 0 {
		return false
	}
	for _, s := range p.services {
		if s.admission.Totals().Taken > 0 {
			return false
		}
	}
	return true
}

func (p *Pool) forceClose() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		for item := range s.queued {
			s.admission.Withdraw(item)
			s.endWait(item, grantResult{rejected: structs.ReasonDraining})
		}
	}
	if p.drainedLocked() {
		return nil
	}
	p.cfg.Log.Event(eventlog.SlotPoolForced).Stringer("shard", p.cfg.Shard).Int("in_progress", p.active).Msg("")
	return errors.Annotatef(ErrForcedClose, "shard %s", p.cfg.Shard)
}

// endWait delivers the result to the request that waits with item. The channel has a buffer of one result and is
// removed here, so that exactly one result is delivered. Callers hold Pool.mu.
func (s *service) endWait(item *admission.Item, result grantResult) {
	s.queued[item] <- result
	delete(s.queued, item)
}

// onTimer applies the decisions that depend on time: it releases held slots whose hold has ended, rejects requests that
// can no longer meet their deadline and grants slots. The timer calls it.
func (p *Pool) onTimer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advanceLocked()
}

// advanceLocked applies all decisions that are due and sets the timer for the next one. Callers hold mu.
func (p *Pool) advanceLocked() {
	now := p.cfg.Now()
	var next time.Time
	for _, s := range p.services {
		if s.admission.Sweep(now) > 0 {
			p.signalEndLocked()
		}
		for item, ok := s.admission.NextInfeasible(now); ok; item, ok = s.admission.NextInfeasible(now) {
			s.endWait(item, grantResult{rejected: structs.ReasonDeadline})
		}
		for grant, ok := s.admission.NextGrant(now); ok; grant, ok = s.admission.NextGrant(now) {
			s.endWait(grant.Item, grantResult{grant: grant})
			for item, ok := s.admission.NextInfeasible(now); ok; item, ok = s.admission.NextInfeasible(now) {
				s.endWait(item, grantResult{rejected: structs.ReasonDeadline})
			}
		}
		if t, ok := s.admission.NextWakeup(now); ok && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	p.setTimerLocked(now, next)
}

func (p *Pool) setTimerLocked(now, next time.Time) {
	if next.IsZero() {
		return
	}
	wait := next.Sub(now)
	if p.timer == nil {
		p.timer = time.AfterFunc(wait, p.onTimer)
		return
	}
	p.timer.Reset(wait)
}

// signalEndLocked notifies Close that a dispatch, a runner call or a hold has ended. Callers hold mu.
func (p *Pool) signalEndLocked() {
	close(p.ended)
	p.ended = make(chan struct{})
}
