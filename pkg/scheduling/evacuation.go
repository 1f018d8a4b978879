package scheduling

import (
	"sync"

	"fulmarcourse.example/core/structs"
)

// evacuated is told in which data centres no task may be started. dispatch.Owner implements it.
type evacuated interface {
	SetEvacuated(datacentres []structs.DatacentreID)
}

// evacuations tells the owners in this process in which data centres no task may be started. The zero value is ready for use.
type evacuations struct {
	// mu guards the fields below. It is held while owners are told, so that none is told an older state after a newer one.
	mu          sync.Mutex
	datacentres []structs.DatacentreID
	owners      map[evacuated]struct{}
}

// set replaces the data centres in which no task may be started.
func (e *evacuations) set(datacentres []structs.DatacentreID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.datacentres = datacentres
	for owner := range e.owners {
		owner.SetEvacuated(datacentres)
	}
}

// add tells an owner the current data centres and all later changes, until it is removed.
func (e *evacuations) add(owner evacuated) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.owners == nil {
		e.owners = map[evacuated]struct{}{}
	}
	e.owners[owner] = struct{}{}
	owner.SetEvacuated(e.datacentres)
}

func (e *evacuations) remove(owner evacuated) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.owners, owner)
}
