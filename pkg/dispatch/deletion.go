package dispatch

import (
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// An ended job that is deleted from the store stays known to the scheduler until the watch of the submissions shows that it is
// gone: what was read before would otherwise add it again, as a job that has not started. Owner.deletions holds the jobs whose
// deletion was requested, with the store revision of the deletion, or 0 until the store has confirmed it.

// recordDeletions records that the deletion of jobs was requested, or its revision. Jobs that are already forgotten are left
// out.
func (o *Owner) recordDeletions(ids []workload.JobID, revision int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range ids {
		if o.scheduler.HasJob(id) {
			o.deletions[id] = revision
		}
	}
}

// forgetUnlisted forgets the deleted jobs that a complete read of the submissions does not list, or lists as created again.
func (o *Owner) forgetUnlisted(items []kv.Item) {
	created := make(map[workload.JobID]int64, len(items))
	for _, item := range items {
		if id, cancel, ok := statekeys.ParseSubmission(o.cfg.Partition, item.Key); ok && !cancel {
			created[id] = item.Created
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, revision := range o.deletions {
		at, listed := created[id]
		if revision > 0 && (!listed || at > revision) {
			o.forgetJob(id)
		}
	}
}

// forgetDeleted forgets the jobs that changes of the submissions show as deleted.
func (o *Owner) forgetDeleted(changes []kv.Change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, change := range changes {
		id, cancel, ok := statekeys.ParseSubmission(o.cfg.Partition, change.Item.Key)
		if !change.Deleted || !ok || cancel {
			continue
		}
		if _, requested := o.deletions[id]; requested {
			o.forgetJob(id)
		}
	}
}

// forgetJob drops an ended job that is deleted from the store. o.mu is held.
func (o *Owner) forgetJob(id workload.JobID) {
	o.scheduler.RemoveJob(id)
	delete(o.revisions, id)
	delete(o.deletions, id)
	delete(o.refusedRecords, id)
}

// remaining returns the items that were written and not deleted again by the same changes.
func remaining(changes []kv.Change) []kv.Item {
	deletedAt := map[string]int64{}
	for _, change := range changes {
		if change.Deleted {
			deletedAt[change.Item.Key] = change.Item.Revision
		}
	}
	var items []kv.Item
	for _, change := range changes {
		if !change.Deleted && change.Item.Revision > deletedAt[change.Item.Key] {
			items = append(items, change.Item)
		}
	}
	return items
}
