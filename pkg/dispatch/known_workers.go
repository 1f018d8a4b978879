package dispatch

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// The workers from which a later owner needs a report are stored in parts, each under a key of its own, so that the size of a
// value does not depend on the number of workers and only what has changed is written.

const (
	// workersPerPart and maxKnownWorkerBytes bound the size of a part. The store accepts values of at most 1 MiB.
	workersPerPart      = 128
	maxKnownWorkerBytes = 4 << 10
)

// knownWorker is what a later owner needs of a worker before it has read the platform's list: where to poll it, and what tells its
// process from the next one. Former versions have stored all of schedule.WorkerInfo under the same names.
type knownWorker struct {
	ID         schedule.WorkerID
	Address    string
	Datacentre structs.DatacentreID
	Pool       workload.PoolName
	StartedMs  int64
	Draining   bool `json:",omitempty"`

	// Nanoseconds; none from former versions.
	LeaseRemaining time.Duration `json:",omitempty"`
	GrantedLease   time.Duration `json:",omitempty"`
	FormerCalls    time.Duration `json:",omitempty"`

	FenceOffset int64 `json:",omitempty"` // 0 from former versions
}

func newKnownWorker(info schedule.WorkerInfo) knownWorker {
	return knownWorker{
		ID: info.ID, Address: info.Address, Datacentre: info.Datacentre, Pool: info.Pool, StartedMs: info.StartedMs, Draining: info.Draining,
		LeaseRemaining: info.LeaseRemaining, GrantedLease: info.GrantedLease, FormerCalls: info.FormerCalls, FenceOffset: info.FenceOffset,
	}
}

func (w knownWorker) info() schedule.WorkerInfo {
	return schedule.WorkerInfo{
		ID: w.ID, Address: w.Address, Datacentre: w.Datacentre, Pool: w.Pool, StartedMs: w.StartedMs, Draining: w.Draining,
		LeaseRemaining: w.LeaseRemaining, GrantedLease: w.GrantedLease, FormerCalls: w.FormerCalls, FenceOffset: w.FenceOffset,
	}
}

// tooLong reports whether the description of a worker is longer than that of any worker that answers.
func (w knownWorker) tooLong() bool {
	return len(w.ID)+len(w.Address)+len(w.Datacentre)+len(w.Pool) > maxKnownWorkerBytes
}

// knownWorkers divides the known workers into parts. Owner.mu guards it.
type knownWorkers struct {
	parts  []*knownPart // by number
	partOf map[schedule.WorkerID]int
}

// knownPart is the part of the known workers under one key.
type knownPart struct {
	workers    map[schedule.WorkerID]knownWorker // to be stored
	revision   int64                             // store revision of the key; 0 if it does not exist
	dirty      bool                              // the stored value may differ from workers
	unreadable bool                              // the stored value cannot be decoded
	backOff    refusedBackOff
}

// part returns a part, and adds the parts up to it that do not exist.
func (k *knownWorkers) part(n int) *knownPart {
	for len(k.parts) <= n {
		k.parts = append(k.parts, &knownPart{workers: map[schedule.WorkerID]knownWorker{}})
	}
	return k.parts[n]
}

// replace replaces the known workers. A worker stays in its part. One whose description is too long is not added, and keeps its
// former description if it has one. The result holds the workers that are stored as they are.
func (k *knownWorkers) replace(infos []schedule.WorkerInfo) (stored []schedule.WorkerInfo) {
	known := make(map[schedule.WorkerID]bool, len(infos))
	for _, info := range infos {
		known[info.ID] = true
		k.set(newKnownWorker(info))
	}
	for id, n := range k.partOf {
		if !known[id] {
			delete(k.parts[n].workers, id)
			delete(k.partOf, id)
			k.parts[n].dirty = true
		}
	}
	for _, info := range infos {
		if n, added := k.partOf[info.ID]; added && !k.parts[n].dirty {
			stored = append(stored, k.parts[n].workers[info.ID].info())
		}
	}
	return stored
}

// set adds or updates a worker.
func (k *knownWorkers) set(w knownWorker) {
	if w.tooLong() {
		return
	}
	n, added := k.partOf[w.ID]
	if !added {
		n = k.partWithRoom()
		k.partOf[w.ID] = n
	}
	p := k.part(n)
	if p.workers[w.ID] != w {
		p.workers[w.ID] = w
		p.dirty = true
	}
}

// partWithRoom returns the number of the first part that takes another worker.
func (k *knownWorkers) partWithRoom() int {
	n := slices.IndexFunc(k.parts, func(p *knownPart) bool {
		return len(p.workers) < workersPerPart && !p.unreadable && !p.backOff.refused()
	})
	if n < 0 {
		return len(k.parts)
	}
	return n
}

// due returns the numbers of the parts that have to be stored now. A part that could not be read is overwritten last: it may hold
// workers that are known from their reports and are not stored in another part yet.
func (k *knownWorkers) due(now time.Duration) []int {
	var due []int
	dirty := false
	for n, p := range k.parts {
		dirty = dirty || p.dirty && !p.unreadable
		if p.dirty && !p.unreadable && now >= p.backOff.until {
			due = append(due, n)
		}
	}
	if dirty {
		return due
	}
	for n, p := range k.parts {
		if p.dirty && p.unreadable {
			due = append(due, n)
		}
	}
	return due
}

// releaseUnreadable lets the parts that could not be read be overwritten, once the takeover is complete.
func (k *knownWorkers) releaseUnreadable() {
	for _, p := range k.parts {
		p.dirty = p.dirty || p.unreadable
	}
}

// value returns the stored form of a part.
func (p *knownPart) value() ([]byte, error) {
	workers := make([]knownWorker, 0, len(p.workers))
	for _, w := range p.workers {
		workers = append(workers, w)
	}
	return json.Marshal(workers)
}

// saveKnownWorkers stores the parts that are due. One that the store refuses for good does not hold up the others. Only the
// goroutine that calls it changes the known workers.
func (o *Owner) saveKnownWorkers(ctx context.Context, parts []int) error {
	var group errgroup.Group
	group.SetLimit(concurrentTxns)
	for _, n := range parts {
		group.Go(func() error { return o.saveKnownPart(ctx, n) })
	}
	return group.Wait()
}

// saveKnownPart stores a part and confirms its workers to the scheduler.
func (o *Owner) saveKnownPart(ctx context.Context, n int) error {
	key := statekeys.KnownWorkers(o.cfg.Partition, n)
	o.mu.Lock()
	p := o.known.parts[n]
	value, err := p.value()
	revision := p.revision
	o.mu.Unlock()
	if err != nil {
		return errors.Trace(err)
	}
	revision, err = o.commit(ctx, kv.Txn{
		If:  []kv.Condition{o.ownership.Condition(), {Key: key, Revision: revision}},
		Put: []kv.Put{{Key: key, Value: value}},
	}, func(c *kv.Conflict) { p.revision = c.Revision(key) })
	if errors.Is(err, kv.ErrRefused) {
		o.recordRefusedPart(p, key, len(value), err)
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	o.mu.Lock()
	p.revision, p.dirty, p.unreadable, p.backOff = revision, false, false, refusedBackOff{}
	infos := make([]schedule.WorkerInfo, 0, len(p.workers))
	for _, w := range p.workers {
		infos = append(infos, w.info())
	}
	o.scheduler.KnownWorkersStored(infos)
	o.mu.Unlock()
	o.wake(o.planWake)
	return nil
}

// recordRefusedPart sets a part aside that the store has refused for good. Its first refusal is logged.
func (o *Owner) recordRefusedPart(p *knownPart, key string, bytes int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !p.backOff.refused() {
		o.cfg.Log.Event(eventlog.KnownWorkersRefused).Str("key", key).Int("bytes", bytes).Err(err).Msg("")
	}
	p.backOff.extend(bootclock.Uptime())
}

// readKnownWorkers reads the parts of the known workers. Of a part that cannot be decoded only the revision is known.
func (o *Owner) readKnownWorkers(ctx context.Context) (knownWorkers, error) {
	k := knownWorkers{partOf: map[schedule.WorkerID]int{}}
	items, err := kv.ListInParts(ctx, o.cfg.Store, statekeys.KnownWorkersPrefix(o.cfg.Partition))
	if err != nil {
		return k, errors.Annotate(err, "read known workers")
	}
	first, found, err := o.cfg.Store.Get(ctx, statekeys.KnownWorkers(o.cfg.Partition, 0))
	if err != nil {
		return k, errors.Annotate(err, "read known workers")
	}
	if found {
		items = append(items, first)
	}
	slices.SortFunc(items, func(a, b kv.Item) int { return cmp.Compare(b.Revision, a.Revision) })
	for _, item := range items {
		n, ok := statekeys.ParseKnownWorkers(o.cfg.Partition, item.Key)
		if !ok {
			continue
		}
		if err := k.load(n, item); err != nil {
			o.logUnreadable(item.Key, err)
		}
	}
	return k, nil
}

// load adds a stored part. A worker that two parts name, because one of them could not be written, stays in the first one loaded,
// which was written last; the other one is written without it.
func (k *knownWorkers) load(n int, item kv.Item) error {
	p := k.part(n)
	p.revision = item.Revision
	var workers []knownWorker
	if err := json.Unmarshal(item.Value, &workers); err != nil {
		p.unreadable = true
		return errors.Annotate(err, "decode known workers")
	}
	for _, w := range workers {
		if _, added := k.partOf[w.ID]; added {
			p.dirty = true
			continue
		}
		k.partOf[w.ID] = n
		p.workers[w.ID] = w
	}
	return nil
}

// infos returns the known workers, and whether all parts could be read.
func (k *knownWorkers) infos() (infos []schedule.WorkerInfo, complete bool) {
	complete = true
	for _, p := range k.parts {
		complete = complete && !p.unreadable
		for _, w := range p.workers {
			infos = append(infos, w.info())
		}
	}
	return infos, complete
}
