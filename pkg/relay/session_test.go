package relay

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

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

// Guards against a crash that is taken for certain although the worker may have been cut off before, and its tasks may have ended there:
// only a connection that breaks soon after an answer shows that the process ended while they ran. Later failures do not change that.
func TestBrokenConnectionIsReportedOnlySoonAfterAnAnswer(t *testing.T) {
	late := schedule.MaxUnobserved + time.Millisecond
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	for name, c := range map[string]struct {
		age      time.Duration // of the last answer to a poll
		fails    []error       // of the polls since
		accepted time.Duration // age of the last accepted order; 0 if there is none
		sent     time.Duration // age of the first poll that has failed
		listed   string        // address to which the polls went, if not to that of the last answer
		want     bool
	}{
		"closed":                    {fails: []error{errors.Annotate(io.EOF, "hold")}, want: true},
		"reset":                     {fails: []error{errors.Trace(syscall.ECONNRESET)}, want: true},
		"refused":                   {fails: []error{errors.Trace(refused)}, want: true},
		"no answer":                 {fails: []error{context.DeadlineExceeded}},
		"other answer":              {fails: []error{errors.New("hold: status 421")}},
		"closed late":               {age: late, fails: []error{io.EOF}},
		"no answer, then refused":   {fails: []error{context.DeadlineExceeded, refused}},
		"closed, then no answer":    {fails: []error{io.EOF, context.DeadlineExceeded}, want: true},
		"closed late, then refused": {age: late, fails: []error{io.EOF, refused}},
		"closed after an order that was accepted while the poll was open": {
			age: late, fails: []error{io.EOF}, accepted: time.Millisecond, sent: late - time.Millisecond, want: true},
		"closed long after such an order": {
			age: 2 * late, fails: []error{io.EOF}, accepted: late, sent: late + time.Millisecond},
		"refused at an address where it has not answered": {fails: []error{refused}, listed: "elsewhere"},
		"refused after an order that was accepted while no poll was open": {
			age: late, fails: []error{refused}, accepted: 2 * time.Millisecond, sent: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			r := startRelay(t, &fakeWorkers{})
			s := &session{relay: r, worker: schedule.WorkerInfo{ID: "w"}}
			s.recordReply("", PollReply{})
			now := s.clockReadAt
			s.clockReadAt -= c.age
			if c.accepted > 0 {
				s.acceptedAt = now - c.accepted
			}
			for _, err := range c.fails {
				s.pollFailed(PollRequest{Worker: schedule.WorkerInfo{ID: "w", Address: c.listed}}, now-c.sent, err)
			}
			reports := r.reports.take(1)
			if len(reports) != 1 || reports[0].ConnectionBroken() != c.want {
				t.Errorf("reported as %+v, want a broken connection: %t", reports, c.want)
			}
		})
	}
}

// Guards against a connection that counts as broken for good: a worker that has answered since then, or has accepted an order, has not
// crashed. A worker that has never answered has shown nothing.
func TestAnswerAfterABrokenConnectionShowsThatTheWorkerRuns(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(r *Relay, s *session)
		want   bool
	}{
		"none":                            {func(*Relay, *session) {}, true},
		"poll":                            {func(_ *Relay, s *session) { s.recordReply("", PollReply{}) }, false},
		"accepted order":                  {func(r *Relay, s *session) { r.recordAccepted(1, "w", s.failedAt+1) }, false},
		"late answer to an earlier order": {func(r *Relay, s *session) { r.recordAccepted(1, "w", s.failedAt-1) }, true},
	} {
		r := startRelay(t, &fakeWorkers{})
		s := &session{relay: r, worker: schedule.WorkerInfo{ID: "w"}}
		r.term, r.sessions["w"] = 1, s
		if s.recordFailure(PollRequest{Worker: s.worker}, 0, io.EOF); s.broken {
			t.Error("the connection to a worker that has never answered counts as broken soon after an answer")
		}
		s.recordReply("", PollReply{})
		s.recordFailure(PollRequest{Worker: s.worker}, s.clockReadAt, io.EOF)
		c.answer(r, s)
		if s.recordFailure(PollRequest{Worker: s.worker}, s.clockReadAt, context.DeadlineExceeded); s.broken != c.want {
			t.Errorf("%s: broken %t, want %t", name, s.broken, c.want)
		}
	}
}
