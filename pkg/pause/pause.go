// Package pause provides a sleep that the end of a context interrupts.
package pause

import (
	"context"
	"time"
)

// For returns after d, or earlier if ctx ends.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
