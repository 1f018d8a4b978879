package scheduling

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// interruptedOwner is an owner to which the first call takes so long that another change arrives meanwhile.
type interruptedOwner struct {
	interrupt   func()
	interrupted atomic.Bool

	mu    sync.Mutex // guards the fields below
	last  []structs.DatacentreID
	pools map[workload.QueueName]schedule.QueuePool
}

func (o *interruptedOwner) SetQueuePools(pools map[workload.QueueName]schedule.QueuePool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pools = pools
}

// maxInterruption is how long the first call waits for the other change, which may have to wait for the call.
const maxInterruption = 50 * time.Millisecond

func (o *interruptedOwner) SetEvacuated(datacentres []structs.DatacentreID) {
	if o.interrupted.CompareAndSwap(false, true) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			o.interrupt()
		}()
		select {
		case <-done:
		case <-time.After(maxInterruption):
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.last = datacentres
}

// Scenario: a data centre is taken out at the moment at which this host becomes the owner. Guards against an owner that goes on
// with the state before that, and starts tasks in the data centre until the next change.
func TestNewOwnerKnowsTheLatestEvacuations(t *testing.T) {
	var e operatorSettings
	evacuatedNow := []structs.DatacentreID{"dc1"}
	changed := make(chan struct{})
	owner := &interruptedOwner{interrupt: func() {
		defer close(changed)
		e.setEvacuated(evacuatedNow)
	}}
	e.add(owner)
	<-changed
	owner.mu.Lock()
	defer owner.mu.Unlock()
	if !slices.Equal(owner.last, evacuatedNow) {
		t.Errorf("the owner knows %v as evacuated, want %v", owner.last, evacuatedNow)
	}
}

// Guards against a new owner that does not know the pools of the queues before the next version of the configuration.
func TestNewOwnerKnowsThePoolsOfTheQueues(t *testing.T) {
	var s operatorSettings
	s.setQueuePools(map[workload.QueueName]schedule.QueuePool{"queue": {Pool: "first"}})
	owner := &interruptedOwner{interrupt: func() {}}
	s.add(owner)
	if got := owner.pools["queue"].Pool; got != "first" {
		t.Errorf("the new owner knows the pool %q, want first", got)
	}
	s.setQueuePools(map[workload.QueueName]schedule.QueuePool{"queue": {Pool: "second"}})
	if got := owner.pools["queue"].Pool; got != "second" {
		t.Errorf("the owner knows the pool %q after the change, want second", got)
	}
}
