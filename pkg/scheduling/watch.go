package scheduling

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fulmarcourse.example/fulmarcourse/api/ownerpb"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/netdial"
	"fulmarcourse.example/fulmarcourse/pkg/peer"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

const (
	// pingInterval is much shorter than the lease of an owner's record, so that a terminated owner is detected before
	// its lease expires.
	pingInterval = 400 * time.Millisecond
	// pingTimeout bounds one call to the owner. If an owner does not answer, its lease is left to expire.
	pingTimeout = 300 * time.Millisecond
)

// watchOwner revokes the lease of an owner whose process has terminated, which is detected by refused connections at the owner's
// address, or by another host answering there. Other entry hosts then do not have to wait for the lease to expire. If the owner
// is in fact alive, it restores its record under the same term at the cost of a call to the store. Safety does not
// depend on this check: the workers check fencing tokens.
func (n *Node) watchOwner(ctx context.Context, p statekeys.Partition) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		state := n.view.State(p)
		if state.Owner.Address == "" || state.Lease() == 0 || state.Owner.Incarnation == n.cfg.Self.Incarnation {
			continue
		}
		if reason, ended := n.ownerEnded(ctx, state); ended {
			n.revokeLease(ctx, p, state, reason)
		}
	}
}

// ownerEnded reports whether the owner's process has ended, and how that shows.
func (n *Node) ownerEnded(ctx context.Context, state term.State) (reason string, ended bool) {
	err := n.pingOwner(ctx, state)
	switch {
	case peer.IsOtherHost(err):
		return "another host answers at its address", true
	case status.Code(err) == codes.Unavailable && n.connectionRefused(ctx, state.Owner.Address):
		return "its address refuses connections", true
	}
	return "", false
}

// pingOwner calls the owner's process.
func (n *Node) pingOwner(ctx context.Context, state term.State) error {
	conn, err := n.pool.Conn(state.Owner.Address)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(peer.ForHost(ctx, state.Owner.Host), pingTimeout)
	defer cancel()
	_, err = ownerpb.NewOwnerClient(conn).Ping(ctx, &ownerpb.PingRequest{})
	return err // not traced, for its status
}

// connectionRefused reports whether connections to an address are refused.
func (n *Node) connectionRefused(ctx context.Context, address string) bool {
	conn, err := netdial.NewDialer(n.cfg.Source, pingTimeout).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // nothing was sent, so the error does not matter
		return false
	}
	var refusal *net.OpError
	return errors.As(err, &refusal) && errors.Is(refusal.Err, syscall.ECONNREFUSED)
}

// revokeLease revokes the lease of a terminated owner and logs it with the reason why the owner counts as such.
func (n *Node) revokeLease(ctx context.Context, p statekeys.Partition, state term.State, reason string) {
	ctx, cancel := context.WithTimeout(ctx, viewWatchWait)
	defer cancel()
	err := n.cfg.Store.Revoke(ctx, state.Lease())
	n.cfg.Log.Event(eventlog.TermEnded).Int("partition", int(p)).Int64("term", state.Term).
		Str("owner", state.Owner.Host).Str("reason", reason).Err(err).Msg("")
}
