package members

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/ownership"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// beat sends one heartbeat to addr and records the result. No lock is held by the caller.
func (s *Service) beat(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, HeartbeatTimeout)
	defer cancel()
	request, sentAt := s.request(addr)
	reply, err := s.call(ctx, addr, request)
	if err != nil {
		s.failed(ctx, addr, err)
		return
	}
	receivedAt := s.cfg.Clock()
	if reply.GetEchoedSequence() != request.GetSender().GetSequence() || !validState(reply.GetReceiver()) {
		s.cfg.Metrics.Counter("members_invalid_replies").Inc(1)
		s.finish(addr)
		return
	}
	s.answered(addr, reply, sentAt, receivedAt)
}

func (s *Service) call(ctx context.Context, addr string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	conn, err := s.cfg.Dialer.Conn(addr)
	if err != nil {
		return nil, err
	}
	return peerpb.NewMembershipClient(conn).Heartbeat(ctx, r)
}

// request builds a heartbeat and returns the time that counts as its send time.
func (s *Service) request(addr string) (*peerpb.HeartbeatRequest, time.Time) {
	now := s.cfg.Clock()
	state := s.ownState(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state.Sequence = s.sequence
	state.Leaving = s.leaving
	state.MayClaim = s.cfg.Promises.MayClaim()
	request := &peerpb.HeartbeatRequest{Sender: state}
	if t, known := s.targets[addr]; known {
		request.EchoedSequence, request.EchoedIncarnation = t.promiseEcho, t.echoOf.Incarnation
	}
	return request, now
}

// answered records a valid reply of the peer at addr.
func (s *Service) answered(addr string, reply *peerpb.HeartbeatReply, sentAt, receivedAt time.Time) {
	report := reportOf(reply.GetReceiver())
	s.mu.Lock()
	t := s.finishLocked(addr)
	t.timeouts = 0
	t.refusals.Record(false, receivedAt)
	if report.Host == s.self.Host {
		t.isSelf = report.Process == s.self
		s.mu.Unlock()
		return
	}
	t.remote = report.Datacentre != s.cfg.Self.Datacentre
	outcome, former := s.table.ObserveReply(report, sentAt, receivedAt, controlAge(reply.GetReceiver()))
	dead := s.replacedProcess(t, addr, report, outcome, former, receivedAt)
	if outcome != membership.Stale {
		s.recordPromise(t, report, reply, sentAt, receivedAt)
		s.recordDigests(report, reply.GetReceiver().GetShards(), receivedAt)
	}
	s.mu.Unlock()

	s.cfg.Metrics.Timer("members_round_trip").Record(receivedAt.Sub(sentAt))
	s.logObserved(report, outcome, former, dead)
	s.offerControl(report.PeerAddr, report.ControlRevision)
}

// replacedProcess finds processes that the reply proves dead: an earlier incarnation of the same host, or
// another process that declared this address as its own. s.mu is held.
func (s *Service) replacedProcess(
	t *target, addr string, report membership.Report, outcome membership.Outcome, former membership.Process,
	receivedAt time.Time,
) []membership.Process {
	var dead []membership.Process
	if outcome == membership.Replaced && membership.Newer(report.Incarnation, former.Incarnation) {
		dead = append(dead, former)
	}
	// An address that several processes share, such as a load balancer's, is not declared by any of them.
	if report.PeerAddr == addr && outcome != membership.Stale {
		if t.process.Host != "" && t.process.Host != report.Host {
			dead = append(dead, t.process)
		}
		t.process = report.Process
	}
	for _, p := range dead {
		s.cfg.Promises.MemberDied(p, receivedAt)
	}
	return dead
}

// recordPromise passes a promise of a member of the same data centre on, or its loss of the right to claim.
// s.mu is held.
func (s *Service) recordPromise(
	t *target, report membership.Report, reply *peerpb.HeartbeatReply, sentAt, receivedAt time.Time,
) {
	if report.Datacentre != s.cfg.Self.Datacentre {
		return
	}
	latest, _ := s.table.Member(report.Host, receivedAt)
	if latest.Withdrawn() {
		s.cfg.Promises.MemberLeft(report.Process, receivedAt)
		return
	}
	ttl := time.Duration(reply.GetPromiseMs()) * time.Millisecond
	// A reordered reply from before the member lost its right must not bring it back.
	if !latest.MayClaim || !report.MayClaim || ttl <= 0 {
		return
	}
	promise := ownership.Promise{From: report.Process, SentAt: sentAt, ReceivedAt: receivedAt, TTL: ttl}
	s.cfg.Promises.RecordPromise(promise)
	s.promises[report.Host] = promise
	if t.echoOf != report.Process {
		t.echoOf, t.promiseEcho = report.Process, 0
	}
	t.promiseEcho = max(t.promiseEcho, report.Sequence)
}

// failed records that the heartbeat to addr failed. An unavailable peer is probed: refused connections prove
// that its process is dead.
func (s *Service) failed(ctx context.Context, addr string, err error) {
	s.cfg.Metrics.Counter("members_failed_heartbeats").Inc(1)
	timedOut := status.Code(err) == codes.DeadlineExceeded
	refused := false
	if status.Code(err) == codes.Unavailable && ctx.Err() == nil {
		probe, cancel := context.WithTimeout(ctx, ProbeTimeout)
		refused = s.cfg.Dialer.Refused(probe, addr)
		cancel()
	}
	now := s.cfg.Clock()

	s.mu.Lock()
	t := s.finishLocked(addr)
	dead := membership.Process{}
	if t.refusals.Record(refused, now) && t.process.Host != "" {
		dead, t.process = t.process, dead // reported once
		s.cfg.Promises.MemberDied(dead, t.refusals.First())
	}
	reset := false
	if timedOut {
		t.timeouts++
		reset = t.timeouts%TimeoutsBeforeReset == 0
	}
	s.mu.Unlock()

	if reset {
		s.cfg.Dialer.Reset(addr)
	}
	if dead.Host != "" {
		s.cfg.Log.Event(eventlog.PeerProvedDead).Str("peer", dead.String()).Str("address", addr).Msg("")
	}
}

func (s *Service) finish(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishLocked(addr)
}

// finishLocked ends the heartbeat in progress and returns the target. s.mu is held.
func (s *Service) finishLocked(addr string) *target {
	t, known := s.targets[addr]
	if !known {
		t = &target{}
		s.targets[addr] = t
	}
	t.inFlight = false
	return t
}

func (s *Service) logObserved(r membership.Report, o membership.Outcome, former membership.Process, dead []membership.Process) {
	switch o {
	case membership.Replaced:
		s.cfg.Log.Event(eventlog.PeerReplaced).Str("peer", r.Process.String()).Str("former", former.String()).Msg("")
	case membership.Stale:
		s.cfg.Metrics.Counter("members_stale_messages").Inc(1)
		s.mu.Lock()
		repeated := s.stale == r.Process
		s.stale = r.Process
		s.mu.Unlock()
		if repeated {
			return // two processes with one host id would fill the log
		}
		s.cfg.Log.Event(eventlog.PeerStale).Str("peer", r.Process.String()).Str("address", r.PeerAddr).Msg("")
	}
	for _, p := range dead {
		s.cfg.Log.Event(eventlog.PeerProvedDead).Str("peer", p.String()).Msg("")
	}
}

// offerControl calls the hook if a peer knows newer control state than this host.
func (s *Service) offerControl(addr string, revision int64) {
	if own, _ := s.cfg.Control.ControlRevision(); revision > own {
		s.cfg.Log.Event(eventlog.PeerNewControl).Str("address", addr).Int64("revision", revision).Msg("")
		s.cfg.OnNewerControl(addr, revision)
	}
}
