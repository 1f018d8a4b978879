// Package requests implements the entry side of the request path: it accepts a request of a caller, chooses a shard,
// forwards the request to the shard's owner and decides on retries and hedges. It also contains the gRPC client and
// server of Dispatch.
package requests

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/routing"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/requests/keys"
)

// ErrNotSent is returned by a Dispatcher when no byte of the request was sent. Any other error means that the outcome
// is unknown.
const ErrNotSent = errors.ConstError("request not sent to the shard owner")

// Target is one shard that has runners of a service, with its owner.
type Target struct {
	Shard         structs.ShardID
	Owner         structs.HostID
	PeerAddr      string // IP:port of the owner's gRPC interface
	Local         bool   // this host is the owner
	OwnDatacentre bool
	LinkDelay     time.Duration // one-way estimate; 0 when local
	Slots         routing.Slots
}

// Directory lists the shards of a service that have a live owner.
type Directory interface {
	Targets(service structs.ServiceName) []Target
}

// Dispatcher sends one attempt to the owner of a shard and returns its reply. A host that does not own the shard
// replies NotRun with structs.ReasonWrongOwner. Errors are as described at ErrNotSent.
type Dispatcher interface {
	Dispatch(ctx context.Context, target Target, attemptID string, req structs.Request) (structs.Reply, error)
}

// Keys stores the records of idempotency keys. Claim returns the claim under which the request may run, or false
// and the reply for the caller. Finish records the outcome of a claimed request. Close waits until all outcomes
// are recorded.
type Keys interface {
	Claim(ctx context.Context, req structs.Request) (keys.Claim, structs.Reply, bool)
	Finish(ctx context.Context, claim keys.Claim, reply structs.Reply)
	Close(ctx context.Context) error
}

// LocalPool serves requests of a shard that this host owns.
type LocalPool interface {
	Dispatch(ctx context.Context, attemptID string, req structs.Request) structs.Reply
}

// Pools returns the pool of a shard, or false if this host does not own the shard.
type Pools interface {
	Pool(shard structs.ShardID) (LocalPool, bool)
}
