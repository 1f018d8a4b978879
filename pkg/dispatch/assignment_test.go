package dispatch

import (
	"testing"

	"fulmarcourse.example/core/schedule"
)

// Scenario: a worker starts again under its ID at another address. Guards against a relay that is never told of it: it polls the former
// address for as long as it serves this owner.
func TestChangedAddressIsAssignedAgain(t *testing.T) {
	o, ctx := fleetOwner(t, 1, 1, 1, 1000)
	l := o.links["host-00"]
	if _, ok := l.takeUpdate(); !ok {
		t.Fatal("the worker is not assigned")
	}
	o.setWorkers([]schedule.WorkerInfo{{ID: "w0", Datacentre: "dc", Address: "10.0.0.2:80"}})
	o.mu.Lock()
	o.assignWorkers(ctx)
	o.mu.Unlock()
	u, _ := l.takeUpdate()
	if len(u.Assign) != 1 || u.Assign[0].Worker.Address != "10.0.0.2:80" {
		t.Errorf("after its address has changed, the worker is assigned as %+v", u.Assign)
	}
}
