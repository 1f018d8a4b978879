package storetest

import (
	"math/rand/v2"

	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Fault is what happens to one call. A read that suffers any fault fails with store.ErrUnavailable.
type Fault int

// Faults of a write. Lease calls have no late effect: Delayed and Held are as LostRequest for them.
const (
	NoFault      Fault = iota
	Unavailable        // no effect, and the caller knows: store.ErrUnavailable
	LostRequest        // no effect, and the caller does not know: store.ErrUncertain
	LostResponse       // takes effect, and the caller does not know: store.ErrUncertain
	Delayed            // as LostRequest, but takes effect after the next transaction that takes effect
	Held               // as LostRequest, but takes effect when the test calls Deliver
	Cut                // as LostResponse, and the connection is down from then on
)

// Op is the method of Store that was called.
type Op int

// Methods of Store that may suffer a fault.
const (
	OpGet Op = iota
	OpRange
	OpTxn
	OpGrantLease
	OpKeepAlive
	OpRevokeLease
)

// Call describes a call for the choice of its fault.
type Call struct {
	Op    Op
	Write bool      // it may change the store
	Txn   store.Txn // the transaction, if Op is OpTxn
}

func none(Call) Fault { return NoFault }

// SetFaults makes choose pick the fault of each call; nil ends all faults. choose is called with the lock of the
// store held and must not call the store. A call on a connection that is down is not shown to choose.
func (s *Store) SetFaults(choose func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if choose == nil {
		choose = none
	}
	s.choose = choose
}

// ScriptFaults makes the next transactions that write suffer the given faults, one each. Other calls and later
// transactions suffer none.
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

// RandomFaults makes each call suffer a fault with probability share, from 0 to 1. Writes draw from Unavailable,
// LostRequest, LostResponse and Delayed. The same seed gives the same faults to the same calls.
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

// NextFault returns the fault that a call would suffer now. It advances scripted and random faults as the call would.
func (s *Store) NextFault(call Call) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.choose(call)
}

// Heal ends the faults of this connection and applies the delayed writes of all connections.
func (s *Store) Heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.choose, s.down = none, false
	s.land()
}

// Deliver applies the held writes of all connections and returns how many took effect.
func (s *Store) Deliver() (applied int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.held
	s.held = nil
	return s.applyAll(held)
}

// SetDown makes all calls on this connection fail with store.ErrUnavailable, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Block makes transactions that start from now on wait until release is called.
func (s *Store) Block() (release func()) {
	gate := make(chan struct{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = gate
	return func() { close(gate) }
}

// land applies the delayed writes. The caller holds mu.
func (s *Store) land() {
	delayed := s.delayed
	s.delayed = nil
	s.applyAll(delayed)
}
