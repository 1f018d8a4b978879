package members

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/ownership"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// Service sends and answers heartbeats and keeps the state that peers report. It is safe for concurrent use.
type Service struct {
	peerpb.UnimplementedMembershipServer
	cfg  Config
	self membership.Process

	mu           sync.Mutex // guards the fields below
	table        *membership.Table
	sequence     uint64
	leaving      bool
	targets      map[string]*target // by peer address
	digests      map[structs.ShardID]DigestView
	promises     map[structs.HostID]ownership.Promise
	loggedStates map[structs.HostID]membership.State // state in the last log entry
	lastStale    membership.Process                  // process of the latest stale message

	calls sync.WaitGroup // heartbeats in progress
}

// NewService returns a Service that sends no heartbeats until Run is called. It returns a NotValid error for an
// incomplete configuration.
func NewService(cfg Config) (*Service, error) {
	if err := cfg.complete(); err != nil {
		return nil, errors.Trace(err)
	}
	self := membership.Process{Host: cfg.Self.Host, Incarnation: cfg.Self.Incarnation}
	return &Service{
		cfg:          cfg,
		self:         self,
		table:        membership.NewTable(self, cfg.Self.Datacentre),
		targets:      make(map[string]*target),
		digests:      make(map[structs.ShardID]DigestView),
		promises:     make(map[structs.HostID]ownership.Promise),
		loggedStates: make(map[structs.HostID]membership.State),
	}, nil
}

// Run sends heartbeats until ctx ends, then waits for those in progress.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(membership.LocalInterval)
	defer ticker.Stop()
	defer s.calls.Wait()
	for {
		s.Tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Tick starts the heartbeats that are due and updates the recorded peer state. Run calls it every local interval;
// tests call it directly.
func (s *Service) Tick(ctx context.Context) {
	addresses, leavingHosts := s.addresses()
	now := s.cfg.Clock()
	s.mu.Lock()
	s.applyHostList(leavingHosts)
	s.syncTargets(addresses, now)
	due := s.dueTargets(now)
	changes := s.stateChanges(now)
	removed := s.table.RemoveSilent(now)
	s.expireViews(now)
	s.mu.Unlock()

	s.logChanges(changes, removed)
	for _, addr := range due {
		s.calls.Go(func() { s.sendHeartbeat(ctx, addr) })
	}
}

// SetLeaving makes all further heartbeats and replies announce that this host is shutting down. It cannot be undone.
func (s *Service) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

type stateChange struct {
	member membership.Member
}

// stateChanges returns the members whose state has changed since the last call. s.mu is held.
func (s *Service) stateChanges(now time.Time) []stateChange {
	var changes []stateChange
	live := 0
	for _, m := range s.table.Members(now) {
		if m.State == membership.Live {
			live++
		}
		if s.loggedStates[m.Host] != m.State {
			s.loggedStates[m.Host] = m.State
			changes = append(changes, stateChange{m})
		}
	}
	s.cfg.Metrics.Gauge("members_live_peers").Update(float64(live))
	return changes
}

func (s *Service) logChanges(changes []stateChange, removed []membership.Process) {
	codes := map[membership.State]eventlog.Code{
		membership.Live: eventlog.PeerLive, membership.Suspect: eventlog.PeerSuspect,
		membership.Dead: eventlog.PeerDead, membership.Leaving: eventlog.PeerLeaving,
	}
	for _, c := range changes {
		s.cfg.Log.Event(codes[c.member.State]).Str("peer", c.member.Process.String()).
			Str("datacentre", string(c.member.Datacentre)).Str("address", c.member.PeerAddr).Msg("")
	}
	for _, p := range removed {
		s.cfg.Log.Event(eventlog.PeerRemoved).Str("peer", p.String()).Msg("")
	}
}

// applyHostList records for each host of the platform's host list whether it is leaving. s.mu is held.
func (s *Service) applyHostList(leaving map[structs.HostID]bool) {
	for host, isLeaving := range leaving {
		s.table.SetHostListLeaving(host, isLeaving)
	}
}

// expireViews removes expired digests, old promises and the logged states of members that are no longer known. s.mu is
// held.
func (s *Service) expireViews(now time.Time) {
	for shard, d := range s.digests {
		if now.Sub(d.ReceivedAt) > DigestTTL {
			delete(s.digests, shard)
		}
	}
	for host, p := range s.promises {
		if now.Sub(p.SentAt) > membership.RemoveAfter {
			delete(s.promises, host)
		}
	}
	for host := range s.loggedStates {
		if _, known := s.table.Member(host, now); !known {
			delete(s.loggedStates, host)
		}
	}
}
