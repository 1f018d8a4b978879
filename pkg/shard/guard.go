package shard

import (
	"context"
	"time"

	"fulmarcourse.example/core/guard"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// guardInterval is the time between two steps of the guard.
const guardInterval = time.Second

// stepGuard throttles and evicts tasks on workers where the guard policy requires it. Called by the loop goroutine
// without mu.
func (l *Loop) stepGuard(ctx context.Context) {
	now := l.cfg.Clock()
	latency := l.cfg.Environment.LatencyByMachine()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, action := range l.guard.Step(now, l.hostSignals(latency, now)) {
		switch action.Kind {
		case guard.SetThrottle:
			l.throttle(ctx, action)
		case guard.Evict:
			l.cfg.Log.Event(eventlog.TaskEvicted).Str("task", action.Task.String()).Str("worker", string(action.Host)).Msg(action.Reason)
			l.stopByID(action.Task, now)
		}
	}
}

// hostSignals returns the usage and latency of all listed workers that have sent an inventory. Called with mu held.
func (l *Loop) hostSignals(latency map[string]float64, now time.Time) []guard.HostSignal {
	var signals []guard.HostSignal
	for id, w := range l.table.workers {
		if !w.listed || !w.inventoryReceived {
			continue
		}
		signal := guard.HostSignal{Host: id, Capacity: w.host.Capacity, Latency: latency[w.host.Machine], Age: now.Sub(w.inventoryAt)}
		for task, c := range w.commitments {
			if c.report.State != structs.WorkerTaskRunning {
				continue
			}
			signal.Usage = signal.Usage.Add(c.report.Usage)
			signal.Age = max(signal.Age, now.Sub(w.inventoryAt)+c.report.UsageAge)
			signal.Tasks = append(signal.Tasks, l.taskSignal(task, c))
		}
		signals = append(signals, signal)
	}
	return signals
}

// taskSignal returns the usage and properties of one running attempt. Called with mu held.
func (l *Loop) taskSignal(id structs.TaskID, c *commitment) guard.TaskSignal {
	kind, _ := l.lookupKind(c.kind)
	signal := guard.TaskSignal{
		Task:           id,
		Attempt:        c.attempt,
		Usage:          c.report.Usage,
		Reserved:       c.reserved,
		Throttle:       c.report.Throttle,
		Checkpointable: kind.Checkpointable,
		Idempotent:     kind.Idempotent,
		LostWork:       lostWork(kind, c),
	}
	if j, ok := l.table.jobs[id.Job]; ok {
		signal.Urgent = j.record.Spec.Urgent
	}
	return signal
}

// throttle sends one throttle command. A lost command is repeated in the guard's next step, because the worker reports
// the throttle in effect. Called with mu held; the call itself runs without it.
func (l *Loop) throttle(ctx context.Context, action guard.Action) {
	w, ok := l.table.workers[action.Host]
	if !ok {
		return
	}
	ref := l.attemptRef(action.Task, action.Attempt)
	l.goCall(ctx, commandTimeout, func(ctx context.Context) {
		if _, err := l.checkOwnership(); err != nil {
			return
		}
		if err := l.cfg.Workers.Throttle(ctx, w.host.Address, ref, action.Share); err != nil {
			l.cfg.Log.Event(eventlog.ThrottleFailed).Str("task", action.Task.String()).Err(err).Msg("")
		}
	})
}
