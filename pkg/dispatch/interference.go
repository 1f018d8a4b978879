package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/placement/learn"
	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/pause"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// interferenceSaveInterval is the time between two writes of the interference model. A new owner loses at most the
// samples of one interval.
const interferenceSaveInterval = 3 * time.Second

// loadInterference loads the interference model stored by the former owner into the scheduler. The model is optional:
// if it cannot be read, the owner starts without it.
func (o *Owner) loadInterference(ctx context.Context) {
	item, found, err := o.cfg.Store.Get(ctx, statekeys.Interference(o.cfg.Partition))
	if err == nil && !found {
		return
	}
	var state learn.SlowdownState
	if err == nil {
		err = json.Unmarshal(item.Value, &state)
	}
	if err != nil {
		o.logUnreadable(statekeys.Interference(o.cfg.Partition), err)
		return
	}
	o.update(func(s *schedule.Scheduler, now schedule.Time) { s.RestoreInterference(now, state) })
}

// saveInterference stores the interference model periodically until ctx ends.
func (o *Owner) saveInterference(ctx context.Context) {
	failing := false
	for {
		pause.For(ctx, interferenceSaveInterval)
		if ctx.Err() != nil {
			return
		}
		o.mu.Lock()
		state := o.scheduler.InterferenceState()
		o.mu.Unlock()
		if len(state.Victims) == 0 {
			continue
		}
		err := o.putInterference(ctx, state)
		if err != nil && ctx.Err() == nil && !failing {
			o.cfg.Log.Event(eventlog.ProgressNotStored).Str("record", "interference").Err(err).Msg("")
		}
		failing = err != nil
	}
}

func (o *Owner) putInterference(ctx context.Context, state learn.SlowdownState) error {
	data, err := json.Marshal(state)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = o.commit(ctx, kv.Txn{
		If:  []kv.Condition{o.ownership.Condition()},
		Put: []kv.Put{{Key: statekeys.Interference(o.cfg.Partition), Value: data}},
	}, func(*kv.Conflict) {})
	return errors.Trace(err)
}
