package scheduling

import (
	"sync"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// settingsListener is told what the operator has set. dispatch.Owner implements it.
type settingsListener interface {
	SetEvacuated(datacentres []structs.DatacentreID)
	SetQueuePools(pools map[workload.QueueName]schedule.QueuePool)
}

// operatorSettings tells the owners in this process in which data centres no task may be started, and in which pools those of each queue are.
// The zero value is ready for use.
type operatorSettings struct {
	// mu guards the fields below. It is held while owners are told, so that none is told an older state after a newer one.
	mu          sync.Mutex
	datacentres []structs.DatacentreID
	pools       map[workload.QueueName]schedule.QueuePool // nil until they are known
	owners      map[settingsListener]struct{}
}

// setEvacuated replaces the data centres in which no task may be started.
func (s *operatorSettings) setEvacuated(datacentres []structs.DatacentreID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.datacentres = datacentres
	for owner := range s.owners {
		owner.SetEvacuated(datacentres)
	}
}

// setQueuePools replaces the pools of all queues.
func (s *operatorSettings) setQueuePools(pools map[workload.QueueName]schedule.QueuePool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools = pools
	for owner := range s.owners {
		owner.SetQueuePools(pools)
	}
}

// add tells an owner the current settings and all later changes, until it is removed.
func (s *operatorSettings) add(owner settingsListener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners == nil {
		s.owners = map[settingsListener]struct{}{}
	}
	s.owners[owner] = struct{}{}
	owner.SetEvacuated(s.datacentres)
	owner.SetQueuePools(s.pools)
}

func (s *operatorSettings) remove(owner settingsListener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.owners, owner)
}
