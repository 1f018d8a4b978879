package node

import (
	"math/rand/v2"
	"time"

	"fulmarcourse.example/core/membership"
)

// newIncarnation returns the incarnation of a process that starts now. Incarnations must order by start time, since
// members consider the process with the greater incarnation of a host the later one.
func newIncarnation(clock func() time.Time) string {
	return membership.NewIncarnation(clock(), rand.Uint32())
}
