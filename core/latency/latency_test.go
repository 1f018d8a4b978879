package latency

import (
	"testing"
	"time"
)

// Guards against quantiles outside the stated error, stale cached values, and old samples that are never dropped.
func TestWindowQuantiles(t *testing.T) {
	w := NewWindow(10 * time.Second)
	now := time.Unix(1_000_000, 0)
	if _, ok := w.Quantile(now, 0.5); ok {
		t.Fatal("empty window has a quantile")
	}
	for i := 1; i <= 1000; i++ {
		w.Observe(now, time.Duration(i)*time.Millisecond)
		w.Quantile(now, 0.95) // fills the cache
	}
	near := func(q float64, want time.Duration) {
		t.Helper()
		got, ok := w.Quantile(now, q)
		// The cache may be RefreshSamples samples old, which is 3% here.
		if !ok || got < want*95/100 || got > want*105/100 {
			t.Fatalf("quantile %v is %v, want about %v", q, got, want)
		}
	}
	near(0.5, 500*time.Millisecond)
	near(0.95, 950*time.Millisecond)
	now = now.Add(11 * time.Second)
	for range 1000 {
		w.Observe(now, time.Millisecond)
	}
	near(0.25, time.Millisecond)
	now = now.Add(11 * time.Second)
	w.Observe(now, time.Millisecond)
	near(0.99, time.Millisecond)
	now = now.Add(time.Hour)
	if n := w.Count(now); n != 0 {
		t.Fatalf("%d samples left after an hour", n)
	}
}
