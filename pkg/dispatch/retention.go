package dispatch

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// retentionRecord is the stored reading of the clock with which the retention of ended jobs is measured.
type retentionRecord struct {
	ClockMs int64 `json:"clock_ms"`
}

// readRetentionClock returns the latest stored reading of the partition's clock; 0 if there is none that can be read. An error means that the
// store did not answer.
func (o *Owner) readRetentionClock(ctx context.Context) (int64, error) {
	key := statekeys.RetentionClock(o.cfg.Partition)
	item, found, err := o.cfg.Store.Get(ctx, key)
	if err != nil || !found {
		return 0, errors.Trace(err)
	}
	var record retentionRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		o.logUnreadable(key, err)
		return 0, nil
	}
	return record.ClockMs, nil
}

// storeRetentionClock stores a reading of the partition's clock, from which the next owner continues.
func (o *Owner) storeRetentionClock(ctx context.Context) {
	o.mu.Lock()
	record := retentionRecord{o.scheduler.RetentionClock(bootclock.Uptime())}
	o.mu.Unlock()
	data, err := json.Marshal(record)
	if err == nil {
		_, err = o.commit(ctx, kv.Txn{
			If:  []kv.Condition{o.ownership.Condition()},
			Put: []kv.Put{{Key: statekeys.RetentionClock(o.cfg.Partition), Value: data}},
		}, func(*kv.Conflict) {})
	}
	if err != nil && ctx.Err() == nil {
		o.cfg.Log.Event(eventlog.ProgressNotStored).Str("record", "retention clock").Err(err).Msg("")
	}
}
