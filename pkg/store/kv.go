package store

import (
	"context"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/store/gateway"
)

// Limits of one call. etcd rejects requests that exceed them.
const (
	// MaxTxnOps is the maximum number of comparisons, of writes and of reads in one transaction: the default of
	// etcd's --max-txn-ops.
	MaxTxnOps = 128
	// MaxValueBytes is the maximum length of a value in the platform's store.
	MaxValueBytes = 1 << 20
)

// ErrInvalid means that a call is not valid, for example because it exceeds a limit of the store or writes a key twice.
// It had no effect and must not be retried, since it fails again.
const ErrInvalid = errors.ConstError("store rejects the request as invalid")

// Get reads one key. The second result is false if the key does not exist.
// Errors match ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (KeyValue, bool, error) {
	var resp gateway.RangeResponse
	if err := c.read(ctx, gateway.RangeRequest{Key: []byte(key)}, &resp); err != nil {
		return KeyValue{}, false, err
	}
	if len(resp.Kvs) == 0 {
		return KeyValue{}, false, nil
	}
	return toKeyValue(resp.Kvs[0]), true, nil
}

// Range reads the keys that start with prefix and whose last change was at minModRevision or later; 0 reads all keys.
// Deleted keys are not reported. Errors match ErrUnavailable.
func (c *Client) Range(ctx context.Context, prefix string, minModRevision int64) (RangeResult, error) {
	req := gateway.RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), MinModRevision: minModRevision}
	if prefix == "" {
		req.Key = []byte{0}
	}
	sentAt := c.clock()
	var resp gateway.RangeResponse
	if err := c.read(ctx, req, &resp); err != nil {
		return RangeResult{}, err
	}
	return RangeResult{Entries: toKeyValues(resp.Kvs), Revision: resp.Header.Revision, SentAt: sentAt}, nil
}

func (c *Client) read(ctx context.Context, req gateway.RangeRequest, resp *gateway.RangeResponse) error {
	if err := c.call(ctx, opRange, req, resp); err != nil {
		return err
	}
	if resp.Header == nil {
		return fail(opRange, errors.New("response without header"), ErrUnavailable)
	}
	return nil
}

// Txn runs one transaction. Errors match ErrUnavailable, ErrUncertain, ErrInvalid, or ErrLeaseNotFound if the lease of
// a put no longer exists.
func (c *Client) Txn(ctx context.Context, txn Txn) (TxnResult, error) {
	if err := checkTxn(txn); err != nil {
		return TxnResult{}, err
	}
	var resp gateway.TxnResponse
	if err := c.call(ctx, opTxn, toWireTxn(txn), &resp); err != nil {
		return TxnResult{}, err
	}
	if resp.Header == nil {
		return TxnResult{}, fail(opTxn, errors.New("response without header"), ErrUncertain)
	}
	result := TxnResult{Applied: resp.Succeeded, Revision: resp.Header.Revision}
	if !resp.Succeeded {
		for _, op := range resp.Responses {
			if op.Range != nil {
				result.Read = append(result.Read, toKeyValues(op.Range.Kvs)...)
			}
		}
	}
	return result, nil
}

// checkTxn rejects requests that the store would reject, so that the error is specific and certain to have no effect.
func checkTxn(txn Txn) error {
	writes := len(txn.Puts) + len(txn.Deletes)
	if len(txn.Compares) > MaxTxnOps || writes > MaxTxnOps || len(txn.ReadOnFail) > MaxTxnOps {
		return errors.Annotatef(ErrInvalid, "transaction with %d comparisons, %d writes, %d reads, at most %d of each",
			len(txn.Compares), writes, len(txn.ReadOnFail), MaxTxnOps)
	}
	written := make(map[string]bool, writes)
	for _, put := range txn.Puts {
		if len(put.Value) > MaxValueBytes {
			return errors.Annotatef(ErrInvalid, "value of %s has %d bytes, at most %d", put.Key, len(put.Value), MaxValueBytes)
		}
		if written[put.Key] {
			return errors.Annotatef(ErrInvalid, "key %s is written twice in a transaction", put.Key)
		}
		written[put.Key] = true
	}
	for _, key := range txn.Deletes {
		if written[key] {
			return errors.Annotatef(ErrInvalid, "key %s is written and deleted in a transaction", key)
		}
	}
	return nil
}

func toWireTxn(txn Txn) gateway.TxnRequest {
	var req gateway.TxnRequest
	for _, compare := range txn.Compares {
		req.Compare = append(req.Compare, toWireCompare(compare))
	}
	for _, put := range txn.Puts {
		req.Success = append(req.Success, gateway.Op{Put: &gateway.Put{Key: []byte(put.Key), Value: put.Value, Lease: int64(put.Lease)}})
	}
	for _, key := range txn.Deletes {
		req.Success = append(req.Success, gateway.Op{Delete: &gateway.Delete{Key: []byte(key)}})
	}
	for _, key := range txn.ReadOnFail {
		req.Failure = append(req.Failure, gateway.Op{Range: &gateway.RangeRequest{Key: []byte(key)}})
	}
	return req
}

func toWireCompare(compare Compare) gateway.Compare {
	wire := gateway.Compare{Key: []byte(compare.Key), Result: "EQUAL"}
	if compare.Target == CompareModRevision {
		wire.Target, wire.ModRevision = "MOD", &compare.Revision
	} else {
		wire.Target, wire.CreateRevision = "CREATE", &compare.Revision
	}
	return wire
}
