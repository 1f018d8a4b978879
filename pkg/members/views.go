package members

import (
	"time"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/ownership"
	"fulmarcourse.example/core/permit"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
)

// Member is the state of one entry host as known to this host.
type Member struct {
	membership.Member
	// ControlAge is the age of the store read that ControlRevision came from, by the clock of this host; negative if
	// the peer never read the store or has not replied yet. It is never less than the true age.
	ControlAge time.Duration
}

// DigestView is the digest of a shard as its owner last reported it.
type DigestView struct {
	Digest     structs.ShardDigest
	Owner      structs.HostID
	PeerAddr   string        // IP:port of the owner's gRPC interface
	ReceivedAt time.Time     // the owner created the digest at most one round-trip time earlier
	RTT        time.Duration // smoothed round-trip time to the owner; 0 if not measured
}

// Peers returns all known entry hosts except this one, in any state, sorted by host.
func (s *Service) Peers() []Member {
	now := s.cfg.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	members := s.table.Members(now)
	peers := make([]Member, 0, len(members))
	for _, m := range members {
		peers = append(peers, withControlAge(m, now))
	}
	return peers
}

// Live returns the live entry hosts of dc, including this one unless it is leaving.
func (s *Service) Live(dc structs.DatacentreID) []Member {
	var live []Member
	for _, m := range s.Peers() {
		if m.Datacentre == dc && m.State == membership.Live {
			live = append(live, m)
		}
	}
	if own := s.selfMember(); own.Datacentre == dc && own.State == membership.Live {
		live = append(live, own)
	}
	return live
}

// selfMember returns this host as a member.
func (s *Service) selfMember() Member {
	now := s.cfg.Clock()
	revision, readAt := s.cfg.Control.ControlRevision()
	attempted := s.cfg.Control.RemovalAttempted()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := membership.Live
	if s.leaving {
		state = membership.Leaving
	}
	return withControlAge(membership.Member{
		Report: membership.Report{
			Process: s.self, Datacentre: s.cfg.Self.Datacentre, PeerAddr: s.cfg.Self.PeerAddr,
			Leaving: s.leaving, MayClaim: s.cfg.Promises.MayClaim(), Sequence: s.sequence,
			ControlRevision: revision, RemovalAttempted: attempted,
		},
		State: state, LastReceived: now, LastReplied: now, ControlReadAt: readAt,
	}, now)
}

func withControlAge(m membership.Member, now time.Time) Member {
	if m.ControlReadAt.IsZero() {
		return Member{Member: m, ControlAge: neverRead}
	}
	return Member{Member: m, ControlAge: now.Sub(m.ControlReadAt)}
}

// Digests returns the digests that other hosts reported for their shards within DigestTTL.
func (s *Service) Digests() []DigestView {
	now := s.cfg.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	views := make([]DigestView, 0, len(s.digests))
	for _, d := range s.digests {
		if now.Sub(d.ReceivedAt) <= DigestTTL {
			views = append(views, d)
		}
	}
	return views
}

// recordDigests replaces the digests of the reporting host. If two hosts report the same shard, the digest with the
// greater epoch is kept. s.mu is held.
func (s *Service) recordDigests(report membership.Report, wire []*peerpb.ShardDigest, receivedAt time.Time) {
	for shard, d := range s.digests {
		if d.Owner == report.Host && receivedAt.After(d.ReceivedAt) {
			delete(s.digests, shard)
		}
	}
	peer, _ := s.table.Member(report.Host, receivedAt)
	for _, w := range wire {
		d := digestFromWire(w)
		if known, ok := s.digests[d.Shard]; ok && known.Digest.Epoch > d.Epoch {
			continue
		}
		s.digests[d.Shard] = DigestView{
			Digest: d, Owner: report.Host, PeerAddr: report.PeerAddr, ReceivedAt: receivedAt, RTT: peer.RTT,
		}
	}
}

// Promises returns the latest promise of each member of this data centre, expired or not.
func (s *Service) Promises() []ownership.Promise {
	s.mu.Lock()
	defer s.mu.Unlock()
	promises := make([]ownership.Promise, 0, len(s.promises))
	for _, p := range s.promises {
		promises = append(promises, p)
	}
	return promises
}

// Statements returns the latest control state that each peer has reported, as input for package permit.
func (s *Service) Statements() map[structs.HostID]permit.Statement {
	statements := make(map[structs.HostID]permit.Statement)
	for _, m := range s.Peers() {
		statements[m.Host] = permit.Statement{
			SentAt: m.LastReplied, Revision: m.ControlRevision, ReadAt: m.ControlReadAt,
			RemovalAttempted: m.RemovalAttempted,
		}
	}
	return statements
}

// MemberRevisions returns the control revision of every entry host that is not dead, including this one.
func (s *Service) MemberRevisions() map[structs.HostID]int64 {
	revisions := make(map[structs.HostID]int64)
	for _, m := range s.Peers() {
		if m.State != membership.Dead {
			revisions[m.Host] = m.ControlRevision
		}
	}
	revisions[s.self.Host], _ = s.cfg.Control.ControlRevision()
	return revisions
}
