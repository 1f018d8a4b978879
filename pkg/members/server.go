package members

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
)

// Heartbeat replies to a heartbeat of a peer. It implements peerpb.MembershipServer. Digests are sent in replies only:
// their age is then bounded by the round-trip time, and each pair of hosts sends them once per direction.
func (s *Service) Heartbeat(_ context.Context, request *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	if !validState(request.GetSender()) {
		return nil, status.Error(codes.InvalidArgument, "heartbeat without host, incarnation, datacentre or peer_address")
	}
	report := reportFromWire(request.GetSender())
	now := s.cfg.Clock()
	state := s.ownState(now)
	state.Shards = digestsToWire(s.cfg.LocalDigests())

	s.mu.Lock()
	outcome, former := membership.Stale, membership.Process{}
	if report.Host != s.self.Host {
		outcome, former = s.table.ObserveRequest(report, now)
	}
	dead := s.applyRequest(report, request, outcome, former, now)
	s.sequence++
	state.Sequence = s.sequence
	state.Leaving = s.leaving
	ttl := time.Duration(0)
	if outcome != membership.Stale && report.Datacentre == s.cfg.Self.Datacentre {
		ttl, state.MayClaim = s.cfg.Promises.Promise(report.Process, s.sequence)
	} else {
		state.MayClaim = s.cfg.Promises.MayClaim()
	}
	s.mu.Unlock()

	if report.Process != s.self {
		s.logOutcome(report, outcome, former, dead)
	}
	if outcome == membership.Accepted || outcome == membership.Replaced {
		s.notifyNewerControl(report.PeerAddr, report.ControlRevision)
	}
	return &peerpb.HeartbeatReply{
		Receiver:       state,
		EchoedSequence: request.GetSender().GetSequence(),
		PromiseMs:      ttl.Milliseconds(),
	}, nil
}

// applyRequest passes acknowledgements, withdrawals and proofs of death in a heartbeat to Config.Promises. It returns
// the processes proved dead. s.mu is held.
func (s *Service) applyRequest(
	report membership.Report, request *peerpb.HeartbeatRequest, outcome membership.Outcome, former membership.Process,
	now time.Time,
) []membership.Process {
	if outcome == membership.Stale {
		return nil
	}
	if request.GetEchoedIncarnation() == s.self.Incarnation {
		s.cfg.Promises.Acknowledge(report.Process, request.GetEchoedSequence())
	}
	if outcome == membership.Reordered {
		return nil
	}
	if report.Withdrawn() && report.Datacentre == s.cfg.Self.Datacentre {
		s.cfg.Promises.MemberLeft(report.Process, now)
	}
	if outcome == membership.Replaced && membership.Newer(report.Incarnation, former.Incarnation) {
		s.cfg.Promises.MemberDied(former, now)
		return []membership.Process{former}
	}
	return nil
}
