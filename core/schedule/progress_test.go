package schedule

import (
	"fmt"
	"testing"

	"fulmarcourse.example/core/workload"
)

// Scenario: a service task starts again while the ends of many jobs have to be stored, which takes many transactions. Guards
// against a start that waits for the records of other jobs.
func TestRecordsThatStartsWaitForComeFirst(t *testing.T) {
	h := newStartedHarness(t, 6)
	for n := range 60 {
		id := workload.JobID(fmt.Sprint("job", n))
		h.s.AddJob(testJob(id, testStep(1)), nil, false)
	}
	h.run()
	for n := range 60 {
		h.end(taskID(workload.JobID(fmt.Sprint("job", n)), 0, 0), EndDone)
	}
	h.reportAll()
	h.s.AddJob(testJob("service", testService(1)), nil, false)
	h.s.Plan(h.now)
	records := h.s.Changed()
	if len(records) < 20 {
		t.Fatalf("%d records, too few for several transactions", len(records))
	}
	if records[0].Job != "service" {
		t.Errorf("the record of %s comes before that of the service", records[0].Job)
	}
}
