package schedule

import (
	"cmp"
	"slices"
	"time"

	"fulmarcourse.example/core/workload"
)

// indexRefresh is the interval after which the index is refreshed in full: workers become usable or unusable by the
// passage of time alone, for instance at the end of a back-off.
const indexRefresh = 100 * time.Millisecond

// unusableKey is the key of workers on which no task may start. It sorts after all others.
const unusableKey = -1

// workerIndex orders the workers by unused capacity. Changes since the last update are missing, so the caller checks each
// worker before using it.
type workerIndex struct {
	pools     map[workload.PoolName]*poolIndex
	changed   []*worker // workers whose keys have to be computed again
	refreshed time.Duration
}

// poolIndex orders the workers of one pool.
type poolIndex struct {
	byFree  orderedWorkers       // by unreserved processor time
	bySpare orderedWorkers       // by the processor time that further fillers are expected to get
	byLabel map[string][]*worker // the labels of a worker include its rack
	use     poolUse              // in the latest planning run that asked
}

// indexKeys are the keys under which a worker is indexed, in thousandths of a core.
type indexKeys struct {
	pool        *poolIndex // nil if the worker is not indexed
	free, spare int64
}

// orderedWorkers is a list of workers in descending order of a key, and in order of their IDs where it is equal.
type orderedWorkers struct {
	key     func(*worker) int64
	workers []*worker
}

func newWorkerIndex() *workerIndex { return &workerIndex{pools: map[workload.PoolName]*poolIndex{}} }

func newPoolIndex() *poolIndex {
	return &poolIndex{
		byFree:  orderedWorkers{key: func(w *worker) int64 { return w.indexed.free }},
		bySpare: orderedWorkers{key: func(w *worker) int64 { return w.indexed.spare }},
		byLabel: map[string][]*worker{},
	}
}

// markChanged records that the keys of a worker may have changed.
func (x *workerIndex) markChanged(w *worker) {
	if !w.indexStale {
		w.indexStale = true
		x.changed = append(x.changed, w)
	}
}

// update computes the keys of the changed workers again, and those of all workers once per indexRefresh.
func (x *workerIndex) update(s *Scheduler, now Time) {
	if now.Boot-x.refreshed >= indexRefresh {
		x.refreshed = now.Boot
		for _, w := range s.sortedWorkers {
			x.markChanged(w)
		}
	}
	for _, w := range x.changed {
		w.indexStale = false
		if s.workers[w.info.ID] == w {
			x.place(w, s.currentKeys(now.Boot, w, x.pool(w.info.Pool)))
		}
	}
	x.changed = x.changed[:0]
}

// pool returns the index of a pool, which it creates if there is none.
func (x *workerIndex) pool(name workload.PoolName) *poolIndex {
	p := x.pools[name]
	if p == nil {
		p = newPoolIndex()
		x.pools[name] = p
	}
	return p
}

// currentKeys returns the keys of a worker as of now.
func (s *Scheduler) currentKeys(now time.Duration, w *worker, p *poolIndex) indexKeys {
	if !s.usable(now, w) {
		return indexKeys{p, unusableKey, unusableKey}
	}
	spare := int64(unusableKey)
	if !w.mayBeOverByFillers(now) {
		spare = max(w.spareFillerCPU(), unusableKey)
	}
	return indexKeys{p, max(w.freeFor(nil).MilliCPU, 0), spare}
}

// place moves a worker to the position of its new keys.
func (x *workerIndex) place(w *worker, keys indexKeys) {
	if w.indexed == keys {
		return
	}
	if w.indexed.pool != keys.pool {
		x.remove(w)
		for _, label := range w.info.Labels {
			if label != "" { // the rack of tasks without data
				keys.pool.byLabel[label] = append(keys.pool.byLabel[label], w)
			}
		}
		w.indexedLabels = w.info.Labels
	} else {
		keys.pool.byFree.remove(w)
		keys.pool.bySpare.remove(w)
	}
	w.indexed = keys
	keys.pool.byFree.insert(w)
	keys.pool.bySpare.insert(w)
}

// remove removes a worker from the index.
func (x *workerIndex) remove(w *worker) {
	p := w.indexed.pool
	if p == nil {
		return
	}
	p.byFree.remove(w)
	p.bySpare.remove(w)
	for _, label := range w.indexedLabels {
		p.byLabel[label] = slices.DeleteFunc(p.byLabel[label], func(other *worker) bool { return other == w })
		if len(p.byLabel[label]) == 0 {
			delete(p.byLabel, label)
		}
	}
	w.indexed = indexKeys{}
}

// position returns the position of a worker, or the one at which it has to be inserted.
func (l *orderedWorkers) position(w *worker) int {
	n, _ := slices.BinarySearchFunc(l.workers, w, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(l.key(b), l.key(a)), cmp.Compare(a.info.ID, b.info.ID))
	})
	return n
}

func (l *orderedWorkers) insert(w *worker) { l.workers = slices.Insert(l.workers, l.position(w), w) }

func (l *orderedWorkers) remove(w *worker) {
	if n := l.position(w); n < len(l.workers) && l.workers[n] == w {
		l.workers = slices.Delete(l.workers, n, n+1)
	}
}

// withLabel returns the usable workers with a label whose key in one of the orders is at least min.
func (p *poolIndex) withLabel(label string, order *orderedWorkers, min int64) []*worker {
	if label == "" {
		return order.workers[:order.count(min)]
	}
	var workers []*worker
	for _, w := range p.byLabel[label] {
		if order.key(w) >= max(min, 0) {
			workers = append(workers, w)
		}
	}
	return workers
}

// count returns the number of usable workers whose key is at least min. They are the first ones of the list.
func (l *orderedWorkers) count(min int64) int {
	n, _ := slices.BinarySearchFunc(l.workers, max(min, 0), func(w *worker, min int64) int {
		if l.key(w) >= min {
			return -1
		}
		return 1
	})
	return n
}

// largest passes the workers whose key is at least min to consider, the largest first, until it returns true.
func (l *orderedWorkers) largest(min int64, consider func(*worker) bool) {
	for _, w := range l.workers[:l.count(min)] {
		if consider(w) {
			return
		}
	}
}

// tightest passes the workers whose key is at least min to consider, the smallest first, until it returns true.
func (l *orderedWorkers) tightest(min int64, consider func(*worker) bool) {
	for _, w := range slices.Backward(l.workers[:l.count(min)]) {
		if consider(w) {
			return
		}
	}
}
