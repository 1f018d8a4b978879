package node

import (
	"testing"
	"time"

	"fulmarcourse.example/core/membership"
)

// Guards against a restarted entry host that considers the registry entry of its previous process newer than itself and
// therefore cannot register until that entry expires.
func TestLaterProcessHasNewerIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	former := newIncarnation(func() time.Time { return now })
	for range 50 {
		now = now.Add(time.Millisecond)
		next := newIncarnation(func() time.Time { return now })
		if !membership.Newer(next, former) {
			t.Fatalf("%s started after %s and is not newer", next, former)
		}
		former = next
	}
}
