package relay

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
)

// lateContext is a context whose deadline has passed but has not been noticed yet, as right after a pause of the process.
type lateContext struct{ context.Context }

func (lateContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// Scenario: the process of a relay was paused, or waits for processor time, for longer than the owner waits for a response;
// the owner has given the call up and calls again. Guards against results that are lost with the call that nobody waits for:
// the owner would count its orders as unanswered and stop the tasks that they have started.
func TestResultsAreKeptFromACallThatWasGivenUp(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, ctx := range map[string]context.Context{"cancelled": cancelled, "past its deadline": lateContext{t.Context()}} {
		t.Run(name, func(t *testing.T) {
			f := &fakeWorkers{reply: func(int, PollRequest) (PollReply, error) { return PollReply{}, errors.New("no answer") }}
			r := startRelay(t, f)
			if err := r.Update(assign(1, 0)); err != nil {
				t.Fatal(err)
			}
			r.send(1, schedule.Order{Kind: schedule.OrderStop, Worker: "w", Attempt: 7}, bootclock.Uptime())
			if _, err := r.Collect(ctx, 1, 0, 0); err == nil {
				t.Error("the call that was given up returns results")
			}
			results, err := r.Collect(t.Context(), 1, 0, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			if len(results.Outcomes) != 1 || results.Outcomes[0].Order.Attempt != 7 {
				t.Errorf("outcomes %+v, want that of the stop", results.Outcomes)
			}
		})
	}
}
