package members

import (
	"time"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/ownership"
	"fulmarcourse.example/core/structs"
)

// target is one address that receives heartbeats. Service.mu guards it.
type target struct {
	inFlight    bool
	lastSent    time.Time
	remote      bool               // the peer is in another data centre
	isSelf      bool               // the address turned out to be our own
	process     membership.Process // process that last answered at this address and declares it as its own
	promiseEcho uint64             // sequence of the latest reply whose promise was recorded
	echoOf      membership.Process // process that promiseEcho belongs to
	refusals    ownership.Refusals
	timeouts    int // heartbeats in a row that timed out
}

// addresses collects peer addresses from all sources, and which entry hosts the host list shows as leaving.
// No lock is held.
func (s *Service) addresses() (map[string]bool, map[structs.HostID]bool) {
	found := make(map[string]bool)
	for _, source := range s.cfg.Addresses {
		for _, addr := range source() {
			found[addr] = true
		}
	}
	leaving := make(map[structs.HostID]bool)
	for _, host := range s.cfg.Hosts() {
		if host.Role != structs.RoleEntry {
			continue
		}
		leaving[host.ID] = host.State == structs.HostLeaving
		found[host.PeerAddr] = true
	}
	delete(found, "")
	delete(found, s.cfg.Self.PeerAddr)
	return found, leaving
}

// syncTargets adds the members of the table to addresses and makes the targets equal to them. s.mu is held.
func (s *Service) syncTargets(addresses map[string]bool, now time.Time) {
	for _, m := range s.table.Members(now) {
		if m.PeerAddr != s.cfg.Self.PeerAddr {
			addresses[m.PeerAddr] = true
		}
	}
	for addr := range addresses {
		if _, known := s.targets[addr]; !known {
			s.targets[addr] = &target{}
		}
	}
	for addr, t := range s.targets {
		if !addresses[addr] && !t.inFlight {
			delete(s.targets, addr)
		}
	}
}

// dueTargets marks and returns the addresses whose next heartbeat is due. s.mu is held.
func (s *Service) dueTargets(now time.Time) []string {
	var due []string
	for addr, t := range s.targets {
		interval := membership.LocalInterval
		if t.remote {
			interval = membership.RemoteInterval
		}
		// Ticks arrive slightly early or late; a tenth of the interval keeps a heartbeat from waiting for the
		// next tick.
		if t.inFlight || t.isSelf || now.Sub(t.lastSent) < interval-interval/10 {
			continue
		}
		t.inFlight, t.lastSent = true, now
		due = append(due, addr)
	}
	return due
}
