package members

import (
	"time"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/ownership"
	"fulmarcourse.example/core/structs"
)

// target is the state of one address that receives heartbeats. Service.mu guards it.
type target struct {
	inFlight     bool
	lastSent     time.Time
	remote       bool               // the peer is in another data centre
	isSelf       bool               // the address belongs to this process
	process      membership.Process // process that last replied at this address and declared it as its own
	echoSequence uint64             // sequence of the latest reply whose promise was recorded
	echoProcess  membership.Process // process that sent the reply with echoSequence
	refusals     ownership.Refusals
	timeouts     int // consecutive heartbeats that timed out
}

// addresses returns the peer addresses from all sources, and for each entry host of the host list whether it is
// leaving. The caller must hold no lock.
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

// syncTargets adds the addresses of the known members to addresses and makes the targets match them. A target with a
// heartbeat in progress is kept. s.mu is held.
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

// dueTargets returns the addresses whose next heartbeat is due and marks their heartbeats as in progress. s.mu is held.
func (s *Service) dueTargets(now time.Time) []string {
	var due []string
	for addr, t := range s.targets {
		interval := membership.LocalInterval
		if t.remote {
			interval = membership.RemoteInterval
		}
		// Ticks arrive slightly early or late; the tolerance of a tenth of the interval prevents a heartbeat from
		// being delayed to the next tick.
		if t.inFlight || t.isSelf || now.Sub(t.lastSent) < interval-interval/10 {
			continue
		}
		t.inFlight, t.lastSent = true, now
		due = append(due, addr)
	}
	return due
}
