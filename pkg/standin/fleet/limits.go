package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Limits are the limits that the store enforces. Fields that are 0 have the value of DefaultLimits.
type Limits struct {
	ValueBytes     int // of one value
	KeyBytes       int // of one key
	TxnEntries     int // conditions, writes and removals of one transaction together
	PageItems      int
	PageBytes      int           // of the values of a page; a page has at least one item
	MinTTL, MaxTTL time.Duration // of a lease
	WritesPerS     float64       // of all callers together; calls beyond it are refused with 429
	ReadsPerS      float64       // as WritesPerS; the renewal of a lease counts as renewalPrice of a read
}

// renewalPrice is the share of a read that the renewal of a lease counts as.
const renewalPrice = 0.1

// DefaultLimits are the limits that the platform's documents state.
var DefaultLimits = Limits{
	ValueBytes: 1 << 20, KeyBytes: 200, TxnEntries: 32, PageItems: 500, PageBytes: 1 << 20,
	MinTTL: time.Second, MaxTTL: 10 * time.Minute, WritesPerS: 400, ReadsPerS: 2000,
}

// withDefaults returns the limits with the default in place of each 0.
func (l Limits) withDefaults() Limits {
	return Limits{
		ValueBytes: orDefault(l.ValueBytes, DefaultLimits.ValueBytes), KeyBytes: orDefault(l.KeyBytes, DefaultLimits.KeyBytes),
		TxnEntries: orDefault(l.TxnEntries, DefaultLimits.TxnEntries),
		PageItems:  orDefault(l.PageItems, DefaultLimits.PageItems), PageBytes: orDefault(l.PageBytes, DefaultLimits.PageBytes),
		MinTTL: orDefault(l.MinTTL, DefaultLimits.MinTTL), MaxTTL: orDefault(l.MaxTTL, DefaultLimits.MaxTTL),
		WritesPerS: orDefault(l.WritesPerS, DefaultLimits.WritesPerS), ReadsPerS: orDefault(l.ReadsPerS, DefaultLimits.ReadsPerS),
	}
}

func orDefault[T comparable](value, byDefault T) T {
	var zero T
	if value == zero {
		return byDefault
	}
	return value
}

// refusal is the reason for which the store refuses a write for good: repeated unchanged, it is refused again.
type refusal struct {
	status int
	reason string
}

// Prefixes that only the operator and the workers may write.
var foreignPrefixes = []string{"op/", "servers/"}

// check returns why a transaction is refused whatever the state of the store is, or nil.
func (l Limits) check(t txn) *refusal {
	if n := len(t.Expect) + len(t.Set) + len(t.Remove); n > l.TxnEntries {
		return &refusal{http.StatusBadRequest, fmt.Sprintf("%d entries in a transaction", n)}
	}
	for _, c := range t.Expect {
		if r := l.checkKey(c.Key); r != nil {
			return r
		}
	}
	for _, p := range t.Set {
		if r := l.checkWrite(p.Key); r != nil {
			return r
		}
		if len(p.Value) > l.ValueBytes {
			return &refusal{http.StatusBadRequest, fmt.Sprintf("%s: a value of %d bytes", p.Key, len(p.Value))}
		}
	}
	for _, key := range t.Remove {
		if r := l.checkWrite(key); r != nil {
			return r
		}
	}
	return nil
}

func (l Limits) checkKey(key string) *refusal {
	if key == "" || len(key) > l.KeyBytes {
		return &refusal{http.StatusBadRequest, fmt.Sprintf("a key of %d bytes: %.40q", len(key), key)}
	}
	return nil
}

func (l Limits) checkWrite(key string) *refusal {
	for _, prefix := range foreignPrefixes {
		if strings.HasPrefix(key, prefix) {
			return &refusal{http.StatusForbidden, key + ": not writable"}
		}
	}
	return l.checkKey(key)
}

// rateLimit admits calls at a rate, with bursts of what the rate admits in one second.
type rateLimit struct {
	tokens float64
	at     time.Time // when tokens was updated; zero before the first call
}

// take takes the price of a call and reports whether the call is within the rate.
func (r *rateLimit) take(now time.Time, perSecond, price float64) bool {
	if r.at.IsZero() {
		r.tokens = perSecond
	} else {
		r.tokens = min(perSecond, r.tokens+now.Sub(r.at).Seconds()*perSecond)
	}
	r.at = now
	if r.tokens < price {
		return false
	}
	r.tokens -= price
	return true
}

// admit reports whether a call is within the rates of reads and writes. s.mu is held.
func (s *Store) admit(r *http.Request) bool {
	now := time.Now()
	switch path := r.URL.Path; {
	case path == "/fulmarcourse/kv-txn", path == "/fulmarcourse/kv-lease", strings.HasPrefix(path, "/fulmarcourse/kv-lease-end/"):
		return s.writes.take(now, s.limits.WritesPerS, 1)
	case strings.HasPrefix(path, "/fulmarcourse/kv-keep/"):
		return s.reads.take(now, s.limits.ReadsPerS, renewalPrice)
	case r.URL.Query().Get("staleOk") == "1":
		return true
	}
	return s.reads.take(now, s.limits.ReadsPerS, 1)
}

// refuse records a write that is refused for good.
func (s *Store) refuse(w http.ResponseWriter, r refusal) {
	s.mu.Lock()
	s.refusals = append(s.refusals, fmt.Sprintf("%d: %s", r.status, r.reason))
	s.mu.Unlock()
	w.WriteHeader(r.status)
}

// Refusals returns the reasons of all writes so far that were refused for good, in their order.
func (s *Store) Refusals() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.refusals...)
}

// SetLimits replaces the limits.
func (s *Store) SetLimits(l Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l.withDefaults()
}
