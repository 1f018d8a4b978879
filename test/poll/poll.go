// Package poll lets tests wait for a condition without a fixed sleep, and run something beside them. Its limit is far above any expected time,
// so that a slow machine does not change a verdict.
package poll

import (
	"context"
	"testing"
	"time"
)

const (
	interval = time.Millisecond
	// Limit is how long Until waits.
	Limit = time.Minute
)

// Until returns when the condition holds. It ends the test when it does not hold within Limit. It is called on
// the test's own goroutine.
func Until(t testing.TB, what string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	deadline := time.After(Limit)
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatalf("not reached within %v: %s", Limit, what)
		}
	}
}

// Background runs something until the test ends and waits for its end.
func Background(t testing.TB, run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}
