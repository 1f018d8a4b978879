package schedule

import (
	"time"

	"fulmarcourse.example/core/workload"
)

// Ended jobs are kept for some time. Their owners run on several hosts, whose wall clocks differ and may be set, so that time is measured with a
// clock of the partition: it counts the time under its owners, each of which continues from the latest reading that is stored. It is behind
// by the time without an owner and since that reading, so jobs are kept for longer, never for shorter.

// retentionClock is the clock of the partition, as this owner continues it.
type retentionClock struct {
	baseMs int64         // reading at from
	from   time.Duration // boot time
}

func (c retentionClock) read(now time.Duration) int64 {
	return c.baseMs + (now - c.from).Milliseconds()
}

// RestoreRetentionClock continues the clock from the latest reading that a former owner has stored, in milliseconds; 0 if there is none: former
// versions have recorded the ends of jobs by their wall clocks. It must be called before the jobs of former owners are added. Jobs that were
// announced and have ended before are dated anew.
func (s *Scheduler) RestoreRetentionClock(now Time, storedMs int64) {
	if storedMs <= 0 {
		storedMs = now.UnixMs
	}
	before := s.retention.read(now.Boot)
	s.retention = retentionClock{storedMs, now.Boot}
	for _, j := range s.jobs {
		if j.state.Final() {
			j.endedMs += storedMs - before
		}
	}
}

// RetentionClock returns the reading of the partition's clock, in milliseconds.
func (s *Scheduler) RetentionClock(now time.Duration) int64 { return s.retention.read(now) }

// inheritedEndMs returns when a job has ended that a former owner has recorded. One that would lie ahead was recorded after the latest
// reading was stored, or by a wall clock.
func (s *Scheduler) inheritedEndMs(recordedMs int64) int64 {
	return min(recordedMs, s.RetentionClock(max(s.calledAt, s.retention.from)))
}

// JobsEndedFor returns the jobs that reached a stored final state longer than the retention ago and have no attempts left.
func (s *Scheduler) JobsEndedFor(now, retention time.Duration) []workload.JobID {
	before := s.RetentionClock(now) - retention.Milliseconds()
	var ids []workload.JobID
	for id, j := range s.jobs {
		if _, dirty := s.dirty[j]; j.state.Final() && !dirty && j.attempts == 0 && j.endedMs < before {
			ids = append(ids, id)
		}
	}
	return ids
}
