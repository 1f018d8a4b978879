package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/pkg/control"
	"fulmarcourse.example/fulmarcourse/pkg/members"
	"fulmarcourse.example/fulmarcourse/pkg/peer"
)

// peerClient implements control.Peers.
type peerClient struct {
	members func() []members.Member
	pool    *peer.Pool
}

// LivePeers implements control.Peers.
func (p peerClient) LivePeers() []structs.HostID {
	var hosts []structs.HostID
	for _, m := range p.members() {
		if m.State == membership.Live {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// FetchControl implements control.Peers.
func (p peerClient) FetchControl(ctx context.Context, host structs.HostID, request *peerpb.FetchControlRequest) (*peerpb.FetchControlReply, error) {
	for _, m := range p.members() {
		if m.Host != host {
			continue
		}
		conn, err := p.pool.Conn(m.PeerAddr)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return peerpb.NewControlClient(conn).FetchControl(ctx, request)
	}
	return nil, errors.NotFoundf("peer %s", host)
}

// controlView implements members.ControlView.
type controlView struct {
	service *control.Service
}

// ControlRevision implements members.ControlView.
func (v controlView) ControlRevision() (int64, time.Time) {
	c := v.service.Confirmation()
	return c.Revision, c.ReadAt
}

// RemovalAttempted implements members.ControlView.
func (v controlView) RemovalAttempted() bool { return v.service.RemovalAttempted() }

// liveness implements keys.Liveness.
type liveness struct {
	self    structs.MemberRecord
	members func() []members.Member
}

// Alive reports whether a process is this one, or the current process of a known member that is not dead.
func (l liveness) Alive(host structs.HostID, incarnation string) bool {
	if host == l.self.Host {
		return incarnation == l.self.Incarnation
	}
	for _, m := range l.members() {
		if m.Host == host {
			return m.Incarnation == incarnation && m.State != membership.Dead
		}
	}
	return false
}
