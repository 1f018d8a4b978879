package schedule

import (
	"testing"

	"fulmarcourse.example/core/structs"
)

// Guards against a service that stays down after a takeover because another worker is silent, and against starting one
// while its former attempt may still run on a silent worker.
func TestServicesWaitOnlyForTheirOwnWorker(t *testing.T) {
	h := newHarness(t, 1)
	w1 := h.addWorker("w1", nil)
	service := testStep(2)
	service.Service = true
	service.MaxPerWorker = 1
	job := testJob("service", service)
	h.s.AddJob(job, nil, false)
	h.wantStarts(h.run(), 1)
	w2 := h.addWorker("w2", nil)
	h.wantStarts(h.run(), 1)
	progress := h.s.jobs["service"].progress()
	w1.running, w1.ended = nil, nil // w1 has crashed; w2 is silent
	w3 := h.addWorker("w3", nil)
	h.newTerm(2)
	h.s.InheritWorkers(h.now, []WorkerInfo{w1.info, w2.info, w3.info})
	h.s.SetWorkers(h.now, []WorkerInfo{w1.info, w2.info, w3.info})
	h.s.AddJob(job, &progress, true)
	h.report("w1")
	h.report("w3")
	orders := h.run()
	h.wantStarts(orders, 1)
	if orders[0].Task.Index != 0 || orders[0].Worker == "w2" {
		t.Fatalf("started %s", describe(orders))
	}
}

// Guards against ordering the start of a service before its worker is stored: a later owner could not know where it
// runs.
func TestServiceStartsOnceItsWorkerIsStored(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	service := testStep(1)
	service.Service = true
	h.s.AddJob(testJob("service", service), nil, false)
	h.s.Plan(h.now)
	h.wantStarts(h.s.TakeOrders(), 0)
	records := h.store()
	if got := records[0].Progress.Steps[0].Tasks[0].Worker; got != "w1" {
		t.Fatalf("stored worker %q", got)
	}
	h.wantStarts(h.s.TakeOrders(), 1)
}

// Guards against stopping more tasks of a service at a time than its step tolerates, and against tolerating only one
// where the step allows more.
func TestServiceLeavesSlowWorkersWithinItsLimit(t *testing.T) {
	for maxUnavailable, want := range map[int]int{0: 0, 1: 1, 2: 2} {
		h := newHarness(t, 1)
		service := testStep(4)
		service.Service, service.MaxUnavailable = true, maxUnavailable
		h.addWorker("slow", func(info *WorkerInfo) { info.Capacity.MilliCPU = 4000 })
		h.s.AddJob(testJob("service", service), nil, false)
		h.wantStarts(h.run(), 4)
		h.addWorker("other", nil)
		h.advanceClock(minRunTime)
		for i := range h.workers["slow"].running {
			h.workers["slow"].running[i].Percent = fullShare
		}
		h.reportAll()
		h.s.workers["slow"].slowness.add(h.now.Boot, maxSlowness, 2*minSlowWeight)
		if stops := len(ofKind(h.plan(), OrderStop)); stops != want {
			t.Errorf("limit %d: %d tasks are stopped, want %d", maxUnavailable, stops, want)
		}
	}
}

// Guards against the start of a service on a worker that has announced its end, or in a data centre that was taken out of
// service, while the store was slow to confirm the worker of the service: the decision is seconds old by then.
func TestServiceStartIsCheckedAgainOnceItIsStored(t *testing.T) {
	for name, leave := range map[string]func(h *harness){
		"draining": func(h *harness) {
			h.workers["w1"].info.Draining = true
			h.listWorkers()
		},
		"evacuated": func(h *harness) { h.s.SetEvacuated([]structs.DatacentreID{"dc1"}) },
	} {
		h := newHarness(t, 1)
		h.addWorker("w1", nil)
		service := testStep(1)
		service.Service = true
		h.s.AddJob(testJob("service", service), nil, false)
		h.s.Plan(h.now)
		leave(h)
		h.store()
		h.wantStarts(h.s.TakeOrders(), 0)
		h.addWorker("w2", func(info *WorkerInfo) { info.Datacentre = "dc2" })
		orders := starts(h.run())
		if len(orders) != 1 || orders[0].Worker != "w2" {
			t.Errorf("%s: %s", name, describe(orders))
		}
	}
}
