package members

import (
	"time"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
)

// neverRead is the control age of a host that has not read the store.
const neverRead = -1

// ownState returns the state of this host for a message. The caller must hold no lock and sets Sequence, Leaving and
// MayClaim.
func (s *Service) ownState(now time.Time) *peerpb.MemberState {
	revision, readAt := s.cfg.Control.ControlRevision()
	return &peerpb.MemberState{
		Host:             string(s.cfg.Self.Host),
		Incarnation:      s.cfg.Self.Incarnation,
		Datacentre:       string(s.cfg.Self.Datacentre),
		PeerAddress:      s.cfg.Self.PeerAddr,
		ControlRevision:  revision,
		ControlAgeMs:     ageMillis(readAt, now),
		RemovalAttempted: s.cfg.Control.RemovalAttempted(),
	}
}

// ageMillis returns the age of a read at readAt in milliseconds, or neverRead if readAt is zero. It rounds up, so that
// data never appears newer than it is.
func ageMillis(readAt, now time.Time) int64 {
	if readAt.IsZero() {
		return neverRead
	}
	age := max(now.Sub(readAt), 0)
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

func reportFromWire(m *peerpb.MemberState) membership.Report {
	return membership.Report{
		Process:          membership.Process{Host: structs.HostID(m.GetHost()), Incarnation: m.GetIncarnation()},
		Datacentre:       structs.DatacentreID(m.GetDatacentre()),
		PeerAddr:         m.GetPeerAddress(),
		Leaving:          m.GetLeaving(),
		MayClaim:         m.GetMayClaim(),
		Sequence:         m.GetSequence(),
		ControlRevision:  m.GetControlRevision(),
		RemovalAttempted: m.GetRemovalAttempted(),
	}
}

// validState reports whether a message contains all fields that identify its sender.
func validState(m *peerpb.MemberState) bool {
	return m.GetHost() != "" && m.GetIncarnation() != "" && m.GetDatacentre() != "" && m.GetPeerAddress() != ""
}

func controlAge(m *peerpb.MemberState) time.Duration {
	if m.GetControlAgeMs() < 0 {
		return neverRead
	}
	return time.Duration(m.GetControlAgeMs()) * time.Millisecond
}

func digestsToWire(digests []structs.ShardDigest) []*peerpb.ShardDigest {
	wire := make([]*peerpb.ShardDigest, 0, len(digests))
	for _, d := range digests {
		w := &peerpb.ShardDigest{
			Shard:   &peerpb.Shard{Datacentre: string(d.Shard.Datacentre), Index: int32(d.Shard.Index)},
			Epoch:   int64(d.Epoch),
			Free:    resourcesToWire(d.Free),
			Largest: resourcesToWire(d.Largest),
			Pending: int32(d.Pending),
		}
		for service, total := range d.Slots {
			w.Services = append(w.Services, &peerpb.ServiceSlots{
				Service: string(service), Total: int32(total),
				Free: int32(d.FreeSlots[service]), Queued: int32(d.Queued[service]),
			})
		}
		wire = append(wire, w)
	}
	return wire
}

func digestFromWire(w *peerpb.ShardDigest) structs.ShardDigest {
	d := structs.ShardDigest{
		Shard: structs.ShardID{
			Datacentre: structs.DatacentreID(w.GetShard().GetDatacentre()), Index: int(w.GetShard().GetIndex()),
		},
		Epoch:     structs.Epoch(w.GetEpoch()),
		FreeSlots: make(map[structs.ServiceName]int, len(w.GetServices())),
		Slots:     make(map[structs.ServiceName]int, len(w.GetServices())),
		Queued:    make(map[structs.ServiceName]int, len(w.GetServices())),
		Free:      resourcesFromWire(w.GetFree()),
		Largest:   resourcesFromWire(w.GetLargest()),
		Pending:   int(w.GetPending()),
	}
	for _, slots := range w.GetServices() {
		service := structs.ServiceName(slots.GetService())
		d.FreeSlots[service] = int(slots.GetFree())
		d.Slots[service] = int(slots.GetTotal())
		d.Queued[service] = int(slots.GetQueued())
	}
	return d
}

func resourcesToWire(r structs.Resources) *peerpb.Resources {
	return &peerpb.Resources{MilliCpu: r.MilliCPU, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

func resourcesFromWire(r *peerpb.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU: r.GetMilliCpu(), MemoryBytes: r.GetMemoryBytes(), Accelerators: r.GetAccelerators(),
	}
}
