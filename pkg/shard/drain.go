package shard

import (
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// Limits of moving work away.
const (
	// moveInterval spaces the stops of tasks that leave a data centre, so that their checkpoints do not fill the links.
	moveInterval = 100 * time.Millisecond
	// rehomeAfter is how long a job may wait without a running task before another shard is considered.
	rehomeAfter = 5 * time.Second
	// rehomeBatch bounds the jobs that leave the shard per cycle.
	rehomeBatch = 16
)

// drain stops tasks on leaving workers and, when the data centre is out of service, on all workers, and gives jobs
// without attempts in progress a new home. Called by the loop goroutine, no lock held.
func (l *Loop) drain() {
	out := l.cfg.Environment.Datacentre(l.shard.Datacentre) == structs.DatacentreOut
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopMovable(out, now)
	l.rehome(out, now)
}

// stopMovable schedules stops of checkpointable tasks that have to leave their workers. Kinds that cannot be
// checkpointed and kinds that are not idempotent run to their end. Called with mu held.
func (l *Loop) stopMovable(out bool, now time.Time) {
	due := now
	for _, w := range l.table.workers {
		if !out && w.host.State != structs.HostLeaving {
			continue
		}
		for id := range w.commitments {
			j, rec := l.table.task(id)
			if rec == nil || rec.State != structs.TaskRunning {
				continue
			}
			if kind, ok := l.kind(j.record.Spec.Kind); !ok || !kind.Checkpointable || !kind.Idempotent {
				continue
			}
			l.stopTask(id, j, rec, due)
			due = due.Add(moveInterval)
		}
	}
}

// rehome moves jobs without attempts in progress to other shards. Called with mu held.
func (l *Loop) rehome(out bool, now time.Time) {
	moved := 0
	for id, j := range l.table.jobs {
		if moved >= rehomeBatch {
			return
		}
		if !idle(&j.record) {
			j.idleSince = now
			continue
		}
		waited := now.Sub(j.waitingSince()) > rehomeAfter
		if j.record.Home != l.shard || !j.durable() || (!out && !waited) {
			continue
		}
		home, ok := l.cfg.Homes.ChooseHome(j.record, l.shard)
		if !ok {
			continue
		}
		j.record.Home = home
		j.record.HomeSince = now
		j.dirty = true
		moved++
		l.cfg.Log.Event(eventlog.JobRehomed).Str("job", string(id)).Str("home", home.String()).Msg("")
	}
}

// waitingSince returns when the job began to wait in this shard without an attempt in progress.
func (j *job) waitingSince() time.Time {
	if j.adoptedAt.Before(j.idleSince) {
		return j.idleSince
	}
	return j.adoptedAt
}
