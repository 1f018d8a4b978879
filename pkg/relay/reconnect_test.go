package relay

import (
	"context"
	"testing"
	"time"

	"fulmarcourse.example/core/schedule"
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
