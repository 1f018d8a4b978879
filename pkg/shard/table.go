package shard

import (
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
)

// job is one job homed in the shard.
type job struct {
	record    structs.JobRecord
	dirty     bool         // the record has changes that are not yet queued
	ticket    *jobs.Ticket // latest queued write; nil when the record is as read
	fresh     bool         // created, or moved here, after this host acquired the shard
	adoptedAt time.Time
	idleSince time.Time // last time when an attempt was in progress
}

// commitment is the capacity reserved on a worker for one attempt that runs or may run there.
type commitment struct {
	attempt  int
	kind     structs.KindName
	reserved structs.Resources
	since    time.Time
	report   structs.WorkerTask   // latest report; zero State until the first one
	command  structs.StartCommand // as sent; repeated while settling
	settling bool                 // the start command is not yet answered with certainty
	sentOnce bool                 // the start command was sent at least once
	stopAt   time.Time            // when the next stop command is due; zero if the attempt is not being stopped
	sending  bool                 // a command for the attempt is in progress
}

// workerEntry is what the owner knows about one worker of the shard.
type workerEntry struct {
	host        structs.Host
	listed      bool      // in the host list now
	known       bool      // an inventory was received under this epoch
	clock       int64     // latest reading of the worker's clock; 0 before the first inventory
	clockAt     time.Time // when that reading was received; the worker took it no later
	leasedFrom  time.Time // no lease on the worker runs from a later moment
	heardAt     time.Time // when the last inventory was received
	absentSince time.Time // when renewals began to fail; zero while they succeed
	commitments map[structs.TaskID]*commitment
	ended       map[attempt]struct{}    // ended attempts that the worker reports until acknowledged
	foreign     map[attempt]*commitment // running here but not the current attempt of a task homed in the shard
	renewing    bool
}

// attempt names one attempt of a task.
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

// free returns the capacity that may still be committed.
func (w *workerEntry) free() structs.Resources {
	return w.host.Capacity.Sub(w.committed())
}

// usable reports whether new tasks may be placed on the worker.
func (w *workerEntry) usable(now time.Time) bool {
	return w.listed && w.known && w.host.State == structs.HostLive && now.Sub(w.heardAt) < unreachableAfter
}

// table is the shared state of a shard loop. Loop.mu guards every field.
type table struct {
	jobs    map[structs.JobID]*job
	workers map[structs.HostID]*workerEntry
}

func newTable() *table {
	return &table{jobs: map[structs.JobID]*job{}, workers: map[structs.HostID]*workerEntry{}}
}

// worker returns the entry of a worker and creates one if it is missing. A worker that is not in the host list still
// gets an entry, because tasks may run there until their leases have expired.
func (t *table) worker(id structs.HostID, leasedFrom time.Time) *workerEntry {
	entry, ok := t.workers[id]
	if !ok {
		entry = &workerEntry{
			host:        structs.Host{ID: id},
			leasedFrom:  leasedFrom,
			commitments: map[structs.TaskID]*commitment{},
			ended:       map[attempt]struct{}{},
			foreign:     map[attempt]*commitment{},
		}
		t.workers[id] = entry
	}
	return entry
}

// task returns the record of a task of a job homed here, or nil.
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
