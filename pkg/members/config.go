// Package members exchanges heartbeats between entry hosts. Heartbeats show which hosts are live, and carry the control
// revision and shard digests of each host and the promises that keep shard ownership valid while the store is down.
//
// Lock order: Service.mu, then the lock inside the Promises implementation (ownership.ProcessState). No lock is held
// during network calls or calls of the functions in Config.
package members

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/ownership"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// Time limits of heartbeats and cached peer state.
const (
	// HeartbeatTimeout is the maximum wait for a reply: two local intervals, so that a lost call delays the next
	// one by at most one interval.
	HeartbeatTimeout = 2 * membership.LocalInterval
	// ProbeTimeout bounds the connection attempt that distinguishes a refused connection from an unresponsive address.
	ProbeTimeout = 300 * time.Millisecond
	// DigestTTL is the age at which a shard digest is dropped: the dead threshold within a data centre.
	DigestTTL = membership.DeadAfterMissed * membership.LocalInterval
	// TimeoutsBeforeReset is the number of consecutive heartbeat time-outs after which the connection is replaced.
	// After a partition, the existing connection may wait as long as the partition lasted before TCP retransmits.
	TimeoutsBeforeReset = 4
)

// Dialer provides connections to peers and tests their addresses. pkg/peer.Pool implements it.
type Dialer interface {
	// Conn returns the connection to the peer at addr, which may not be established yet.
	Conn(addr string) (grpc.ClientConnInterface, error)
	// Reset closes the connection to addr, so that the next call uses a new one.
	Reset(addr string)
	// Refused reports whether addr definitely refused a TCP connection.
	Refused(ctx context.Context, addr string) bool
}

// ControlView provides the control state that this host reports to its peers.
type ControlView interface {
	// ControlRevision returns the store revision of the control state and the send time of the store read that it
	// came from; the time is zero if there was none.
	ControlRevision() (revision int64, readAt time.Time)
	// RemovalAttempted reports whether this host attempted to take a data centre out of service and the result is
	// unknown.
	RemovalAttempted() bool
}

// Promises gives and records promises. ownership.ProcessState implements it. Its methods do not block.
type Promises interface {
	MayClaim() bool
	Promise(to membership.Process, sequence uint64) (ttl time.Duration, mayClaim bool)
	RecordPromise(p ownership.Promise)
	Acknowledge(peer membership.Process, sequence uint64)
	MemberLeft(p membership.Process, at time.Time)
	MemberDied(p membership.Process, at time.Time)
}

// Config configures a Service.
type Config struct {
	Self     structs.MemberRecord
	Dialer   Dialer
	Control  ControlView
	Promises Promises
	// Addresses are sources of peer addresses (IP:port): settings, member registry, former shard owners.
	Addresses []func() []string
	// Hosts returns the platform's host list; nil if there is none.
	Hosts func() []structs.Host
	// LocalDigests returns the digests of the shards that this host owns. It must not block.
	LocalDigests func() []structs.ShardDigest
	// OnNewerControl is called when a peer reports a newer control revision. It must not block; nil for none.
	OnNewerControl func(peerAddr string, revision int64)
	Clock          func() time.Time // nil for time.Now
	Log            *eventlog.Logger // nil to discard log entries
	Metrics        tally.Scope      // nil for none
}

func (c *Config) complete() error {
	if c.Self.Host == "" || c.Self.Incarnation == "" || c.Self.Datacentre == "" || c.Self.PeerAddr == "" {
		return errors.NotValidf("members: incomplete member record %+v", c.Self)
	}
	if c.Dialer == nil || c.Control == nil || c.Promises == nil {
		return errors.NotValidf("members: missing Dialer, Control or Promises")
	}
	if c.LocalDigests == nil {
		c.LocalDigests = func() []structs.ShardDigest { return nil }
	}
	if c.Hosts == nil {
		c.Hosts = func() []structs.Host { return nil }
	}
	if c.OnNewerControl == nil {
		c.OnNewerControl = func(string, int64) {}
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Log == nil {
		c.Log = eventlog.Discard()
	}
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	return nil
}
