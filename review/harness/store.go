//go:build review

package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
)

// storeLatency is the time that the platform's store takes for an answer.
const storeLatency = 4 * time.Millisecond

// store is the project's stand-in of the platform's store, with lost answers in front of it.
type store struct {
	inner  *fleet.Store
	record *record
	server *standin.Server

	mu        sync.Mutex // guards the fields below
	rnd       *rand.Rand
	lostShare float64 // share of the writes that get no answer and are carried out late
}

func newStore(r *record, seed uint64) (*store, error) {
	s := &store{inner: fleet.NewStore(seed), record: r, rnd: rand.New(rand.NewPCG(seed, 1))}
	s.inner.SetFaults(fleet.StoreFaults{Delay: storeLatency})
	server, err := standin.NewServer(s)
	s.server = server
	return s, err
}

// loseAnswers makes the store leave a share of the writes without an answer and carry them out 1 to 6 s later.
func (s *store) loseAnswers(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostShare = share
}

// lose decides whether a write is lost, and for how long.
func (s *store) lose() (lost bool, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rnd.Float64() >= s.lostShare {
		return false, 0
	}
	return true, time.Second + time.Duration(s.rnd.Float64()*float64(5*time.Second))
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/fulmarcourse/kv-txn" {
		s.inner.ServeHTTP(w, r)
		return
	}
	lost, late := s.lose()
	if !lost {
		s.inner.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.record.line("store: a write of %d bytes gets no answer and is carried out %.1f s later", len(body), late.Seconds())
	time.AfterFunc(late, func() {
		response := httptest.NewRecorder()
		s.inner.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/fulmarcourse/kv-txn", bytes.NewReader(body)))
		s.record.line("store: a late write of %d bytes is carried out: %d", len(body), response.Code)
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
