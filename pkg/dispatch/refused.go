package dispatch

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// A record that the store refuses for good, because it is too large, must not hold up the records of other jobs. It is stored
// without its checkpoints, and set aside if it is refused even so. A job that is set aside goes on in the memory of this owner;
// its ends are acknowledged only where they leave no place for others in a worker's report, and its final state is shown once it is stored.

const (
	// minRefusedRetry and maxRefusedRetry bound the time until a value that the store has refused is tried again.
	minRefusedRetry = time.Second
	maxRefusedRetry = 30 * time.Second
)

// refusedBackOff is the time until a value that the store has refused for good is tried again. It doubles with each refusal. The zero
// value stands for no refusal.
type refusedBackOff struct {
	length time.Duration
	until  time.Duration // boot time of the next attempt
}

// extend records a refusal.
func (b *refusedBackOff) extend(now time.Duration) {
	b.length = min(max(2*b.length, minRefusedRetry), maxRefusedRetry)
	b.until = now + b.length
}

// refused reports whether the value has been refused.
func (b refusedBackOff) refused() bool { return b.length > 0 }

// refusedRecord is the progress record of a job that the store has refused for good.
type refusedRecord struct {
	bytes    int            // size of the complete record that was refused
	setAside bool           // it was refused without checkpoints as well
	backOff  refusedBackOff // only with setAside
}

// encodeProgress returns the stored form of the progress of a job.
func encodeProgress(p workload.Progress) ([]byte, error) { return json.Marshal(p) }

// encodeReduced returns the stored form of the progress of a job without the checkpoints of its tasks.
func encodeReduced(p workload.Progress) ([]byte, error) {
	p.Steps = slices.Clone(p.Steps)
	for n := range p.Steps {
		tasks := slices.Clone(p.Steps[n].Tasks)
		for i := range tasks {
			tasks[i].Checkpoint = ""
		}
		p.Steps[n].Tasks = tasks
	}
	return json.Marshal(p)
}

// withoutSetAside returns the records that may be tried now. The record of a final state is small, and always tried.
func (o *Owner) withoutSetAside(now time.Duration, records []schedule.Record) []schedule.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(records, func(r schedule.Record) bool {
		refused := o.refusedRecords[r.Job]
		return refused.setAside && now < refused.backOff.until && !r.Progress.State.Final()
	})
}

// refusedBefore moves the records of which the store has refused an earlier form to the front and returns their number. Each of
// them gets a transaction of its own.
func (o *Owner) refusedBefore(records []schedule.Record) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for i, r := range records {
		if _, refused := o.refusedRecords[r.Job]; refused {
			records[n], records[i] = records[i], records[n]
			n++
		}
	}
	return n
}

// saveUnrefused stores those of the records that the store does not refuse for good. Transactions with such a record are divided
// until it is alone.
func (o *Owner) saveUnrefused(ctx context.Context, records []schedule.Record) error {
	if len(records) == 1 && o.tooLarge(records[0]) {
		return o.saveReduced(ctx, records[0])
	}
	err := o.saveRecords(ctx, records, encodeProgress)
	if !errors.Is(err, kv.ErrRefused) {
		return err
	}
	if len(records) == 1 {
		return o.saveReduced(ctx, records[0])
	}
	half := len(records) / 2
	first, second := o.saveUnrefused(ctx, records[:half]), o.saveUnrefused(ctx, records[half:])
	if first != nil {
		return first
	}
	return second
}

// tooLarge reports whether the complete record is at least as large as one of the job that was refused.
func (o *Owner) tooLarge(r schedule.Record) bool {
	o.mu.Lock()
	refused, again := o.refusedRecords[r.Job]
	o.mu.Unlock()
	if !again {
		return false
	}
	complete, err := encodeProgress(r.Progress)
	return err == nil && len(complete) >= refused.bytes
}

// saveReduced stores a record without checkpoints after the complete one was refused, and sets it aside if that is refused too.
func (o *Owner) saveReduced(ctx context.Context, r schedule.Record) error {
	key := statekeys.Progress(o.cfg.Partition, r.Job)
	complete, err := encodeProgress(r.Progress)
	if err != nil {
		return errors.Trace(err)
	}
	o.mu.Lock()
	refused, again := o.refusedRecords[r.Job]
	o.mu.Unlock()
	err = o.saveRecords(ctx, []schedule.Record{r}, encodeReduced)
	if err != nil && !errors.Is(err, kv.ErrRefused) {
		return errors.Trace(err)
	}
	setAside := err != nil
	switch {
	case again && refused.setAside == setAside:
	case setAside:
		o.cfg.Log.Event(eventlog.RecordRefused).Str("key", key).Int("bytes", len(complete)).Err(err).Msg("")
	default:
		o.cfg.Log.Event(eventlog.RecordReduced).Str("key", key).Int("bytes", len(complete)).Msg("")
	}
	refused.bytes, refused.setAside = len(complete), setAside
	if setAside {
		refused.backOff.extend(bootclock.Uptime())
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refusedRecords[r.Job] = refused
	return nil
}

// jobEnd is the number of an end of an attempt of a job, among the ends of a worker's process.
type jobEnd struct {
	number int64
	job    workload.JobID
}

// appendEnds appends the ends with numbers above before and up to applied.
func appendEnds(list []jobEnd, ends []schedule.Ended, before, applied int64) []jobEnd {
	for _, end := range ends {
		if end.Number > before && end.Number <= applied {
			list = append(list, jobEnd{end.Number, end.Task.Job})
		}
	}
	return list
}

// endsAfter returns the ends with numbers above number.
func endsAfter(list []jobEnd, number int64) []jobEnd {
	return slices.DeleteFunc(list, func(end jobEnd) bool { return end.number <= number })
}

// lastStoredEnd returns the number of the last end, up to number, before the first one of a job that is set aside. o.mu is held.
func (o *Owner) lastStoredEnd(ends []jobEnd, number int64) int64 {
	for _, end := range ends {
		if o.refusedRecords[end.job].setAside {
			number = min(number, end.number-1)
		}
	}
	return number
}
