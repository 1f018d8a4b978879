// Package store is the client of the platform's key-value store. It uses the JSON gateway of the etcd v3 API.
package store

import (
	"time"

	"github.com/juju/errors"
)

// Errors of store calls. Callers test them with errors.Is.
const (
	// ErrUnavailable means that the call certainly had no effect, for example a refused connection.
	ErrUnavailable = errors.ConstError("store unavailable")
	// ErrUncertain means that a write may or may not have taken effect. The caller has to read the keys again.
	ErrUncertain = errors.ConstError("store write may have taken effect")
	// ErrLeaseNotFound means that a lease has expired or was revoked.
	ErrLeaseNotFound = errors.ConstError("store lease not found")
)

// LeaseID names a store lease. 0 means no lease.
type LeaseID int64

// KeyValue is one stored entry.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision int64 // revision at which the key was created; 0 if it does not exist
	ModRevision    int64 // revision of the last change
	Lease          LeaseID
}

// CompareTarget is the property of a key that a Compare tests.
type CompareTarget int

// Targets of a Compare.
const (
	CompareCreateRevision CompareTarget = iota
	CompareModRevision
)

// Compare is a condition of a transaction: the target property of Key equals Revision.
// A key that does not exist has revision 0.
type Compare struct {
	Key      string
	Target   CompareTarget
	Revision int64
}

// Put writes one key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn applies all writes if all comparisons hold, else none. If it is not applied, it returns the ReadOnFail keys.
type Txn struct {
	Compares   []Compare
	Puts       []Put
	Deletes    []string
	ReadOnFail []string
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	Applied  bool
	Revision int64      // store revision after the transaction
	Read     []KeyValue // entries of Txn.ReadOnFail if not applied; absent keys are omitted
}

// RangeResult is the result of a range read.
type RangeResult struct {
	Entries  []KeyValue
	Revision int64     // store revision of the read
	SentAt   time.Time // when the read was sent; the data is at least as recent as this time
}
