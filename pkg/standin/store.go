package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/store"
	"fulmarcourse.example/fulmarcourse/pkg/store/gateway"
)

// StoreConfig configures a Store.
type StoreConfig struct {
	Clock func() time.Time // time.Now when nil
	// Grace is the minimum remaining time of leases after an outage. When zero, each lease gets its full time to
	// live again, as in etcd when a new leader takes over.
	Grace time.Duration
}

// StoreCalls counts the calls that a Store has received, including those that it did not answer.
type StoreCalls struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"` // transactions and lease calls
}

// Store is a fake of the platform's store behind etcd's JSON gateway. It is an http.Handler.
type Store struct {
	clock      func() time.Time
	leaseGrace time.Duration
	mux        *http.ServeMux

	mu              sync.Mutex
	state           *storeState
	down            bool
	delay           time.Duration
	responsesToLose int
	fault           TxnFault
	calls           StoreCalls
}

// NewStore returns an empty store.
func NewStore(cfg StoreConfig) *Store {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	s := &Store{clock: cfg.Clock, leaseGrace: cfg.Grace, mux: http.NewServeMux(), state: newStoreState()}
	handleCall(s, gateway.RangePath, false, s.serveRange)
	handleCall(s, gateway.TxnPath, true, s.serveTxn)
	handleCall(s, gateway.GrantPath, true, s.serveGrant)
	handleCall(s, gateway.KeepAlivePath, true, s.serveKeepAlive)
	handleCall(s, gateway.RevokePath, true, s.serveRevoke)
	return s
}

// ServeHTTP serves the gateway.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetDown starts or ends an outage. While it lasts, calls have no effect and their connections are closed, and
// leases do not expire.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if !s.down {
		s.state.expireLeases(now)
	}
	if s.down && !down {
		s.state.extendLeases(now, s.leaseGrace)
	}
	s.down = down
}

// SetDelay delays the effect of every call by d. A call takes effect even if its caller times out meanwhile.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseResponses makes the next n writes take effect without a response.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// TxnFault drops the responses of applied transactions that wrote a key with a prefix. Unlike LoseResponses, it
// does not affect other writes.
type TxnFault struct {
	Prefix string
	Count  int  // transactions whose response is lost
	Down   bool // an outage begins with the first lost response
}

// SetTxnFault replaces the fault of transactions.
func (s *Store) SetTxnFault(f TxnFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// losesResponse reports whether the response to an applied transaction is lost, and starts the outage if the
// fault includes one. s.mu is held.
func (s *Store) losesResponse(req gateway.TxnRequest, resp gateway.TxnResponse) bool {
	writesPrefix := func(op gateway.Op) bool {
		return op.Put != nil && strings.HasPrefix(string(op.Put.Key), s.fault.Prefix)
	}
	if s.fault.Count == 0 || !resp.Succeeded || !slices.ContainsFunc(req.Success, writesPrefix) {
		return false
	}
	s.fault.Count--
	s.down = s.down || s.fault.Down
	return true
}

// Calls returns the number of calls so far.
func (s *Store) Calls() StoreCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Revision returns the current revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.revision
}

// reply is the response to one call: either a body or an error.
type reply struct {
	body any
	code int // gRPC status code; 0 for success
	text string
	lost bool // the caller does not receive it
}

// handleCall registers a handler that decodes a call, applies it and responds. apply is called with s.mu held.
func handleCall[T any](s *Store, path string, write bool, apply func(now time.Time, req T) reply) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var req T
		err := json.NewDecoder(r.Body).Decode(&req)
		time.Sleep(s.countCall(write))
		if err != nil {
			writeReply(w, reply{code: gateway.CodeInvalidArgument, text: err.Error()})
			return
		}
		rep, delivered := applyCall(s, write, req, apply)
		if !delivered {
			abort()
		}
		writeReply(w, rep)
	})
}

// countCall counts a call and returns its delay.
func (s *Store) countCall(write bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if write {
		s.calls.Writes++
	} else {
		s.calls.Reads++
	}
	return s.delay
}

// applyCall returns the reply and whether the caller is to receive it.
func applyCall[T any](s *Store, write bool, req T, apply func(now time.Time, req T) reply) (reply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return reply{}, false
	}
	now := s.clock()
	s.state.expireLeases(now)
	rep := apply(now, req)
	if rep.lost {
		return rep, false
	}
	if write && s.responsesToLose > 0 {
		s.responsesToLose--
		return rep, false
	}
	return rep, true
}

func writeReply(w http.ResponseWriter, rep reply) {
	if rep.code == 0 {
		WriteJSON(w, http.StatusOK, rep.body)
		return
	}
	status := http.StatusBadRequest
	if rep.code == gateway.CodeNotFound {
		status = http.StatusNotFound
	}
	WriteJSON(w, status, gateway.Error{Code: rep.code, Message: rep.text})
}

func (s *Store) serveRange(_ time.Time, req gateway.RangeRequest) reply {
	return reply{body: s.state.read(req)}
}

func (s *Store) serveTxn(_ time.Time, req gateway.TxnRequest) reply {
	if rep := s.checkTxn(req); rep.code != 0 {
		return rep
	}
	resp := s.state.txn(req)
	return reply{body: resp, lost: s.losesResponse(req, resp)}
}

// checkTxn returns an error reply if a transaction exceeds etcd's limits or names an unknown lease.
func (s *Store) checkTxn(req gateway.TxnRequest) reply {
	if len(req.Compare) > store.MaxTxnOps || len(req.Success) > store.MaxTxnOps || len(req.Failure) > store.MaxTxnOps {
		return reply{code: gateway.CodeInvalidArgument, text: "etcdserver: too many operations in txn request"}
	}
	written := map[string]bool{}
	for _, op := range req.Success {
		if op.Put == nil {
			continue
		}
		if len(op.Put.Value) > store.MaxValueBytes {
			return reply{code: gateway.CodeInvalidArgument, text: "etcdserver: request is too large"}
		}
		if written[string(op.Put.Key)] {
			return reply{code: gateway.CodeInvalidArgument, text: "etcdserver: duplicate key given in txn request"}
		}
		written[string(op.Put.Key)] = true
		if op.Put.Lease != 0 && s.state.leases[op.Put.Lease] == nil {
			return leaseNotFound
		}
	}
	return reply{}
}

var leaseNotFound = reply{code: gateway.CodeNotFound, text: "etcdserver: requested lease not found"}

func (s *Store) serveGrant(now time.Time, req gateway.GrantRequest) reply {
	if req.TTL <= 0 {
		return reply{code: gateway.CodeOutOfRange, text: "etcdserver: too small lease TTL"}
	}
	id := s.state.grant(now, time.Duration(req.TTL)*time.Second)
	return reply{body: gateway.LeaseResponse{Header: s.state.header(), ID: id, TTL: req.TTL}}
}

func (s *Store) serveKeepAlive(now time.Time, req gateway.LeaseRequest) reply {
	result := &gateway.LeaseResponse{Header: s.state.header(), ID: req.ID}
	if l := s.state.leases[req.ID]; l != nil {
		l.expires = now.Add(l.ttl)
		result.TTL = int64(l.ttl / time.Second)
	}
	return reply{body: gateway.KeepAliveResponse{Result: result}}
}

func (s *Store) serveRevoke(_ time.Time, req gateway.LeaseRequest) reply {
	if s.state.leases[req.ID] == nil {
		return leaseNotFound
	}
	s.state.endLease(req.ID)
	return reply{body: gateway.RevokeResponse{Header: s.state.header()}}
}
