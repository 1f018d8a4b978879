// Package fleet is a fake of the platform that package platform connects to: its store, its workers and the actions of
// its operator, for tests and load runs. The store and the workers are HTTP servers on the loopback interface that
// implement the platform's protocol and inject faults on request.
package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin"
)

const (
	// historyLength is the number of changes that are kept for watches.
	historyLength = 20000
	// maxWatchWaitMs is the longest time in milliseconds that a watch may wait.
	maxWatchWaitMs = 30000
	// leaseCheckInterval is the interval at which leases are checked for expiry.
	leaseCheckInterval = 20 * time.Millisecond
)

// item is one key with its value or, if Tombstone is set, the deletion of a key.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`          // of the last change
	Created   int64  `json:"created,omitempty"` // revision of the creation
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// StoreFaults are the faults that the store injects. The zero value injects none.
type StoreFaults struct {
	Unresponsive      bool          // calls get no response
	Unavailable       bool          // calls are rejected with 503
	Delay             time.Duration // added to every response
	LoseResponseOneIn int           // one in this many writes, at random, is applied without a response; 0 for none
	LateWriteOneIn    int           // one in this many writes, at random, gets no response and is applied later; 0 for none
	LateWriteDelay    time.Duration // time after which late writes are applied
}

// Store is a fake of the key-value store. It is an http.Handler.
type Store struct {
	rnd *rand.Rand

	mu        sync.Mutex // guards the fields below
	faults    StoreFaults
	items     map[string]item
	revision  int64
	history   []item                  // changes since compacted, oldest first
	compacted int64                   // watches from an older revision are rejected
	leases    map[int64]time.Time     // time of expiry by lease
	ttls      map[int64]time.Duration // time to live by lease
	nextLease int64
	changed   chan struct{}  // closed and replaced at each change
	calls     map[string]int // by path
	limits    Limits
	reads     rateLimit
	writes    rateLimit
	refusals  []string // see Refusals
	stop      chan struct{}
}

// NewStore returns an empty store; seed determines which writes are lost or late.
func NewStore(seed uint64) *Store {
	s := &Store{
		rnd:   rand.New(rand.NewPCG(seed, 7)),
		items: map[string]item{}, revision: 1, leases: map[int64]time.Time{}, ttls: map[int64]time.Duration{},
		changed: make(chan struct{}), calls: map[string]int{}, limits: DefaultLimits, stop: make(chan struct{}),
	}
	go s.expireLeases()
	return s
}

// Close stops the store.
func (s *Store) Close() { close(s.stop) }

// SetFaults replaces the faults that the store injects.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Compact drops the history, so that watches from an older revision fail with 410 and their callers have to read all
// keys again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
	s.notifyWatches()
}

// RevokeLeases ends all leases at once.
func (s *Store) RevokeLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// Calls returns the number of calls to a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes a value as JSON, as the operator and the workers do.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.PutRaw(key, data)
}

// PutRaw writes a value that need not be JSON.
func (s *Store) PutRaw(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// Keys returns the keys with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys(prefix)
}

func (s *Store) keys(prefix string) []string {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// set writes a key at the current revision. s.mu is held.
func (s *Store) set(key string, value []byte, lease int64) {
	created := s.revision
	if before, exists := s.items[key]; exists {
		created = before.Created
	}
	entry := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = entry
	s.record(entry)
}

// remove deletes a key at the current revision. s.mu is held.
func (s *Store) remove(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *Store) record(entry item) {
	s.history = append(s.history, entry)
	if len(s.history) > historyLength {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends leases that were not renewed in time, until the store is closed.
func (s *Store) expireLeases() {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			for id, until := range s.leases {
				if now.After(until) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}
}

// endLease deletes the keys of a lease. s.mu is held.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	delete(s.ttls, id)
	for key, entry := range s.items {
		if entry.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

type condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

type putEntry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

type txn struct {
	Expect []condition `json:"expect"`
	Set    []putEntry  `json:"setKeys"`
	Remove []string    `json:"remove"`
}

// commit applies a transaction and returns the response.
func (s *Store) commit(t txn) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []item
	conflict := false
	for _, c := range t.Expect {
		entry, exists := s.items[c.Key]
		if exists {
			current = append(current, entry)
		}
		conflict = conflict || entry.Revision != c.Revision
	}
	if conflict {
		return http.StatusPreconditionFailed, map[string]any{"items": current, "asOf": s.revision}
	}
	for _, p := range t.Set {
		if _, live := s.leases[p.Lease]; p.Lease != 0 && !live {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	for _, p := range t.Set {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.calls[r.URL.Path]++
	lose := faults.LoseResponseOneIn > 0 && s.rnd.IntN(faults.LoseResponseOneIn) == 0
	late := faults.LateWriteOneIn > 0 && s.rnd.IntN(faults.LateWriteOneIn) == 0
	admitted := s.admit(r)
	s.mu.Unlock()
	if faults.Unresponsive {
		<-r.Context().Done()
		return
	}
	if faults.Unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !admitted {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(faults.Delay)
	if r.URL.Path == "/fulmarcourse/kv-txn" {
		s.serveTxn(w, r, lose, late, faults.LateWriteDelay)
		return
	}
	s.serveOther(w, r)
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request, lose, late bool, delay time.Duration) {
	var t txn
	if err := json.Unmarshal(readBody(r), &t); err != nil {
		s.refuse(w, refusal{http.StatusBadRequest, "transaction: " + err.Error()})
		return
	}
	s.mu.Lock()
	refused := s.limits.check(t)
	s.mu.Unlock()
	if refused != nil {
		s.refuse(w, *refused)
		return
	}
	if late {
		time.AfterFunc(delay, func() { s.commit(t) })
		panic(http.ErrAbortHandler)
	}
	status, body := s.commit(t)
	if lose {
		panic(http.ErrAbortHandler)
	}
	standin.WriteJSON(w, status, body)
}

// readBody returns the body of a request. If the connection breaks before it is complete, the request ends without a response.
func readBody(r *http.Request) []byte {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return data
}

func (s *Store) serveOther(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/fulmarcourse/kv-key":
		s.mu.Lock()
		entry, exists := s.items[query.Get("key")]
		asOf := s.revision
		s.mu.Unlock()
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		standin.WriteJSON(w, http.StatusOK, struct {
			item
			AsOf int64 `json:"asOf"`
		}{entry, asOf})
	case path == "/fulmarcourse/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case path == "/fulmarcourse/kv-watch":
		s.serveWatch(w, r, query.Get("prefix"))
	case path == "/fulmarcourse/kv-lease":
		s.serveGrant(w, r)
	case strings.HasPrefix(path, "/fulmarcourse/kv-keep/"):
		s.serveKeepAlive(w, leaseID(path))
	case strings.HasPrefix(path, "/fulmarcourse/kv-lease-end/"):
		s.serveLeaseEnd(w, leaseID(path))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveLeaseEnd(w http.ResponseWriter, id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.leases[id]; !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}

func leaseID(path string) int64 {
	id, err := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	if err != nil {
		return -1
	}
	return id
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, size := []item{}, 0
	more := false
	for _, key := range s.keys(prefix) {
		if key <= after {
			continue
		}
		size += len(s.items[key].Value)
		if len(items) == s.limits.PageItems || (len(items) > 0 && size > s.limits.PageBytes) {
			more = true
			break
		}
		items = append(items, s.items[key])
	}
	standin.WriteJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "asOf": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string) {
	after, err1 := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMs, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err1 != nil || err2 != nil || waitMs < 0 || waitMs > maxWatchWaitMs {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		if s.faults.Unresponsive {
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
		if after < s.compacted {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, entry := range s.history {
			if entry.Revision > after && strings.HasPrefix(entry.Key, prefix) {
				events = append(events, entry)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			standin.WriteJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline.C:
			standin.WriteJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		case <-changed:
		}
	}
}

type leaseBody struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMs int64 `json:"ttlMs"`
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	err := json.Unmarshal(readBody(r), &body)
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.mu.Lock()
	allowed := ttl >= s.limits.MinTTL && ttl <= s.limits.MaxTTL
	s.mu.Unlock()
	if err != nil || !allowed {
		s.refuse(w, refusal{http.StatusBadRequest, fmt.Sprintf("a lease of %v", ttl)})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease], s.ttls[s.nextLease] = time.Now().Add(ttl), ttl
	standin.WriteJSON(w, http.StatusOK, leaseBody{Lease: s.nextLease, TTLMs: body.TTLMs})
}

func (s *Store) serveKeepAlive(w http.ResponseWriter, id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl, live := s.ttls[id]
	if !live {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(ttl)
	standin.WriteJSON(w, http.StatusOK, leaseBody{TTLMs: ttl.Milliseconds()})
}

// Value returns the value of a key, or nil if the key does not exist.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}
