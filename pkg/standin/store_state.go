package standin

import (
	"maps"
	"slices"
	"sort"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/store/gateway"
)

// storeState is the data of the store: keys, revisions and leases with the semantics of etcd.
// The Store's lock is held in every method.
type storeState struct {
	revision   int64
	keys       []string // sorted
	entries    map[string]gateway.KeyValue
	leases     map[int64]*lease
	nextExpiry time.Time // no lease ends before it
	lastID     int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

func newStoreState() *storeState {
	// etcd's first revision is 1, so no change has revision 0.
	return &storeState{revision: 1, entries: map[string]gateway.KeyValue{}, leases: map[int64]*lease{}}
}

// selectKeys returns the keys that a range request covers.
func (s *storeState) selectKeys(req gateway.RangeRequest) []string {
	key := string(req.Key)
	from := sort.SearchStrings(s.keys, key)
	switch {
	case len(req.RangeEnd) == 0:
		if _, ok := s.entries[key]; ok {
			return s.keys[from : from+1]
		}
		return nil
	case string(req.RangeEnd) == "\x00": // up to the last key
		return s.keys[from:]
	}
	return s.keys[from:max(from, sort.SearchStrings(s.keys, string(req.RangeEnd)))]
}

func (s *storeState) read(req gateway.RangeRequest) *gateway.RangeResponse {
	resp := &gateway.RangeResponse{Header: s.header()}
	for _, key := range s.selectKeys(req) {
		if entry := s.entries[key]; entry.ModRevision >= req.MinModRevision {
			resp.Kvs = append(resp.Kvs, entry)
		}
	}
	return resp
}

func (s *storeState) header() *gateway.Header { return &gateway.Header{Revision: s.revision} }

// conditionHolds reports whether a condition is true. A key that does not exist has revision 0.
func (s *storeState) conditionHolds(c gateway.Compare) bool {
	entry := s.entries[string(c.Key)]
	switch {
	case c.Target == "MOD" && c.ModRevision != nil:
		return entry.ModRevision == *c.ModRevision
	case c.Target == "MOD":
		return entry.ModRevision == 0
	case c.CreateRevision != nil:
		return entry.CreateRevision == *c.CreateRevision
	}
	return entry.CreateRevision == 0
}

// txn runs a checked transaction. All its writes get the same revision.
func (s *storeState) txn(req gateway.TxnRequest) gateway.TxnResponse {
	resp := gateway.TxnResponse{Succeeded: !slices.ContainsFunc(req.Compare, func(c gateway.Compare) bool { return !s.conditionHolds(c) })}
	ops := req.Success
	if !resp.Succeeded {
		ops = req.Failure
	}
	revision, changed := s.revision+1, false
	for _, op := range ops {
		var result gateway.OpResponse
		switch {
		case op.Range != nil:
			result.Range = s.read(*op.Range)
		case op.Put != nil:
			s.put(*op.Put, revision)
			changed = true
		case op.Delete != nil:
			changed = s.remove(string(op.Delete.Key)) || changed
		}
		resp.Responses = append(resp.Responses, result)
	}
	if changed {
		s.revision = revision
	}
	resp.Header = s.header()
	return resp
}

func (s *storeState) put(put gateway.Put, revision int64) {
	key := string(put.Key)
	entry, exists := s.entries[key]
	if !exists {
		entry = gateway.KeyValue{Key: put.Key, CreateRevision: revision}
		s.keys = slices.Insert(s.keys, sort.SearchStrings(s.keys, key), key)
	}
	s.detach(key, entry.Lease)
	entry.Value, entry.ModRevision, entry.Lease = put.Value, revision, put.Lease
	if l := s.leases[put.Lease]; l != nil {
		l.keys[key] = true
	}
	s.entries[key] = entry
}

// remove reports whether the key existed.
func (s *storeState) remove(key string) bool {
	entry, exists := s.entries[key]
	if !exists {
		return false
	}
	s.detach(key, entry.Lease)
	delete(s.entries, key)
	i := sort.SearchStrings(s.keys, key)
	s.keys = slices.Delete(s.keys, i, i+1)
	return true
}

func (s *storeState) detach(key string, id int64) {
	if l := s.leases[id]; l != nil {
		delete(l.keys, key)
	}
}

// grant creates a lease that expires ttl after now.
func (s *storeState) grant(now time.Time, ttl time.Duration) int64 {
	s.lastID++
	l := &lease{ttl: ttl, expires: now.Add(ttl), keys: map[string]bool{}}
	if l.expires.Before(s.nextExpiry) {
		s.nextExpiry = l.expires
	}
	s.leases[s.lastID] = l
	return s.lastID
}

// endLease removes a lease and its keys in one revision.
func (s *storeState) endLease(id int64) {
	l := s.leases[id]
	delete(s.leases, id)
	if len(l.keys) > 0 {
		s.revision++
	}
	for key := range l.keys {
		s.remove(key)
	}
}

// expireLeases ends the expired leases, in order of their ids. Thousands of long leases are common, so it scans them
// only when one may have expired.
func (s *storeState) expireLeases(now time.Time) {
	if now.Before(s.nextExpiry) {
		return
	}
	first := true
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		l := s.leases[id]
		if !now.Before(l.expires) {
			s.endLease(id)
			continue
		}
		if first || l.expires.Before(s.nextExpiry) {
			s.nextExpiry, first = l.expires, false
		}
	}
}

// extendLeases lets every lease run for at least d from now; a d of 0 stands for the full time to live of the lease.
func (s *storeState) extendLeases(now time.Time, d time.Duration) {
	for _, l := range s.leases {
		grace := d
		if grace == 0 {
			grace = l.ttl
		}
		if until := now.Add(grace); until.After(l.expires) {
			l.expires = until
		}
	}
}
