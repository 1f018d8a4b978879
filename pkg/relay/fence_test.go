package relay

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
)

// fenced returns an update that assigns the worker with an offset of its fencing token.
func fenced(offset int64) Update {
	return Update{Term: 7, Reset: true, LeaseUntil: time.Hour, Assign: []Assignment{{Worker: schedule.WorkerInfo{ID: "w"}, FenceOffset: offset}}}
}

// Guards against calls with the former token once the owner has raised it, against a report that does not tell with which token it was polled,
// and against a token that falls.
func TestCallsHaveTheRaisedToken(t *testing.T) {
	r := startRelay(t, &fakeWorkers{reply: func(int, PollRequest) (PollReply, error) {
		return PollReply{ClockMs: 1, Report: schedule.Report{Incarnation: 1}}, nil
	}})
	for _, c := range []struct{ offset, want int64 }{{0, 7}, {2, 9}, {1, 9}} {
		if err := r.Update(fenced(c.offset)); err != nil {
			t.Fatal(err)
		}
		r.mu.Lock()
		s := r.sessions["w"]
		r.mu.Unlock()
		req, ok := s.nextPoll()
		if !ok || req.Fence != c.want {
			t.Errorf("poll with token %d, want %d", req.Fence, c.want)
		}
		command := Command{Order: schedule.Order{Kind: schedule.OrderStop, Worker: "w"}, Fence: 7}
		if err := r.prepareCommand(7, &command); err != nil || command.Fence != c.want {
			t.Errorf("order with token %d, error %v, want %d", command.Fence, err, c.want)
		}
		if !s.poll(t.Context(), req) {
			t.Fatal("the poll fails")
		}
		results, err := r.Collect(t.Context(), 7, 0, time.Second)
		if err != nil || len(results.Reports) == 0 || results.Reports[len(results.Reports)-1].Report.Fence != c.want {
			t.Errorf("results %+v, error %v, want a report of a poll with token %d", results, err, c.want)
		}
	}
}

// Guards against an owner that is told of a later one because a poll was rejected whose token was raised meanwhile, and against a worker that
// rejects polls and of which the owner hears nothing.
func TestRejectedPollIsReportedUnlessItsTokenWasRaised(t *testing.T) {
	r := New(Config{Workers: rejectingWorkers{}, TaskLease: 6 * time.Second, Scope: tally.NoopScope})
	t.Cleanup(r.Close)
	if err := r.Update(Update{Term: 7, LeaseUntil: time.Hour, Assign: []Assignment{{Worker: schedule.WorkerInfo{ID: "other"}}}}); err != nil {
		t.Fatal(err)
	}
	s := &session{relay: r, term: 7, worker: schedule.WorkerInfo{ID: "w"}, fenceOffset: 1}
	if s.poll(t.Context(), PollRequest{Worker: s.worker, Fence: 7}) {
		t.Fatal("the poll succeeds")
	}
	if reported := r.reports.has("w"); reported {
		t.Error("a poll with a former token is reported")
	}
	if s.poll(t.Context(), PollRequest{Worker: s.worker, Fence: 8}) {
		t.Fatal("the poll succeeds")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range r.reports.take(maxReports) {
		if report.Worker == "w" && !report.PollFenced() {
			t.Errorf("report %+v, want one of a rejected poll", report)
		}
	}
	if !r.results.Fenced {
		t.Error("owners of former versions are not told")
	}
}

// Guards against a worker that counts as silent, and against an owner that is told of a later one, because a poll of a session was rejected that
// has ended since: the present one may use a higher token.
func TestRejectedPollOfAFormerSessionIsNotReported(t *testing.T) {
	r := New(Config{Workers: rejectingWorkers{}, TaskLease: 6 * time.Second, Scope: tally.NoopScope})
	t.Cleanup(r.Close)
	former := &session{relay: r, worker: schedule.WorkerInfo{ID: "w"}}
	r.mu.Lock()
	r.sessions["w"] = &session{relay: r, worker: former.worker, fenceOffset: 1}
	r.mu.Unlock()
	if former.poll(t.Context(), PollRequest{Worker: former.worker}) {
		t.Fatal("the poll succeeds")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.results.Fenced || r.reports.has("w") {
		t.Errorf("reported: fenced %t, worker %t", r.results.Fenced, r.reports.has("w"))
	}
}

// rejectingWorkers reject all polls because of their token.
type rejectingWorkers struct{}

func (rejectingWorkers) Poll(context.Context, PollRequest) (PollReply, error) {
	return PollReply{}, errors.Annotate(ErrFenced, "hold")
}

func (rejectingWorkers) Send(context.Context, Command) (schedule.Outcome, error) {
	return schedule.RejectedFenced, nil
}
