package relay

import (
	"context"
	"testing"
	"time"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
)

// Guards against leases that expire although their worker can be reached again: each poll that was sent before the end of a cut was waited
// for to the full timeout, and the next one came too late. And against workers that answer slowly and are never found again.
func TestPollsOfSilentWorkersHaveShortTimeouts(t *testing.T) {
	s := &session{relay: startRelay(t, &fakeWorkers{}), worker: schedule.WorkerInfo{ID: "w"}, address: "former"}
	fail := func() { s.recordFailure(PollRequest{Worker: s.workerAt(s.pollAddress())}, 0, context.DeadlineExceeded) }
	s.recordReply("former", PollReply{})
	if got := s.answerTimeout(); got != pollTimeout {
		t.Errorf("a worker that answers is given %v, want %v", got, pollTimeout)
	}
	const polls = 4 * fullTimeoutEvery
	sum, full := time.Duration(0), map[string]int{}
	for range polls {
		fail()
		timeout := s.answerTimeout()
		sum += timeout + pollRetryDelay
		if timeout == pollTimeout {
			full[s.pollAddress()]++
		}
	}
	if mean, want := sum/polls, (pollTimeout+pollRetryDelay)*3/4; mean > want {
		t.Errorf("polls of a silent worker are %v apart in the mean, want %v at most", mean, want)
	}
	if full["former"] == 0 || full[""] == 0 {
		t.Errorf("polls with the full timeout went to %v, want some at the former and some at the listed address", full)
	}
	s.recordReply("former", PollReply{})
	if got := s.answerTimeout(); got != pollTimeout {
		t.Errorf("a worker that answers again is given %v, want %v", got, pollTimeout)
	}
}

// Scenario: a worker that was silent answers, and lists ends that are not stored yet. Guards against leases that expire meanwhile: the next
// poll, which extends them, waited until the ends were stored or collected.
func TestLeasesAreExtendedRightAfterTheFirstAnswer(t *testing.T) {
	extended := make(chan time.Duration, 100)
	answeredAt := time.Duration(0)
	f := &fakeWorkers{}
	f.reply = func(n int, req PollRequest) (PollReply, error) {
		switch {
		case n <= 2:
			return PollReply{}, context.DeadlineExceeded
		case answeredAt == 0:
			answeredAt = bootclock.Uptime()
		case req.LeaseToMs != 0:
			extended <- bootclock.Uptime()
		}
		return PollReply{ClockMs: 1000, Report: schedule.Report{Incarnation: 1, Ended: []schedule.Ended{{Number: 1}}}}, nil
	}
	r := startRelay(t, f)
	const wait = 10 * time.Second // also for ends to be stored
	update := assign(1, bootclock.Uptime()+time.Hour)
	update.Assign[0].Wait = wait
	if err := r.Update(update); err != nil {
		t.Fatal(err)
	}
	r.mu.Lock()
	r.lastCall += time.Hour // no owner calls
	r.mu.Unlock()
	if waited := <-extended - answeredAt; waited >= wait/2 {
		t.Errorf("the leases are extended %v after the first answer, beside ends that are not stored for %v", waited, wait)
	}
}

// Guards against leases that expire after the owner has ended their withholding: the worker held a poll open to the end, which was sent
// before.
func TestPollOfAWithheldWorkerIsNotHeldToTheEnd(t *testing.T) {
	s := &session{relay: startRelay(t, &fakeWorkers{}), worker: schedule.WorkerInfo{ID: "w"}, wait: time.Second, withhold: true}
	s.relay.lastCall = bootclock.Uptime()
	s.recordReply("", PollReply{ClockMs: 1000})
	if req, ok := s.nextPoll(); !ok || req.LeaseToMs != 0 || req.Wait > unpermittedWait {
		t.Errorf("the poll of a worker whose leases are withheld is %+v, want no lease and a wait of %v at most", req, unpermittedWait)
	}
}
