package shard

import (
	"fmt"
	"time"

	"fulmarcourse.example/core/structs"
	"github.com/juju/errors"
)

// Digest returns the batch capacity and backlog of the shard, which heartbeats report.
func (l *Loop) Digest() structs.ShardDigest {
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	digest := structs.ShardDigest{Shard: l.shard, Epoch: l.epoch}
	for _, w := range l.table.workers {
		if w.listed && w.host.State == structs.HostLive {
			// A worker without an inventory yet still counts: it can run the tasks of a job that is submitted now.
			digest.Largest = maxResources(digest.Largest, w.host.Capacity)
		}
		if w.usable(now) {
			digest.Free = digest.Free.Add(w.free())
		}
	}
	if ramp := l.datacentreDrain.ramp; ramp != nil {
		digest.Free = scaleResources(digest.Free, ramp.Share(now))
	}
	for _, j := range l.table.jobs {
		digest.Pending += j.record.Pending()
	}
	return digest
}

func scaleResources(r structs.Resources, share float64) structs.Resources {
	return structs.Resources{
		MilliCPU:     int64(float64(r.MilliCPU) * share),
		MemoryBytes:  int64(float64(r.MemoryBytes) * share),
		Accelerators: int64(float64(r.Accelerators) * share),
	}
}

func maxResources(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// Explain returns one sentence on why a task is pending, where it runs or how it ended. It fails with errors.NotFound
// if the task is not homed in the shard.
func (l *Loop) Explain(id structs.TaskID) (string, error) {
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	j, rec := l.table.task(id)
	if rec == nil {
		return "", errors.NotFoundf("task %s in shard %s", id, l.shard)
	}
	switch rec.State {
	case structs.TaskPending:
		return l.explainPending(j, rec, now), nil
	case structs.TaskStarting, structs.TaskRunning, structs.TaskStopping:
		return fmt.Sprintf("%s on worker %s, attempt %d, shard %s", rec.State, rec.Worker, rec.Attempt, l.shard), nil
	}
	return fmt.Sprintf("%s: %s", rec.State, rec.Reason), nil
}

// explainPending returns the first condition that keeps a pending task from starting. Called with mu held.
func (l *Loop) explainPending(j *job, rec *structs.TaskRecord, now time.Time) string {
	if err := l.cfg.Permits.MayStart(); err != nil {
		return "pending: the data centre may not start tasks: " + err.Error()
	}
	if !l.recovered(j) {
		return "pending: the shard has a new owner that still waits for the inventories of its workers"
	}
	need := l.declared(j)
	fitting := 0
	for _, w := range l.table.workers {
		if w.usable(now) && need.Fits(w.free()) {
			fitting++
		}
	}
	if fitting == 0 {
		return fmt.Sprintf("pending: no worker of shard %s has %dm cpu, %d bytes memory and %d accelerators free",
			l.shard, need.MilliCPU, need.MemoryBytes, need.Accelerators)
	}
	return fmt.Sprintf("pending: %d workers fit, waiting for the next planning cycle or a quota; last reason %q", fitting, rec.Reason)
}
