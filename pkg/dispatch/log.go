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
	schedule.EventWorkerRestarted:  eventlog.WorkerRestarted,
	schedule.EventWorkerReplaced:   eventlog.WorkerReplaced,
	schedule.EventAttemptCrashed:   eventlog.AttemptCrashed,
	schedule.EventWorkerInBackOff:  eventlog.WorkerInBackOff,
	schedule.EventFillersThrottled: eventlog.FillersThrottled,
	schedule.EventTaskMoved:        eventlog.TaskMoved,
}

// countEvent counts an event of the scheduler in the metrics.
func (o *Owner) countEvent(kind schedule.EventKind) {
	switch kind {
	case schedule.EventWorkerReplaced, schedule.EventWorkerRestarted:
		o.metrics.crashes.Inc(1)
	case schedule.EventAttemptCrashed:
		o.metrics.crashedRuns.Inc(1)
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
	if e.Worker != "" {
		entry = entry.Str("worker", string(e.Worker))
	}
	if e.Reason != "" {
		entry = entry.Str("how", e.Reason)
	}
	if e.Value != 0 {
		entry = entry.Float64("value", e.Value)
	}
	entry.Msg("")
}

// statusInterval is the time between two log entries with the totals of the partition.
const statusInterval = 2 * time.Second

// logStatus logs the totals of the partition periodically until ctx ends.
func (o *Owner) logStatus(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, statusInterval)
		o.mu.Lock()
		c := o.scheduler.Counts(bootclock.Now())
		o.mu.Unlock()
		o.cfg.Log.Event(eventlog.PartitionStatus).Int64("term", o.ownership.Term).
			Int("jobs", c.Jobs).Int("workers", c.Workers).Int("available", c.Available).
			Int("services", c.Services).Int("fillers", c.Fillers).Int("others", c.Others).
			Int("waiting", c.Pending).Int("waiting_fillers", c.PendingFillers).
			Int64("capacity", c.Capacity).Int64("reserved", c.Reserved).
			Int64("filler_demand", c.FillerDemand).Int64("filler_use", c.FillerUse).
			Int("services_over", c.ServicesOverTarget).Int("fillers_slowed", c.FillersThrottled).Msg("")
	}
}
