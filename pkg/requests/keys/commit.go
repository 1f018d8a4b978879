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
	// CommitWindow is how long the first write of a batch waits for others.
	CommitWindow = 5 * time.Millisecond
	// CommitInterval is the shortest time between two batches of a host. Seven hosts then write at most 350
	// transactions per second, within the several hundred that the store sustains.
	CommitInterval = 20 * time.Millisecond
	// MaxBatch is the number of keys in one transaction.
	MaxBatch = 50
	// MaxBatchBytes bounds the values of one transaction; encoded in the JSON gateway they grow by a third.
	MaxBatchBytes = 512 << 10
	// MaxPendingWrites bounds the writes that wait for a batch.
	MaxPendingWrites = 4096
	// MaxTxns bounds the transactions in progress, for a slow store.
	MaxTxns = 8
	// storeTimeout bounds one store call.
	storeTimeout = 2 * time.Second
)

// write is a guarded write of one record.
type write struct {
	compare store.Compare
	value   []byte
	done    chan writeResult // has room for the one result
}

// writeResult is the result of a write. Without an error, either revision is the record's new revision, or the
// comparison failed and existing is the record as it is, if there is one.
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

	mu        sync.Mutex
	waiting   []*write
	scheduled bool
	running   int // transactions in progress
	lastStart time.Time
}

// submit writes value to the key of compare if compare holds. When ctx ends first, the write may still take
// effect, which is an error like any other lost answer.
func (c *committer) submit(ctx context.Context, compare store.Compare, value []byte) writeResult {
	w := &write{compare: compare, value: value, done: make(chan writeResult, 1)}
	if !c.enqueue(w) {
		return writeResult{err: errors.Annotate(store.ErrUnavailable, "too many idempotency records waiting")}
	}
	select {
	case result := <-w.done:
		return result
	case <-ctx.Done():
	}
	if c.withdraw(w) {
		return writeResult{err: errors.Annotate(store.ErrUnavailable, "no time left to write")}
	}
	return writeResult{err: errors.Annotate(store.ErrUncertain, "no answer in time")}
}

func (c *committer) enqueue(w *write) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) >= MaxPendingWrites {
		return false
	}
	c.waiting = append(c.waiting, w)
	c.scheduleLocked()
	return true
}

// withdraw removes a write that is not yet part of a transaction.
func (c *committer) withdraw(w *write) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, waiting := range c.waiting {
		if waiting == w {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// scheduleLocked arranges the next batch. Callers hold mu.
func (c *committer) scheduleLocked() {
	if c.scheduled || len(c.waiting) == 0 || c.running >= MaxTxns {
		return
	}
	c.scheduled = true
	time.AfterFunc(max(CommitWindow, CommitInterval-time.Since(c.lastStart)), c.flush)
}

// flush runs one batch. A timer calls it.
func (c *committer) flush() {
	c.mu.Lock()
	c.scheduled = false
	batch := c.takeLocked()
	c.running++
	c.lastStart = time.Now()
	c.scheduleLocked()
	c.mu.Unlock()

	c.commit(batch)

	c.mu.Lock()
	c.running--
	c.scheduleLocked()
	c.mu.Unlock()
}

// takeLocked removes the next batch: writes of different keys within the limits. A second write of a key stays,
// because one transaction must not write a key twice. Callers hold mu.
func (c *committer) takeLocked() []*write {
	var batch, rest []*write
	keys, bytes := map[string]bool{}, 0
	for _, w := range c.waiting {
		full := len(batch) >= MaxBatch || len(batch) > 0 && bytes+len(w.value) > MaxBatchBytes
		if full || keys[w.compare.Key] {
			rest = append(rest, w)
			continue
		}
		keys[w.compare.Key] = true
		bytes += len(w.value)
		batch = append(batch, w)
	}
	c.waiting = rest
	return batch
}

// commit writes a batch in one transaction. When a comparison fails, the halves are committed by themselves, down
// to single writes: a repeated key among many then costs a few transactions and not one for each.
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

// txn runs one transaction. A lease that is gone is replaced once; the transaction then certainly had no effect.
func (c *committer) txn(batch []*write) (store.TxnResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	for retried := false; ; retried = true {
		lease, err := c.leases.get(ctx)
		if err != nil {
			// No record was written, whatever became of the lease.
			return store.TxnResult{}, errors.Annotate(store.ErrUnavailable, err.Error())
		}
		result, err := c.store.Txn(ctx, txnOf(batch, lease))
		if !errors.Is(err, store.ErrLeaseNotFound) {
			return result, err
		}
		c.leases.forget(lease)
		if retried {
			return result, errors.Annotate(store.ErrUnavailable, "leases of idempotency records expire at once")
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
