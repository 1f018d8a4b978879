package quarantine

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// ResultsOf returns the ends of attempts in an inventory that was received at received. Only tasks that ended by
// themselves say anything about worker and job: one that was stopped, or whose lease expired, does not. A worker
// reports an end until it is acknowledged, so the caller passes seen to skip those it has already recorded.
func ResultsOf(inventory structs.Inventory, received time.Time, seen func(task structs.TaskID, attempt int) bool) []Result {
	var results []Result
	for _, t := range inventory.Tasks {
		ended := t.State == structs.OnWorkerDone || t.State == structs.OnWorkerFailed
		if !ended || seen(t.Task, t.Attempt) {
			continue
		}
		results = append(results, Result{Worker: inventory.Worker, Task: t.Task, OK: t.State == structs.OnWorkerDone, At: received})
	}
	return results
}
