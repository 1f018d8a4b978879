package dispatch

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/phuslu/log"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// Guards against an owner that falls behind without a warning, against a warning for each interval while it stays behind
// or while its lateness varies, and against a recovery that is announced too early.
func TestOwnerWarnsOnceWhenItFallsBehind(t *testing.T) {
	var text bytes.Buffer
	logger := eventlog.NewLogger(&text, log.InfoLevel, "host")
	var late lateness
	now := time.Now()
	for n, step := range []struct {
		age    time.Duration
		late   int // reports with this age of 100; the others are in time
		want   eventlog.Code
		behind int64 // milliseconds, of OwnerCaughtUp
	}{
		{age: behindAge / 2, late: 100},
		{age: 10 * time.Second, late: 4}, // a few late reports
		{age: behindAge + 2*ageStep, late: 6, want: eventlog.OwnerBehind},
		{age: 10 * time.Second, late: 100},
		{age: behindAge / 2, late: 100}, // between the two bounds
		{late: 0},                       // no reports at all
		{age: caughtUpAge / 2, late: 100, want: eventlog.OwnerCaughtUp, behind: 8000},
		{age: behindAge / 2, late: 100},
		{age: 2 * behindAge, late: 100, want: eventlog.OwnerBehind},
	} {
		s := &status{}
		for i := range 100 {
			if step.age > 0 && i < step.late {
				s.receivedAge.add(step.age)
			} else if step.age > 0 {
				s.receivedAge.add(0)
			}
		}
		text.Reset()
		late.update(now, s, logger, 1)
		now = now.Add(statusInterval)
		var line struct {
			Event  eventlog.Code
			Behind int64 `json:"behind_for"`
		}
		if text.Len() > 0 {
			if err := json.Unmarshal(text.Bytes(), &line); err != nil {
				t.Fatalf("step %d: %v in %q", n, err, text.String())
			}
		}
		if line.Event != step.want || line.Behind != step.behind {
			t.Errorf("step %d: event %d after %d ms, want %d after %d ms", n, line.Event, line.Behind, step.want, step.behind)
		}
	}
}
