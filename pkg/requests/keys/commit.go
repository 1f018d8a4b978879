package keys

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Limits of group commit.
const (
	// CommitWindow is the time for which the first write of a batch waits for further writes.
	CommitWindow = 5 * time.Millisecond
	// CommitInterval is the minimum time between two batches of a host. Seven hosts then write at most 350
	// transactions per second, within the several hundred that the store sustains.
	CommitInterval = 20 * time.Millisecond
	// MaxBatch is the maximum number of keys in one transaction.
	MaxBatch = 50
	// MaxBatchBytes limits the total size of the values in one transaction. The JSON gateway of the store encodes
	// them, which adds a third.
	MaxBatchBytes = 512 << 10
	// MaxPendingWrites limits the writes that wait for a batch.
	MaxPendingWrites = 4096
	// MaxTxns limits the transactions in progress when the store is slow.
	MaxTxns = 8
	// storeTimeout is the time limit of one store call.
	storeTimeout = 2 * time.Second
)

// write is a guarded write of one record.
type write struct {
	compare store.Compare
	value   []byte
	done    chan writeResult // buffered for the one result, so that delivery never blocks
}

// writeResult is the result of a write. Without an error, either the write was applied and revision is the record's new
// revision, or the comparison failed and existing is the stored record, if there is one.
type writeResult struct {
	applied  bool
	revision int64
	existing *store.KeyValue
	err      error
}

// committer groups writes into transactions.
type committer struct {
	store  Store
	leases *leases

	mu         sync.Mutex
	pending    []*write
	scheduled  bool
	inProgress int // transactions in progress
	lastStart  time.Time
}

// submit writes value to the key of compare if compare holds. If ctx ends while the transaction is in progress, the
// write may still take effect and the error is store.ErrUncertain.
func (c *committer) submit(ctx context.Context, compare store.Compare, value []byte) writeResult {
	w := &write{compare: compare, value: value, done: make(chan writeResult, 1)}
	if !c.enqueue(w) {
		return writeResult{err: errors.Annotate(store.ErrUnavailable, "too many pending writes of idempotency records")}
	}
	select {
	case result := <-w.done:
		return result
	case <-ctx.Done():
	}
	if c.withdraw(w) {
		return writeResult{err: errors.Annotate(store.ErrUnavailable, "context ended before the write was sent")}
	}
	return writeResult{err: errors.Annotate(store.ErrUncertain, "context ended while the write was in progress")}
}

func (c *committer) enqueue(w *write) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= MaxPendingWrites {
		return false
	}
	c.pending = append(c.pending, w)
	c.scheduleLocked()
	return true
}

// withdraw removes a write that is not yet part of a transaction.
func (c *committer) withdraw(w *write) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, pending := range c.pending {
		if pending == w {
			c.pending = append(c.pending[:i], c.pending[i+1:]...)
			return true
		}
	}
	return false
}

// scheduleLocked starts the timer of the next batch unless it is already running. Callers hold mu.
func (c *committer) scheduleLocked() {
	if c.scheduled || len(c.pending) == 0 || c.inProgress >= MaxTxns {
		return
	}
	c.scheduled = true
	time.AfterFunc(max(CommitWindow, CommitInterval-time.Since(c.lastStart)), c.flush)
}

// flush commits one batch. The timer of scheduleLocked calls it.
func (c *committer) flush() {
	c.mu.Lock()
	c.scheduled = false
	batch := c.nextBatchLocked()
	c.inProgress++
	c.lastStart = time.Now()
	c.scheduleLocked()
	c.mu.Unlock()

	c.commit(batch)

	c.mu.Lock()
	c.inProgress--
	c.scheduleLocked()
	c.mu.Unlock()
}

// nextBatchLocked removes the next batch from the pending writes: writes of different keys within the limits. A second
// write of a key stays pending, because one transaction must not write a key twice. Callers hold mu.
func (c *committer) nextBatchLocked() []*write {
	var batch, rest []*write
	keys, bytes := map[string]bool{}, 0
	for _, w := range c.pending {
		full := len(batch) >= MaxBatch || len(batch) > 0 && bytes+len(w.value) > MaxBatchBytes
		if full || keys[w.compare.Key] {
			rest = append(rest, w)
			continue
		}
		keys[w.compare.Key] = true
		bytes += len(w.value)
		batch = append(batch, w)
	}
	c.pending = rest
	return batch
}

// commit writes a batch in one transaction. When a comparison fails, the two halves are committed separately, down to
// single writes, so that one repeated key costs a few transactions instead of one for each write.
func (c *committer) commit(batch []*write) {
	if len(batch) == 0 {
		return
	}
	result, err := c.txn(batch)
	switch {
	case err != nil:
		deliver(batch, writeResult{err: err})
	case result.Applied:
		deliver(batch, writeResult{applied: true, revision: result.Revision})
	case len(batch) == 1:
		deliver(batch, writeResult{existing: first(result.Read)})
	default:
		c.commit(batch[:len(batch)/2])
		c.commit(batch[len(batch)/2:])
	}
}

// txn runs one transaction. If the store no longer has the lease, the transaction had no effect and is repeated once
// with a new lease.
func (c *committer) txn(batch []*write) (store.TxnResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	for retried := false; ; retried = true {
		lease, err := c.leases.get(ctx)
		if err != nil {
			// No record was written, even if the lease was granted.
			return store.TxnResult{}, errors.Annotate(store.ErrUnavailable, err.Error())
		}
		result, err := c.store.Txn(ctx, txnOf(batch, lease))
		if !errors.Is(err, store.ErrLeaseNotFound) {
			return result, err
		}
		c.leases.invalidate(lease)
		if retried {
			return result, errors.Annotate(store.ErrUnavailable, "new lease for idempotency records not found in the store")
		}
	}
}

func txnOf(batch []*write, lease store.LeaseID) store.Txn {
	var txn store.Txn
	for _, w := range batch {
		txn.Compares = append(txn.Compares, w.compare)
		txn.Puts = append(txn.Puts, store.Put{Key: w.compare.Key, Value: w.value, Lease: lease})
	}
	if len(batch) == 1 {
		txn.ReadOnFail = []string{batch[0].compare.Key}
	}
	return txn
}

func deliver(batch []*write, result writeResult) {
	for _, w := range batch {
		w.done <- result
	}
}

func first(read []store.KeyValue) *store.KeyValue {
	if len(read) == 0 {
		return nil
	}
	return &read[0]
}
