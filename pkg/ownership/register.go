package ownership

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/ownership"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// registration is the state of this host's entry in the member registry and of the last registry read. Service.mu
// guards it.
type registration struct {
	lease      store.LeaseID // 0 if none
	renewedAt  time.Time     // send time of the last renewal
	registryAt time.Time     // send time of the last registry read; zero to make the next Register read it
	records    []structs.MemberRecord
}

// Register keeps the host in the member registry and reads the registry. Run calls it every second; it calls the
// store only when a renewal or read is due. After Release it does nothing, so this process never claims again.
func (s *Service) Register(ctx context.Context) {
	s.registrationMu.Lock()
	defer s.registrationMu.Unlock()
	if s.isStopping() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	now := s.cfg.Clock()
	s.mu.Lock()
	current := s.registration
	s.mu.Unlock()
	switch {
	case s.cfg.State.registration() == 0:
		s.writeRegistration(ctx, current.lease)
	case now.Sub(current.renewedAt) >= MemberRenewal:
		s.renewRegistration(ctx, current.lease)
	}
	if current.registryAt.IsZero() || now.Sub(current.registryAt) >= RegistryInterval {
		s.readRegistry(ctx)
	}
}

// RegisteredAddresses returns the peer addresses of all registered members of the last registry read.
func (s *Service) RegisteredAddresses() []string {
	var addresses []string
	for _, record := range s.Registered() {
		addresses = append(addresses, record.PeerAddr)
	}
	return addresses
}

// Registered returns the members of all data centres from the last registry read. The caller must not modify the
// slice.
func (s *Service) Registered() []structs.MemberRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registration.records
}

// writeRegistration writes this host's registry entry under lease, or under a new lease if lease is 0.
func (s *Service) writeRegistration(ctx context.Context, lease store.LeaseID) {
	sentAt := s.cfg.Clock()
	if lease == 0 {
		granted, err := s.cfg.Store.GrantLease(ctx, MemberLeaseTTL)
		if err != nil {
			s.storeFailed("grant member lease", err)
			return
		}
		lease = granted
		s.mu.Lock()
		s.registration.lease, s.registration.renewedAt = lease, sentAt
		s.mu.Unlock()
	}
	key := s.keys.member(s.self.Host)
	existing, found, err := s.cfg.Store.Get(ctx, key)
	if err != nil {
		s.storeFailed("read member record", err)
		return
	}
	if found && s.superseded(existing) {
		s.cfg.Log.Event(eventlog.MemberSuperseded).Str("host", string(s.self.Host)).Msg("")
		return
	}
	result, err := s.cfg.Store.Txn(ctx, store.Txn{
		// The revision of the existing entry, 0 if there is none: a concurrent registration wins.
		Compares: []store.Compare{{Key: key, Target: store.CompareModRevision, Revision: existing.ModRevision}},
		Puts:     []store.Put{{Key: key, Value: mustJSON(s.cfg.Self), Lease: lease}},
	})
	switch {
	case errors.Is(err, store.ErrLeaseNotFound):
		s.dropMemberLease(lease)
	case err != nil:
		// If the write took effect, the next attempt overwrites the entry, because it reads its revision first.
		s.storeFailed("write member record", err)
	case result.Applied:
		s.cfg.State.registered(result.Revision)
		s.cfg.Log.Event(eventlog.MemberRegistered).Int64("revision", result.Revision).Msg("")
		s.requestRegistryRead()
	}
}

// superseded reports whether existing, the registry entry of this host id, belongs to a newer process.
func (s *Service) superseded(existing store.KeyValue) bool {
	record, err := decodeMember(existing)
	return err == nil && membership.Newer(record.Incarnation, s.self.Incarnation)
}

func (s *Service) renewRegistration(ctx context.Context, lease store.LeaseID) {
	sentAt := s.cfg.Clock()
	ttl, err := s.cfg.Store.KeepAlive(ctx, lease)
	switch {
	case errors.Is(err, store.ErrLeaseNotFound) || err == nil && ttl <= 0:
		s.dropMemberLease(lease)
	case err != nil:
		s.storeFailed("renew member lease", err)
	default:
		s.mu.Lock()
		s.registration.renewedAt = sentAt
		s.mu.Unlock()
	}
}

// dropMemberLease records that the registration has expired.
func (s *Service) dropMemberLease(lease store.LeaseID) {
	s.cfg.State.registered(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registration.lease == lease {
		s.registration.lease = 0
	}
	s.cfg.Log.Event(eventlog.MemberLapsed).Int64("lease", int64(lease)).Msg("")
}

// readRegistry reads all members and records those of this data centre in the process state.
func (s *Service) readRegistry(ctx context.Context) {
	registration := s.cfg.State.registration()
	sentAt := s.cfg.Clock()
	result, err := s.cfg.Store.Range(ctx, s.keys.members(), 0)
	if err != nil {
		s.storeFailed("read member registry", err)
		return
	}
	var records []structs.MemberRecord
	var local []ownership.RegisteredMember
	ownEntry := false
	for _, kv := range result.Entries {
		record, err := decodeMember(kv)
		if err != nil {
			// An entry that cannot be decoded may belong to a member of this data centre, so the previous registry is kept.
			s.storeFailed("decode member registry", err)
			return
		}
		records = append(records, record)
		ownEntry = ownEntry || record.Host == s.self.Host && kv.ModRevision == registration
		if record.Datacentre == s.cfg.Self.Datacentre {
			process := membership.Process{Host: record.Host, Incarnation: record.Incarnation}
			local = append(local, ownership.RegisteredMember{Process: process, PeerAddr: record.PeerAddr})
		}
	}
	s.cfg.State.setRegistry(result.Revision, sentAt, s.cfg.Clock(), local)
	s.mu.Lock()
	s.registration.records, s.registration.registryAt = records, sentAt
	lease := s.registration.lease
	s.mu.Unlock()
	if registration != 0 && !ownEntry && result.Revision >= registration {
		s.dropMemberLease(lease) // the entry was deleted or overwritten
	}
}

// requestRegistryRead makes the next Register read the registry.
func (s *Service) requestRegistryRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registration.registryAt = time.Time{}
}
