package dispatch

import (
	"time"

	"fulmarcourse.example/core/workload"
)

// deletedRetention is how long the deletion of a job is remembered. Reads of the store and announcements that began before
// the deletion arrive earlier, unless their host was paused for longer.
const deletedRetention = 10 * time.Minute

// deletedJobs records which jobs this owner has deleted from the store. What was read before a deletion must not bring the
// job back: without its progress all of it would run again. The zero value is empty.
type deletedJobs struct {
	byID map[workload.JobID]deletion
}

type deletion struct {
	revision int64         // store revision of the deletion
	at       time.Duration // boot time
}

func (d *deletedJobs) add(id workload.JobID, revision int64, now time.Duration) {
	if d.byID == nil {
		d.byID = map[workload.JobID]deletion{}
	}
	d.byID[id] = deletion{revision: revision, at: now}
}

// deleted reports whether a job that was created at a store revision has been deleted since.
func (d *deletedJobs) deleted(id workload.JobID, created int64) bool {
	deletion, found := d.byID[id]
	return found && created <= deletion.revision
}

// announced reports whether an announcement of a job may be about one that has been deleted. A new job with its ID is found in
// the store.
func (d *deletedJobs) announced(id workload.JobID) bool {
	_, found := d.byID[id]
	return found
}

// expire drops the deletions that are older than deletedRetention.
func (d *deletedJobs) expire(now time.Duration) {
	for id, deletion := range d.byID {
		if now-deletion.at >= deletedRetention {
			delete(d.byID, id)
		}
	}
}
