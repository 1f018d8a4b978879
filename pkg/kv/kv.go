// Package kv defines the interface to the platform's key-value store: linearizable keys with revisions, leases and
// watches. Adapters implement Store; packages that keep state in the store depend only on this package.
package kv

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// LeaseID identifies a lease of the store. Zero means no lease.
type LeaseID int64

// Item is one key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // revision of the last change
	Created  int64 // revision of the creation
	Lease    LeaseID
}

// Page is a part of the keys under a prefix. Several pages together do not form a consistent snapshot.
type Page struct {
	Items []Item
	More  bool  // whether there are keys after the last item
	AsOf  int64 // store revision at which the page was read
}

// Change is one change of a key.
type Change struct {
	Item    Item // only Key and Revision are set if Deleted
	Deleted bool
}

// Changes are the changes under a prefix up to the revision AsOf.
type Changes struct {
	Changes []Change
	AsOf    int64 // the next watch continues after this revision
}

// Condition requires that a key has a revision. Revision 0 requires that the key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes a key. If Lease is set, the key is deleted when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is an atomic change that is applied only if all conditions hold.
type Txn struct {
	If     []Condition
	Put    []Put
	Delete []string
}

// MaxTxnEntries is the maximum total number of conditions, puts and deletions of one Txn.
const MaxTxnEntries = 32

// Errors of Store. Callers test them with errors.Is.
const (
	// ErrNotDone means that the call has certainly had no effect and will have none.
	ErrNotDone = errors.ConstError("store did not carry out the call")
	// ErrRefused means that the store refuses the call for good, for instance because a value is too large. An error that
	// matches it matches ErrNotDone as well.
	ErrRefused = errors.ConstError("store refuses the call for good")
	// ErrUncertain means that the call may have taken effect, or may take effect later if its conditions hold then.
	ErrUncertain = errors.ConstError("store call may have been carried out")
	// ErrIncomplete means that the response to a read has begun and did not arrive completely: it may be too large. An error that
	// matches it matches ErrUncertain as well.
	ErrIncomplete = errors.ConstError("store response did not arrive completely")
	// ErrCompacted means that the history which a watch needs has been compacted. The prefix has to be read again.
	ErrCompacted = errors.ConstError("store history is compacted")
	// ErrLeaseEnded means that the lease does not exist.
	ErrLeaseEnded = errors.ConstError("store lease has ended")
)

// Conflict is the error of a Commit whose conditions do not hold. Nothing was changed.
type Conflict struct {
	Items []Item // current state of those keys of the conditions that exist
}

// Error implements the error interface.
func (c *Conflict) Error() string { return "store condition does not hold" }

// Item returns the current state of a key of the conditions; found is false if the key does not exist.
func (c *Conflict) Item(key string) (item Item, found bool) {
	for _, item := range c.Items {
		if item.Key == key {
			return item, true
		}
	}
	return Item{}, false
}

// Revision returns the current revision of a key of the conditions, 0 if the key does not exist.
func (c *Conflict) Revision(key string) int64 {
	item, _ := c.Item(key)
	return item.Revision
}

// Refused returns an error that matches ErrRefused and ErrNotDone.
func Refused(reason error) error {
	return errors.WithType(errors.WithType(reason, ErrNotDone), ErrRefused)
}

// Store is the platform's key-value store. Every method makes a single call without retries.
type Store interface {
	// Get returns a key; found is false if it does not exist.
	Get(ctx context.Context, key string) (item Item, found bool, err error)
	// Range returns a page of the keys with a prefix that sort after the key after, which is empty for the first page.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes under a prefix after a revision. If there are none, it waits for one, at most for wait.
	// Errors: ErrCompacted, ErrIncomplete.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
	// Commit applies a transaction and returns its revision. Errors: *Conflict, ErrLeaseEnded, ErrNotDone, ErrRefused,
	// ErrUncertain.
	Commit(ctx context.Context, txn Txn) (revision int64, err error)
	// Grant creates a lease and returns its time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepAlive renews a lease and returns its time to live. Errors: ErrLeaseEnded.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}
