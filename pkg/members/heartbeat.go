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

// sendHeartbeat sends one heartbeat to addr and records the result. The caller must hold no lock.
func (s *Service) sendHeartbeat(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, HeartbeatTimeout)
	defer cancel()
	request, sentAt := s.request(addr)
	reply, err := s.call(ctx, addr, request)
	if err != nil {
		s.handleFailure(ctx, addr, err)
		return
	}
	receivedAt := s.cfg.Clock()
	if reply.GetEchoedSequence() != request.GetSender().GetSequence() || !validState(reply.GetReceiver()) {
		s.cfg.Metrics.Counter("members_invalid_replies").Inc(1)
		s.endHeartbeat(addr)
		return
	}
	s.handleReply(addr, reply, sentAt, receivedAt)
}

func (s *Service) call(ctx context.Context, addr string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	conn, err := s.cfg.Dialer.Conn(addr)
	if err != nil {
		return nil, err
	}
	return peerpb.NewMembershipClient(conn).Heartbeat(ctx, r)
}

// request builds a heartbeat for addr and returns it with its send time.
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
		request.EchoedSequence, request.EchoedIncarnation = t.echoSequence, t.echoProcess.Incarnation
	}
	return request, now
}

// handleReply processes a valid reply from the peer at addr.
func (s *Service) handleReply(addr string, reply *peerpb.HeartbeatReply, sentAt, receivedAt time.Time) {
	report := reportFromWire(reply.GetReceiver())
	s.mu.Lock()
	t := s.endHeartbeatLocked(addr)
	t.timeouts = 0
	t.refusals.Record(false, receivedAt)
	if report.Host == s.self.Host {
		t.isSelf = report.Process == s.self
		s.mu.Unlock()
		return
	}
	t.remote = report.Datacentre != s.cfg.Self.Datacentre
	outcome, former := s.table.ObserveReply(report, sentAt, receivedAt, controlAge(reply.GetReceiver()))
	dead := s.detectReplaced(t, addr, report, outcome, former, receivedAt)
	if outcome != membership.Stale {
		s.recordPromise(t, report, reply, sentAt, receivedAt)
		s.recordDigests(report, reply.GetReceiver().GetShards(), receivedAt)
	}
	s.mu.Unlock()

	s.cfg.Metrics.Timer("members_round_trip").Record(receivedAt.Sub(sentAt))
	s.logOutcome(report, outcome, former, dead)
	s.notifyNewerControl(report.PeerAddr, report.ControlRevision)
}

// detectReplaced records and returns the processes that the reply proves dead: an earlier incarnation on the same host,
// or another process that had declared this address as its own. s.mu is held.
func (s *Service) detectReplaced(
	t *target, addr string, report membership.Report, outcome membership.Outcome, former membership.Process,
	receivedAt time.Time,
) []membership.Process {
	var dead []membership.Process
	if outcome == membership.Replaced && membership.Newer(report.Incarnation, former.Incarnation) {
		dead = append(dead, former)
	}
	// None of the processes that share an address, such as that of a load balancer, declares it as its own.
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

// recordPromise passes the promise of a member of the same data centre, or its withdrawal from claiming, to
// Config.Promises. s.mu is held.
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
	// A reordered reply that the member sent while it could still claim must not count after it lost that right.
	if !latest.MayClaim || !report.MayClaim || ttl <= 0 {
		return
	}
	promise := ownership.Promise{From: report.Process, SentAt: sentAt, ReceivedAt: receivedAt, TTL: ttl}
	s.cfg.Promises.RecordPromise(promise)
	s.promises[report.Host] = promise
	if t.echoProcess != report.Process {
		t.echoProcess, t.echoSequence = report.Process, 0
	}
	t.echoSequence = max(t.echoSequence, report.Sequence)
}

// handleFailure processes a failed heartbeat to addr. It probes the address of an unavailable peer: repeated refused
// connections prove that its process is dead.
func (s *Service) handleFailure(ctx context.Context, addr string, err error) {
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
	t := s.endHeartbeatLocked(addr)
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
		s.cfg.Log.Event(eventlog.PeerConfirmedDead).Str("peer", dead.String()).Str("address", addr).Msg("")
	}
}

func (s *Service) endHeartbeat(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endHeartbeatLocked(addr)
}

// endHeartbeatLocked marks the heartbeat to addr as finished and returns the target. s.mu is held.
func (s *Service) endHeartbeatLocked(addr string) *target {
	t, known := s.targets[addr]
	if !known {
		t = &target{}
		s.targets[addr] = t
	}
	t.inFlight = false
	return t
}

func (s *Service) logOutcome(r membership.Report, o membership.Outcome, former membership.Process, dead []membership.Process) {
	switch o {
	case membership.Replaced:
		s.cfg.Log.Event(eventlog.PeerReplaced).Str("peer", r.Process.String()).Str("former", former.String()).Msg("")
	case membership.Stale:
		s.cfg.Metrics.Counter("members_stale_messages").Inc(1)
		s.mu.Lock()
		repeated := s.lastStale == r.Process
		s.lastStale = r.Process
		s.mu.Unlock()
		if repeated {
			return // two processes with the same host id would fill the log
		}
		s.cfg.Log.Event(eventlog.PeerStale).Str("peer", r.Process.String()).Str("address", r.PeerAddr).Msg("")
	}
	for _, p := range dead {
		s.cfg.Log.Event(eventlog.PeerConfirmedDead).Str("peer", p.String()).Msg("")
	}
}

// notifyNewerControl calls OnNewerControl if revision, reported by the peer at addr, is newer than that of this host.
func (s *Service) notifyNewerControl(addr string, revision int64) {
	if own, _ := s.cfg.Control.ControlRevision(); revision > own {
		s.cfg.Log.Event(eventlog.PeerNewControl).Str("address", addr).Int64("revision", revision).Msg("")
		s.cfg.OnNewerControl(addr, revision)
	}
}
