package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarcourse.example/core/latency"
	"fulmarcourse.example/core/structs"
)

// Guards against a retry storm: when every attempt fails, sends must never exceed 1.1 times the requests, and a period
// without failures must not save tokens for a long burst.
func TestBudgetBoundsSends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		requests, sent := 0, 0
		for _, tries := range rapid.SliceOf(rapid.IntRange(0, 5)).Draw(t, "tries") {
			b.RecordRequest()
			requests++
			sent++
			for range tries {
				if b.Spend() {
					sent++
				}
			}
			if 10*sent > 11*requests {
				t.Fatalf("%d sends for %d requests", sent, requests)
			}
		}
	})
	var b Budget
	for range 1_000_000 {
		b.RecordRequest()
	}
	burst := 0
	for ; b.Spend(); burst++ {
	}
	want(t, burst, MaxSavedTokens, "burst after a period without failures")
}

// Guards against running a non-idempotent request twice, and against sends to runners outside the budget.
func TestDecide(t *testing.T) {
	cases := []struct {
		outcome    structs.Outcome
		reason     string
		idempotent bool
		want       Action
	}{
		{structs.Answered, "", true, Stop},
		{structs.Answered, "", false, Stop},
		{structs.NotRun, structs.ReasonWrongOwner, false, RetryOtherShard},
		{structs.NotRun, structs.ReasonQueueFull, true, RetryOtherShard},
		{structs.NotRun, structs.ReasonRunnerRefused, false, RetryBudgeted},
		{structs.NotRun, structs.ReasonRunnerRefused, true, RetryBudgeted},
		{structs.NotRun, structs.ReasonCancelled, true, Stop},
		{structs.OutcomeUnknown, structs.ReasonRunnerLost, true, RetryBudgeted},
		{structs.OutcomeUnknown, structs.ReasonRunnerLost, false, Stop},
		{"", "", false, Stop},
		{"", "", true, Stop},
	}
	for _, c := range cases {
		if got := Decide(structs.Reply{Outcome: c.outcome, Reason: c.reason}, c.idempotent); got != c.want {
			t.Errorf("%+v: got %d", c, got)
		}
	}
}

// Guards against hedges of non-idempotent requests, hedges based on too few samples, and hedges that are sent too late
// to finish.
func TestHedgeDelay(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	w := latency.NewWindow(time.Minute)
	for i := range HedgeSamples - 1 {
		w.Observe(now, time.Duration(i+1)*time.Millisecond)
	}
	want(t, found(HedgeDelay(now, w, true, time.Hour)), false, "hedge with too few samples")
	w.Observe(now, HedgeSamples*time.Millisecond)
	delay, ok := HedgeDelay(now, w, true, time.Hour)
	want(t, ok && delay >= 35*time.Millisecond && delay <= 40*time.Millisecond, true, "delay of about the 95th percentile")
	want(t, found(HedgeDelay(now, w, false, time.Hour)), false, "hedge of a non-idempotent request")
	want(t, found(HedgeDelay(now, w, true, delay+time.Millisecond)), false, "hedge that cannot finish in time")
}

// want ends the test unless got equals expected.
func want[T comparable](t testing.TB, got, expected T, subject string) {
	t.Helper()
	if got != expected {
		t.Fatalf("%s: got %v, want %v", subject, got, expected)
	}
}

// found returns the second result of a call.
func found[T any](_ T, ok bool) bool { return ok }

// Guards against reroutes that multiply the attempts when all shards are overloaded, and against a single overloaded
// shard whose load is not moved to others.
func TestReroutesAreBounded(t *testing.T) {
	var b RerouteBudget
	const requests = 10_000
	rerouted := 0
	for range requests {
		b.RecordRequest()
		for range 3 {
			if b.Spend() {
				rerouted++
			}
		}
	}
	if limit := requests/RequestsPerReroute + MaxSavedReroutes; rerouted > limit || rerouted < requests/RequestsPerReroute {
		t.Fatalf("%d reroutes for %d requests, want at most %d", rerouted, requests, limit)
	}
	for range MaxSavedReroutes * RequestsPerReroute {
		b.RecordRequest()
	}
	for n := range MaxSavedReroutes {
		if !b.Spend() {
			t.Fatalf("only %d reroutes after a period without rejections", n)
		}
	}
}
