package control

import (
	"context"
	"sort"
	"sync"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// relayPeers is the number of peers asked at once after a failed poll: the two with the highest revisions and
// one in rotation, so that peers that hang cannot be the only ones asked.
const relayPeers = 3

// neverRead is the age of control state that was never read.
const neverRead = -1

// FetchControl serves peerpb.Control. The reply holds all relayed entries if any of them may have changed after the
// caller's revision, else none: a part of the entries could not show deletions. At today's sizes all
// entries are about 10 KB, and they change a few times a minute at most.
func (s *Service) FetchControl(_ context.Context, request *peerpb.FetchControlRequest) (*peerpb.FetchControlReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.confirmation.ReadAt.IsZero() {
		return &peerpb.FetchControlReply{AgeMs: neverRead}, nil
	}
	age := s.cfg.Now().Sub(s.state.confirmation.ReadAt)
	reply := &peerpb.FetchControlReply{
		Revision: s.state.confirmation.Revision,
		AgeMs:    int64((age + time.Millisecond - 1) / time.Millisecond), // rounded up: never younger than it is
	}
	if request.GetAfterRevision() < s.state.changedRevision {
		reply.Entries = s.wireEntries()
	}
	return reply, nil
}

// wireEntries returns all entries in the order of their keys. s.mu is held.
func (s *Service) wireEntries() []*peerpb.ControlEntry {
	entries := make([]*peerpb.ControlEntry, 0, len(s.state.entries))
	for part, e := range s.state.entries {
		entries = append(entries, &peerpb.ControlEntry{
			Key: s.layout.key(part), Value: e.value, CreateRevision: e.create, ModRevision: e.mod,
		})
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// Ingest takes over a peer's reply; sentAt is the local time at which the request was sent. The peer's read was
// sent at least the reply's age before its answer, hence before sentAt less that age by the local clock.
//
// A reply without entries says "unchanged since the revision asked for". Ingest does not know that revision, so
// it uses such a reply only up to the revision that is already known; IngestAfter uses it fully.
func (s *Service) Ingest(reply *peerpb.FetchControlReply, sentAt time.Time) {
	s.IngestAfter(reply, sentAt, 0)
}

// IngestAfter takes over the reply to a request with AfterRevision after; see Ingest.
func (s *Service) IngestAfter(reply *peerpb.FetchControlReply, sentAt time.Time, after int64) {
	if reply.GetAgeMs() < 0 || reply.GetRevision() <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.state.confirmation.Revision
	complete := len(reply.GetEntries()) > 0
	if complete && s.putRelayed(reply) {
		s.notifyChanged()
	}
	unchanged := !complete && after > 0 && after <= known
	if !complete && !unchanged && reply.GetRevision() > known {
		return
	}
	readAt := sentAt.Add(-time.Duration(reply.GetAgeMs()) * time.Millisecond)
	s.state.confirm(reply.GetRevision(), readAt)
	s.cfg.Scope.Counter("relayed").Inc(1)
	s.cfg.Log.Event(eventlog.ControlRelayed).Int64("revision", reply.GetRevision()).
		Int64("age_ms", reply.GetAgeMs()).Int("entries", len(reply.GetEntries())).Msg("control state relayed")
}

// putRelayed takes over all entries of a peer and reports whether the state changed. Entries that the peer no
// longer has are dropped only if the peer is ahead. s.mu is held.
func (s *Service) putRelayed(reply *peerpb.FetchControlReply) bool {
	changed := false
	present := map[string]bool{}
	for _, e := range reply.GetEntries() {
		part, ours := s.layout.part(e.GetKey())
		if !ours || !relayed(part) {
			continue
		}
		present[part] = true
		changed = s.putEntry(part, entry{value: e.GetValue(), create: e.GetCreateRevision(), mod: e.GetModRevision()}) || changed
	}
	if reply.GetRevision() > s.state.confirmation.Revision {
		changed = s.state.dropAbsent(partControl, present, reply.GetRevision()) || changed
	}
	return changed
}

// fetchFromPeers asks some peers at once and takes over their replies.
func (s *Service) fetchFromPeers(ctx context.Context) {
	if s.cfg.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.RelayTimeout)
	defer cancel()
	after := s.Confirmation().Revision
	var calls sync.WaitGroup
	for _, host := range s.choosePeers() {
		calls.Go(func() {
			sentAt := s.cfg.Now()
			reply, err := s.cfg.Peers.FetchControl(ctx, host, &peerpb.FetchControlRequest{AfterRevision: after})
			if err != nil {
				s.cfg.Scope.Counter("relay_errors").Inc(1)
				return
			}
			s.IngestAfter(reply, sentAt, after)
		})
	}
	calls.Wait()
}

// choosePeers returns up to relayPeers live peers, those with the highest known revisions first.
func (s *Service) choosePeers() []structs.HostID {
	peers := append([]structs.HostID(nil), s.cfg.Peers.LivePeers()...)
	revisions := s.memberRevisions()
	sort.Slice(peers, func(i, j int) bool {
		if revisions[peers[i]] != revisions[peers[j]] {
			return revisions[peers[i]] > revisions[peers[j]]
		}
		return peers[i] < peers[j]
	})
	if len(peers) <= relayPeers {
		return peers
	}
	s.mu.Lock()
	rotation := s.relays
	s.relays++
	s.mu.Unlock()
	rest := peers[relayPeers-1:]
	return append(peers[:relayPeers-1:relayPeers-1], rest[rotation%len(rest)])
}

func (s *Service) memberRevisions() map[structs.HostID]int64 {
	if s.cfg.Revisions == nil {
		return nil
	}
	return s.cfg.Revisions.MemberRevisions()
}
