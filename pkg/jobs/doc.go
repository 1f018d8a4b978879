// Package jobs stores and reads job records.
//
// Any entry host accepts, reads and cancels jobs through Service. The owner of a job's home shard writes task states
// through Batch. Every write is a transaction that compares store revisions. After a lost response the write can
// therefore be repeated, or its outcome determined by reading the records, and it takes effect at most once.
//
// # Writers of a record
//
//   - Submit creates it if its key is absent. A job with an idempotency key has an id derived from team and key, so
//     a repeated submission finds the same record.
//   - Cancel sets CancelRequested by compare-and-swap on the record's revision and changes nothing else. It keeps
//     the nonce, by which the owner recognises its own writes.
//   - Batch writes everything else. Its transactions compare the create revision of the shard's owner record, so that
//     a former owner cannot change records, and the revision of each record, so that a cancellation is never
//     overwritten.
//   - Rehome, called by Rescuer, moves a job of a shard without an owner to another home shard. It compares the absence
//     of the owner record and the revision of the record of the last owner.
//
// A job with many tasks is stored in several records, see partID. Each has its own home shard and owner. All are
// created in one transaction.
//
// # Lost responses
//
// A store call fails with store.ErrUnavailable if it had no effect. After any other error the write may have applied,
// may still be in transit, or may never arrive. The writer reads the record again: its own nonce means that the write
// has applied. Otherwise it sends the same write again with the same nonce. Both attempts compare the same revisions,
// so at most one of them applies, in whichever order they arrive. If the store does not respond to any attempt, the
// caller gets ErrOutcomeUnknown, and Batch keeps the change until the outcome is known.
//
// # Owner
//
// A new owner calls LoadHome after its owner record was created, passes every record to Batch.Observe, and then reads
// Changes since the revision of LoadHome. It changes its own copy of a record and passes the copy to Batch.Put, or to
// Batch.PutLazy if no caller waits for the outcome.
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
	// MaxTasks is the maximum number of tasks of a job.
	MaxTasks = 1000
	// MaxRecordBytes is the maximum size of an encoded record. The store accepts values of 1 MB.
	MaxRecordBytes = 1_000_000
	// MaxInputBytes limits the JSON encoding of a job's input. A record with MaxTasks tasks of the maximum size that
	// trimRecord allows then stays below MaxRecordBytes.
	MaxInputBytes = 128 << 10
	// MaxKeyBytes is the maximum length of the idempotency key of a submission.
	MaxKeyBytes = 256
	// MaxReasonBytes is the maximum length of the reason stored per task.
	MaxReasonBytes = 160
	// MaxFailedOn is the maximum number of workers stored per task in FailedOn; the latest are kept.
	MaxFailedOn = 4
)

// Limits of transactions.
const (
	// MaxBatchRecords is the maximum number of records in one transaction. etcd allows 128 operations by default.
	MaxBatchRecords = 100
	// MaxTxnBytes limits the total size of the values of one transaction, unless a single record is larger.
	MaxTxnBytes = 1_000_000
	// MaxWriteAttempts is how often one call sends a write, including repeats after lost responses.
	MaxWriteAttempts = 3
	// MaxCancelAttempts is how often in succession a cancellation tries a compare-and-swap that fails, for example
	// because the owner keeps changing the record.
	MaxCancelAttempts = 30
)

// Intervals of group commit and retention.
const (
	// FlushInterval is the maximum delay of a prompt change, during which other changes join its transaction.
	FlushInterval = 25 * time.Millisecond
	// LazyFlushInterval is the maximum delay of a change whose outcome no caller waits for. With 16 shards that finish
	// tasks continuously it limits the load on the store to 80 transactions/s, where FlushInterval would allow 640.
	LazyFlushInterval = 200 * time.Millisecond
	// RetryInterval is the pause before a write is retried after an error of the store.
	RetryInterval = 200 * time.Millisecond
	// Retention is how long the record of a finished job is kept. Request keys are kept as long.
	Retention = 24 * time.Hour
	// SweepInterval is how often finished jobs are checked against Retention.
	SweepInterval = time.Minute
	// TombstoneRetention is how long the tombstone of a deleted or moved record is kept. It exceeds the duration of
	// any read of the store.
	TombstoneRetention = 10 * time.Minute
)

// Errors of this package. Callers test them with errors.Is.
const (
	// ErrInvalid means that the submission was rejected; InvalidError has the findings.
	ErrInvalid = errors.ConstError("job not valid")
	// ErrTooLarge means that a task of the job is larger than any host.
	ErrTooLarge = errors.ConstError("job larger than any host")
	// ErrNoHome means that no shard in service can accept the job now.
	ErrNoHome = errors.ConstError("no shard in service can take the job")
	// ErrNoDocument means that this host has no environment document yet.
	ErrNoDocument = errors.ConstError("no environment document yet")
	// ErrKeyReused means that the idempotency key belongs to a job with another specification.
	ErrKeyReused = errors.ConstError("idempotency key already used for a different job")
	// ErrNotAccepted means that this call wrote nothing, for example because the store is unavailable.
	ErrNotAccepted = errors.ConstError("job not accepted")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.ConstError("result of the write is not known")
	// ErrNotFound means that there is no such job.
	ErrNotFound = errors.ConstError("no such job")
	// ErrContended means that a record was changed concurrently on every attempt of a compare-and-swap.
	ErrContended = errors.ConstError("job record changes too often")
	// ErrNotOwner means that the shard has another owner, so this host may not write its job records.
	ErrNotOwner = errors.ConstError("not the owner of the shard")
	// ErrConflict means that a record was changed by a writer other than the owner and Cancel.
	ErrConflict = errors.ConstError("job record changed by another writer")
	// ErrNotTracked means that Batch got a change of a record that it has not observed.
	ErrNotTracked = errors.ConstError("job record not observed by this batch")
	// ErrRecordTooLarge means that an encoded record exceeds MaxRecordBytes.
	ErrRecordTooLarge = errors.ConstError("job record too large")
	// ErrClosed means that the batch was closed.
	ErrClosed = errors.ConstError("batch closed")
)

// InvalidError lists all findings about a submission. It matches ErrInvalid.
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

// OutcomeUnknownError identifies the job of a write whose outcome is unknown. It matches ErrOutcomeUnknown.
type OutcomeUnknownError struct {
	ID    structs.JobID
	Cause error
}

// Error returns the job id and the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("job %s: %v: %v", e.ID, ErrOutcomeUnknown, e.Cause)
}

// Unwrap returns ErrOutcomeUnknown and the cause.
func (e *OutcomeUnknownError) Unwrap() []error { return []error{ErrOutcomeUnknown, e.Cause} }
