// Package jobs keeps job records in the store.
//
// Any entry host accepts, reads and cancels jobs through Service. The owner of a job's home shard writes task
// states through Batch. Every write is a transaction guarded by store revisions, so that a write whose answer
// was lost can be repeated or settled by re-reading without taking effect twice.
//
// # Writers of a record
//
//   - Submit creates it if its key is absent. A job with an idempotency key has an id derived from team and key, so
//     a repeated submission meets the same record.
//   - Cancel sets CancelRequested by compare-and-swap on the record's revision and changes nothing else. It keeps
//     the nonce, by which the owner recognises its own writes.
//   - Batch writes everything else. Its transactions compare the create revision of the shard's owner record, so
//     a former owner can change nothing, and the revision of each record, so a cancellation is never overwritten.
//   - Rehome, called by Rescuer, gives a job of a shard without an owner another home. It compares the absence of the
//     owner record and the revision of the record of the last owner.
//
// A job with many tasks is stored in several records, see partID. They have owners of their own and are created in
// one transaction.
//
// # Lost answers
//
// A store call fails with store.ErrUnavailable if it certainly had no effect. After any other error the write may
// have applied, may still be on its way, or may never arrive. The writer re-reads the record: its own nonce means
// that the write has applied. Otherwise it sends the same write again with the same nonce. Both attempts compare
// the same revisions, so at most one of them applies, in whichever order they arrive. When the store keeps silent,
// the caller gets ErrUnknown, and Batch keeps the change until the result is known.
//
// # Owner
//
// A new owner calls LoadHome after its owner record was created, gives every record to Batch.Observe, and then
// reads Changes since the revision of LoadHome. It changes its own copy of a record through Transitions and hands
// it to Batch.Put, or to Batch.PutLazy when nobody waits for the result.
package jobs

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/problem"
)

// Limits of a job record.
const (
	// MaxTasks is the number of tasks a job may have.
	MaxTasks = 1000
	// MaxRecordBytes is the size of an encoded record that is still written. The store takes 1 MB.
	MaxRecordBytes = 1_000_000
	// MaxInputBytes bounds the JSON encoding of a job's input. With MaxTasks tasks of the greatest length that
	// trimRecord allows the record stays below MaxRecordBytes.
	MaxInputBytes = 128 << 10
	// MaxKeyBytes bounds the idempotency key of a submission.
	MaxKeyBytes = 256
	// MaxReasonBytes bounds the reason kept per task.
	MaxReasonBytes = 160
	// MaxFailedOn is the number of workers kept per task in FailedOn; the latest are kept.
	MaxFailedOn = 4
)

// Limits of transactions.
const (
	// MaxBatchRecords is the number of records in one transaction. etcd allows 128 operations by default.
	MaxBatchRecords = 100
	// MaxTxnBytes bounds the values of one transaction, unless a single record is larger.
	MaxTxnBytes = 1_000_000
	// MaxWriteAttempts is how often one call repeats a guarded write whose answer was lost.
	MaxWriteAttempts = 3
	// MaxCancelAttempts is how often a cancellation repeats its compare-and-swap against a busy owner.
	MaxCancelAttempts = 30
)

// Intervals of group commit and retention.
const (
	// FlushInterval is how long a prompt change waits for others before it is written.
	FlushInterval = 25 * time.Millisecond
	// LazyFlushInterval is how long a change that nobody waits for may be held back. With 16 shards that finish
	// tasks all the time it keeps the store at 80 transactions/s, where FlushInterval would allow 640.
	LazyFlushInterval = 200 * time.Millisecond
	// RetryInterval is the pause before a write is tried again while the store fails.
	RetryInterval = 200 * time.Millisecond
	// Retention is how long the record of a finished job is kept. Request keys are kept as long.
	Retention = 24 * time.Hour
	// SweepInterval is how often finished jobs are checked against Retention.
	SweepInterval = time.Minute
	// TombstoneRetention is how long a deleted or moved record is remembered, longer than any read of the store takes.
	TombstoneRetention = 10 * time.Minute
)

// Errors of this package. Callers test them with errors.Is.
const (
	// ErrInvalid means that the submission was rejected; InvalidError carries the findings.
	ErrInvalid = errors.ConstError("job not valid")
	// ErrTooLarge means that a task of the job is larger than any host.
	ErrTooLarge = errors.ConstError("job larger than any host")
	// ErrNoHome means that no shard in service can take the job now.
	ErrNoHome = errors.ConstError("no shard in service can take the job")
	// ErrNoDocument means that this host has no environment document yet.
	ErrNoDocument = errors.ConstError("no environment document yet")
	// ErrKeyReused means that the key belongs to a job with another specification.
	ErrKeyReused = errors.ConstError("idempotency key already used for a different job")
	// ErrNotAccepted means that the store cannot be reached and this call wrote nothing.
	ErrNotAccepted = errors.ConstError("job not accepted")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.ConstError("result of the write is not known")
	// ErrNotFound means that there is no such job.
	ErrNotFound = errors.ConstError("no such job")
	// ErrContended means that a record changed on every attempt of a compare-and-swap.
	ErrContended = errors.ConstError("job record changes too often")
	// ErrNotOwner means that the shard has another owner, so this host may not write its job records.
	ErrNotOwner = errors.ConstError("not the owner of the shard")
	// ErrConflict means that a record was changed by another writer than the owner and Cancel.
	ErrConflict = errors.ConstError("job record changed by another writer")
	// ErrNotTracked means that Batch was given a record that it has not observed.
	ErrNotTracked = errors.ConstError("job record not observed by this batch")
	// ErrRecordTooLarge means that an encoded record exceeds MaxRecordBytes.
	ErrRecordTooLarge = errors.ConstError("job record too large")
	// ErrClosed means that the batch has ended.
	ErrClosed = errors.ConstError("batch closed")
)

// InvalidError lists every fault of a submission. It matches ErrInvalid.
type InvalidError struct {
	Findings []problem.Finding
}

// Error returns the first finding and the number of others.
func (e *InvalidError) Error() string {
	text := fmt.Sprintf("%v: %s: %s", ErrInvalid, e.Findings[0].Place, e.Findings[0].Message)
	if more := len(e.Findings) - 1; more > 0 {
		text += fmt.Sprintf(" (and %d more)", more)
	}
	return text
}

// Unwrap returns ErrInvalid.
func (e *InvalidError) Unwrap() error { return ErrInvalid }

// UnknownError tells which job a write of unknown result was about. It matches ErrUnknown.
type UnknownError struct {
	ID    structs.JobID
	Cause error
}

// Error names the job and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("job %s: %v: %v", e.ID, ErrUnknown, e.Cause)
}

// Unwrap returns ErrUnknown and the cause.
func (e *UnknownError) Unwrap() []error { return []error{ErrUnknown, e.Cause} }
