package bucket

import (
	"testing"
	"time"
)

// Guards against unused tokens that accumulate beyond the burst, items larger than the burst that never pass, and debt
// that is not repaid.
func TestBucket(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	b := New(1, 2, now)
	now = now.Add(time.Hour)
	taken := 0
	for b.Take(1, now) {
		taken++
	}
	if taken != 2 {
		t.Errorf("%d tokens after an hour, want the burst of 2", taken)
	}
	now = now.Add(time.Second)
	if !b.Take(10, now) {
		t.Error("an item larger than the burst was rejected")
	}
	if b.Ready(now.Add(9*time.Second)) || !b.Ready(now.Add(10*time.Second)) {
		t.Error("the debt of 9 tokens is not paid back in 9 s")
	}
	b = New(1, 1, now)
	if !b.Take(1, now) || b.Ready(now.Add(-time.Hour)) || b.Ready(now) {
		t.Error("tokens were added although the clock stepped back")
	}
}
