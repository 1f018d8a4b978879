package shard

import (
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
)

// job is one job homed in the shard.
type job struct {
	record              structs.JobRecord
	dirty               bool         // the record has changes that are not yet queued
	ticket              *jobs.Ticket // latest queued write; nil if the record was not written since it was read
	arrivedAfterAcquire bool         // created, or moved here, after this host acquired the shard
	adoptedAt           time.Time    // when the job was added to the table
	idleSince           time.Time    // last time at which the job was not waiting for capacity
}

// commitment is the reservation of capacity on a worker for one attempt that runs or may run there.
type commitment struct {
	attempt  int
	kind     structs.KindName
	reserved structs.Resources
	// since is when the commitment was made, or when a start command or a confirmed stop of the attempt last returned,
	// whichever is later. Only an inventory that was requested after it can prove that the attempt does not run.
	since       time.Time
	report      structs.WorkerTask   // latest report; zero State until the first one
	command     structs.StartCommand // as sent; repeated while unconfirmed
	unconfirmed bool                 // the outcome of the start command is unknown
	sentBefore  bool                 // a start command of the attempt was sent before and its outcome is unknown
	stopAt      time.Time            // when the next stop command is due; zero if the attempt is not being stopped
	sending     bool                 // a command for the attempt is in progress
}

// commanded reports whether this owner has decided to send a start command of the attempt.
func (c *commitment) commanded() bool { return c.command.Attempt != 0 }

// workerEntry is the state of one worker of the shard as seen by the owner.
type workerEntry struct {
	host              structs.Host
	listed            bool      // in the current host list
	inventoryReceived bool      // under this epoch, since the records were read
	clock             int64     // latest reading of the worker's clock, in ns; 0 before the first inventory
	clockAt           time.Time // when that reading was received, which is not before the worker took it
	latestLeaseStart  time.Time // no lease on the worker starts later than this
	inventoryAt       time.Time // when the latest inventory was requested
	unreachableSince  time.Time // when the first failed renewal was sent; zero while renewals succeed
	commitments       map[structs.TaskID]*commitment
	ended             map[attempt]struct{}    // ended attempts, which the worker reports until they are acknowledged
	foreign           map[attempt]*commitment // running, but not the current attempt of a task homed in the shard
	renewing          bool                    // a renewal is in progress
}

// attempt identifies one attempt of a task.
type attempt struct {
	task   structs.TaskID
	number int
}

// committed returns the capacity that is reserved or may be in use on the worker.
func (w *workerEntry) committed() structs.Resources {
	var sum structs.Resources
	for _, c := range w.commitments {
		sum = sum.Add(c.reserved)
	}
	for _, f := range w.foreign {
		sum = sum.Add(f.reserved)
	}
	return sum
}

// free returns the capacity that is not committed.
func (w *workerEntry) free() structs.Resources {
	return w.host.Capacity.Sub(w.committed())
}

// usable reports whether new tasks may be placed on the worker.
func (w *workerEntry) usable(now time.Time) bool {
	return w.listed && w.inventoryReceived && w.host.State == structs.HostLive && now.Sub(w.inventoryAt) < unreachableAfter
}

// table holds the jobs and workers of a shard. Loop.mu guards every field, also those of the entries.
type table struct {
	jobs    map[structs.JobID]*job
	workers map[structs.HostID]*workerEntry
}

func newTable() *table {
	return &table{jobs: map[structs.JobID]*job{}, workers: map[structs.HostID]*workerEntry{}}
}

// worker returns the entry of a worker and creates it if it is missing. A worker that is not in the host list has an
// entry too, because tasks may run there until their leases have expired.
func (t *table) worker(id structs.HostID, leasedFrom time.Time) *workerEntry {
	entry, ok := t.workers[id]
	if !ok {
		entry = &workerEntry{
			host:             structs.Host{ID: id},
			latestLeaseStart: leasedFrom,
			commitments:      map[structs.TaskID]*commitment{},
			ended:            map[attempt]struct{}{},
			foreign:          map[attempt]*commitment{},
		}
		t.workers[id] = entry
	}
	return entry
}

// task returns the job and the record of a task homed here, or nil.
func (t *table) task(id structs.TaskID) (*job, *structs.TaskRecord) {
	j, ok := t.jobs[id.Job]
	if !ok || id.Index < 0 || id.Index >= len(j.record.Tasks) {
		return nil, nil
	}
	return j, &j.record.Tasks[id.Index]
}

// commit reserves capacity for an attempt on a worker.
func (t *table) commit(w *workerEntry, id structs.TaskID, c commitment) *commitment {
	entry := &c
	w.commitments[id] = entry
	return entry
}
