package relay

import (
	"testing"
	"time"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
)

// Scenario: an owner that has fallen behind stores the ends of a worker a second after they were reported, and meanwhile the
// worker has crashed, has started again under its ID and has completed a task. Guards against a poll that acknowledges the ends
// of the former process: the new one numbers its ends from 1 again, would drop them unseen, and the task would run again.
func TestOldAnswerAcknowledgesNoEnds(t *testing.T) {
	r := startRelay(t, &fakeWorkers{})
	for _, c := range []struct {
		age  time.Duration // of the worker's last answer
		want int64
	}{
		{0, 57},
		{maxAckAge + time.Millisecond, 0},
		{time.Minute, 0},
	} {
		s := &session{relay: r, worker: schedule.WorkerInfo{ID: "w"}, wait: time.Second, incarnation: 1, newestEnd: 57, storedEnd: 57, lastPollOK: true}
		s.clockReadAt = bootclock.Uptime() - c.age
		r.lastCall = bootclock.Uptime()
		req, ok := s.nextPoll()
		if !ok || req.AckedEnd != c.want {
			t.Errorf("%v after the last answer a poll acknowledges end %d, want %d", c.age, req.AckedEnd, c.want)
		}
		if waits := req.Wait > 0; waits != (c.want > 0) {
			t.Errorf("a poll that acknowledges end %d of 57 waits for %v", req.AckedEnd, req.Wait)
		}
	}
}
