package node

import (
	"math/rand/v2"
	"time"

	"fulmarcourse.example/core/membership"
)

// newIncarnation returns the incarnation of a process that starts now. Members take the greater one of two incarnations
// of a host for the later process, so it has to order by start time.
func newIncarnation(clock func() time.Time) string {
	return membership.NewIncarnation(clock(), rand.Uint32())
}
