package storetest

import (
	"math/rand/v2"

	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Fault is a failure injected into one call. A read with any fault fails with store.ErrUnavailable.
type Fault int

// Faults of a write. Lease calls never take effect late: for them, Delayed and Held are equivalent to LostRequest.
const (
	NoFault      Fault = iota
	Unavailable        // no effect; fails with store.ErrUnavailable
	LostRequest        // no effect; fails with store.ErrUncertain
	LostResponse       // takes effect; fails with store.ErrUncertain
	Delayed            // like LostRequest, but takes effect after the next transaction that takes effect
	Held               // like LostRequest, but takes effect when the test calls Deliver
	Cut                // like LostResponse, and the connection is down from then on
)

// Op is the method of Store that was called.
type Op int

// Methods of Store into which faults can be injected.
const (
	OpGet Op = iota
	OpRange
	OpTxn
	OpGrantLease
	OpKeepAlive
	OpRevokeLease
)

// Call describes a call to the function that chooses its fault.
type Call struct {
	Op    Op
	Write bool      // whether the call may change the store
	Txn   store.Txn // the transaction, if Op is OpTxn
}

func none(Call) Fault { return NoFault }

// SetFaults sets the function that chooses the fault of each call; nil removes all faults. choose is called with the
// lock of the store held and must not call the store. It is not called for calls on a connection that is down.
func (s *Store) SetFaults(choose func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if choose == nil {
		choose = none
	}
	s.choose = choose
}

// ScriptFaults injects the given faults into the next transactions that write, one each. Other calls and later
// transactions have no fault.
func (s *Store) ScriptFaults(faults ...Fault) {
	s.SetFaults(func(call Call) Fault {
		if call.Op != OpTxn || !call.Write || len(faults) == 0 {
			return NoFault
		}
		first := faults[0]
		faults = faults[1:]
		return first
	})
}

// RandomFaults injects a fault into each call with probability share, from 0 to 1. Faults of writes are chosen from
// Unavailable, LostRequest, LostResponse and Delayed. The faults are deterministic for a seed and a sequence of calls.
func (s *Store) RandomFaults(seed uint64, share float64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	s.SetFaults(func(call Call) Fault {
		switch {
		case rnd.Float64() >= share:
			return NoFault
		case !call.Write:
			return Unavailable
		}
		return []Fault{Unavailable, LostRequest, LostResponse, Delayed}[rnd.IntN(4)]
	})
}

// NextFault returns the fault that a call would have now. Like the call, it advances scripted and random faults.
func (s *Store) NextFault(call Call) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.choose(call)
}

// Heal removes the faults of this connection and applies the delayed writes of all connections.
func (s *Store) Heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.choose, s.down = none, false
	s.applyDelayed()
}

// Deliver applies the held writes of all connections and returns how many took effect.
func (s *Store) Deliver() (applied int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.held
	s.held = nil
	return s.applyAll(held)
}

// SetDown sets whether all calls on this connection fail with store.ErrUnavailable.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Block makes all transactions that start afterwards wait until release is called.
func (s *Store) Block() (release func()) {
	gate := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = gate
	return func() { close(gate) }
}

// applyDelayed applies the delayed writes. The caller holds mu.
func (s *Store) applyDelayed() {
	delayed := s.delayed
	s.delayed = nil
	s.applyAll(delayed)
}
