// Package poll lets tests wait for a condition without a fixed sleep, and run a function in the background. Its limit
// is far above any expected time, so that a slow machine does not fail a test.
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

// Until waits until the condition holds, and fails the test with description when it does not within Limit. It must be
// called on the test's own goroutine.
func Until(t testing.TB, description string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	deadline := time.After(Limit)
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatalf("not reached within %v: %s", Limit, description)
		}
	}
}

// Background runs a function in a goroutine. When the test ends, it cancels ctx and waits for the function to return.
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
