package schedule

import (
	"slices"
	"time"
)

// returnDelay is how long after its latest failure a task that has found no other worker avoids those on which it has failed. It is
// longer than the first back-off of a worker, so that tasks which have not failed there show first whether the worker has recovered.
// With the start it stays below the 3 s that the platform allows while there is capacity.
const returnDelay = firstFailureBackOff + 250*time.Millisecond

// recordFailedOn records that the task has failed on a worker.
func (t *task) recordFailedOn(now time.Duration, id WorkerID) {
	t.failedAt = now
	if !slices.Contains(t.failedOn, id) {
		t.failedOn = append(t.failedOn, id)
	}
}

// forgetFailedOn lets a task that has waited for returnDelay start on the workers on which it has failed: no other worker may suit
// it, and they may have recovered.
func (t *task) forgetFailedOn(now time.Duration) {
	if len(t.failedOn) > 0 && now-t.failedAt >= returnDelay {
		t.failedOn = nil
	}
}
