package dispatch

import (
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

const (
	// minOwnership is how long an owner keeps a partition before it hands it over, and provenRelay how long the link to the
	// stronger host must have existed. Both keep the ownership from moving between hosts that restart.
	minOwnership = 5 * time.Second
	provenRelay  = 3 * time.Second
)

// StrongerHost returns a host that would carry the owner much better than this one, which has the given number of cores.
// It must have answered as a relay recently: the list of registered hosts may name one that is gone. found is false while
// the partition is being taken over.
func (o *Owner) StrongerHost(cores float64) (name string, found bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := bootclock.Uptime()
	if !o.takenOver || now-o.startedAt < minOwnership || now >= o.ownership.ValidUntil() {
		return "", false
	}
	for _, l := range o.links {
		if l.host.Local || l.host.Cores < term.WeakFactor*cores {
			continue
		}
		if now-l.openedAt >= provenRelay && now-l.lastResponseAt < relayTimeout {
			return l.host.Name, true
		}
	}
	return "", false
}
