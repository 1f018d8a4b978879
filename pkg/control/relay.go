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

// relayPeers is the number of peers called concurrently after a failed poll: the two with the highest revisions and one
// in rotation, so that not all calls go to peers that do not answer.
const relayPeers = 3

// ageUnknown is the age in a reply of a service whose control state was never read.
const ageUnknown = -1

// FetchControl implements peerpb.Control. The reply contains all relayed entries if any of them may have changed after
// the caller's revision, and otherwise none: a subset of the entries could not show deletions. All entries together are
// about 10 KB, and they change a few times a minute at most.
func (s *Service) FetchControl(_ context.Context, request *peerpb.FetchControlRequest) (*peerpb.FetchControlReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.confirmation.ReadAt.IsZero() {
		return &peerpb.FetchControlReply{AgeMs: ageUnknown}, nil
	}
	age := s.cfg.Now().Sub(s.state.confirmation.ReadAt)
	reply := &peerpb.FetchControlReply{
		Revision: s.state.confirmation.Revision,
		AgeMs:    int64((age + time.Millisecond - 1) / time.Millisecond), // rounded up, never younger than the state
	}
	if request.GetAfterRevision() < s.state.changedRevision {
		reply.Entries = s.wireEntries()
	}
	return reply, nil
}

// wireEntries returns all entries as messages, ordered by key. s.mu is held.
func (s *Service) wireEntries() []*peerpb.ControlEntry {
	entries := make([]*peerpb.ControlEntry, 0, len(s.state.entries))
	for part, e := range s.state.entries {
		entries = append(entries, &peerpb.ControlEntry{
			Key: s.keys.key(part), Value: e.value, CreateRevision: e.create, ModRevision: e.mod,
		})
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	return entries
}

// Ingest applies the reply of a peer; sentAt is the local time at which the request was sent. The peer's state is at
// least as new as sentAt minus the age in the reply, because the peer measured the age after it received the request.
//
// A reply without entries means "unchanged since the requested revision". Ingest does not have that revision, so it
// uses such a reply only up to the revision that is already known. IngestAfter uses it fully.
func (s *Service) Ingest(reply *peerpb.FetchControlReply, sentAt time.Time) {
	s.IngestAfter(reply, sentAt, 0)
}

// IngestAfter applies the reply to a request with AfterRevision after; see Ingest.
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

// putRelayed applies all entries of a peer and reports whether the state changed. Entries that the peer no longer has
// are removed only if the peer's revision is higher than the confirmed one. s.mu is held.
func (s *Service) putRelayed(reply *peerpb.FetchControlReply) bool {
	changed := false
	present := map[string]bool{}
	for _, e := range reply.GetEntries() {
		part, own := s.keys.part(e.GetKey())
		if !own || !isRelayed(part) {
			continue
		}
		present[part] = true
		changed = s.putEntry(part, entry{value: e.GetValue(), create: e.GetCreateRevision(), mod: e.GetModRevision()}) || changed
	}
	if reply.GetRevision() > s.state.confirmation.Revision {
		changed = s.state.removeAbsent(partControl, present, reply.GetRevision()) || changed
	}
	return changed
}

// fetchFromPeers calls some peers concurrently and applies their replies.
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
	rotation := s.relayRounds
	s.relayRounds++
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
