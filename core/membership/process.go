package membership

import (
	"fmt"
	"time"

	"fulmarcourse.example/core/structs"
)

// Process identifies one run of an entry host's process.
type Process struct {
	Host        structs.HostID
	Incarnation string
}

// String returns "<host>@<incarnation>".
func (p Process) String() string { return string(p.Host) + "@" + p.Incarnation }

// NewIncarnation returns an incarnation that sorts by start time. random distinguishes processes that started
// in the same nanosecond.
func NewIncarnation(start time.Time, random uint32) string {
	return fmt.Sprintf("%016x-%08x", uint64(start.UnixNano()), random)
}

// Newer reports whether incarnation a started after incarnation b. Incarnations have a fixed width, so their string
// order is the order of their start times.
func Newer(a, b string) bool { return a > b }
