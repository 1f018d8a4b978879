package dispatch

import (
	"context"
	"time"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/pause"
)

// eventCodes maps the kinds of scheduler events to log events.
var eventCodes = map[schedule.EventKind]eventlog.Code{
	schedule.EventTaskStarted:      eventlog.TaskStartDecided,
	schedule.EventTaskEnded:        eventlog.TaskEndRecorded,
	schedule.EventAttemptLost:      eventlog.AttemptLost,
	schedule.EventAttemptExpired:   eventlog.AttemptExpired,
	schedule.EventAttemptAdopted:   eventlog.AttemptAdopted,
	schedule.EventAttemptOrphaned:  eventlog.AttemptOrphaned,
	schedule.EventJobEnded:         eventlog.JobEnded,
	schedule.EventWorkerDraining:   eventlog.WorkerDraining,
	schedule.EventEndsAwaited:      eventlog.EndsAwaited,
	schedule.EventFenceRaised:      eventlog.FenceRaised,
	schedule.EventJobPoolChanged:   eventlog.JobPoolChanged,
	schedule.EventWorkerRestarted:  eventlog.WorkerRestarted,
	schedule.EventWorkerReplaced:   eventlog.WorkerReplaced,
	schedule.EventAttemptCrashed:   eventlog.AttemptCrashed,
	schedule.EventWorkerInBackOff:  eventlog.WorkerInBackOff,
	schedule.EventFillersThrottled: eventlog.FillersThrottled,
	schedule.EventTaskMoved:        eventlog.TaskMoved,
	schedule.EventTaskPreempted:    eventlog.TaskPreempted,
	schedule.EventTaskNominated:    eventlog.TaskNominated,
}

// countEvent counts an event of the scheduler in the metrics.
func (o *Owner) countEvent(kind schedule.EventKind) {
	switch kind {
	case schedule.EventWorkerReplaced, schedule.EventWorkerRestarted:
		o.metrics.crashes.Inc(1)
	case schedule.EventAttemptCrashed:
		o.metrics.crashedRuns.Inc(1)
	case schedule.EventTaskPreempted:
		o.metrics.preemptions.Inc(1)
	}
}

// logEvent counts and logs an event of the scheduler.
func (o *Owner) logEvent(e schedule.Event) {
	o.countEvent(e.Kind)
	entry := o.cfg.Log.Event(eventCodes[e.Kind]).Int64("term", o.ownership.Term)
	if e.Job != "" {
		entry = entry.Str("job", string(e.Job))
	}
	if e.Attempt > 0 {
		entry = entry.Int("occurrence", e.Task.Occurrence).Int("step", e.Task.Step).Int("task", e.Task.Index).
			Int64("attempt", e.Attempt)
	}
	if e.For.Job != "" {
		entry = entry.Str("for_job", string(e.For.Job)).Int("for_occurrence", e.For.Occurrence).
			Int("for_step", e.For.Step).Int("for_task", e.For.Index)
	}
	if e.Worker != "" {
		entry = entry.Str("worker", string(e.Worker))
	}
	if e.Reason != "" {
		entry = entry.Str("how", e.Reason)
	}
	if e.Value != 0 {
		entry = entry.Float64("value", e.Value)
	}
	if e.Age > 0 {
		entry = entry.Int64("age", ms(clampAge(e.Age)))
	}
	if e.Waited > 0 {
		entry = entry.Int64("waited", ms(e.Waited)).Int64("stored", ms(e.Stored))
	}
	if e.WaitReason != schedule.Suitable {
		entry = entry.Str("reason", e.WaitReason.String())
	}
	entry.Msg("")
}

// statusInterval is the time between two log entries with the totals of the partition.
const statusInterval = 2 * time.Second

// logStatus logs the totals of the partition, why tasks wait and which workers are not used, periodically until ctx ends.
func (o *Owner) logStatus(ctx context.Context) {
	o.statusClock.next()
	var late lateness
	var waits waitLog
	defer o.metrics.status.publish(&status{}) // the gauges of an owner that has ended
	for ctx.Err() == nil {
		pause.For(ctx, statusInterval)
		s := o.takeStatus()
		o.metrics.status.publish(&s)
		s.log(o.cfg.Log, o.ownership.Term)
		for _, w := range waits.choose(bootclock.Uptime(), s.waits.Steps) {
			logWaiting(o.cfg.Log, o.ownership.Term, &w)
		}
		for _, line := range s.use {
			line.log(o.cfg.Log, o.ownership.Term, s.counts.ListAge)
		}
		late.update(time.Now(), &s, o.cfg.Log, o.ownership.Term)
	}
}
