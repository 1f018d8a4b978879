package standin

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/hostlist"
)

// HostListConfig configures a HostList.
type HostListConfig struct {
	Lag     time.Duration    // time between a change and its appearance in the list
	Clock   func() time.Time // time.Now when nil
	History *History         // records changes; may be nil
}

// HostList is a fake of the platform's list of hosts. It is an http.Handler. Changes appear after the lag.
type HostList struct {
	clock   func() time.Time
	history *History
	mux     *http.ServeMux

	mu      sync.Mutex
	lag     time.Duration
	down    bool
	visible map[structs.HostID]structs.Host
	version int          // of visible; counts its changes
	pending []hostChange // in order of time
}

type hostChange struct {
	at      time.Time // when it appears
	host    structs.Host
	removed bool
}

// NewHostList returns a list without hosts.
func NewHostList(cfg HostListConfig) *HostList {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	l := &HostList{
		clock: cfg.Clock, history: cfg.History, lag: cfg.Lag,
		mux: http.NewServeMux(), visible: map[structs.HostID]structs.Host{},
	}
	l.mux.HandleFunc("GET "+hostlist.Path, l.serve)
	return l
}

// ServeHTTP serves the list.
func (l *HostList) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// Put adds a host or replaces the host with the same id.
func (l *HostList) Put(host structs.Host) { l.change(hostChange{host: host}) }

// Remove removes a host from the list.
func (l *HostList) Remove(id structs.HostID) {
	l.change(hostChange{host: structs.Host{ID: id}, removed: true})
}

// SetState changes the state of a host that was put before. It reports whether the list has the host.
func (l *HostList) SetState(id structs.HostID, state structs.HostState) bool {
	host, ok := l.latest(id)
	if !ok {
		return false
	}
	host.State = state
	l.Put(host)
	return true
}

// SetLag changes the lag of later changes.
func (l *HostList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown makes calls fail with closed connections.
func (l *HostList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// ApplyPending makes all changes visible at once, for the start of a test.
func (l *HostList) ApplyPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, change := range l.pending {
		l.apply(change)
	}
	l.pending = nil
}

// latest returns a host with its pending changes applied.
func (l *HostList) latest(id structs.HostID) (structs.Host, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, change := range slices.Backward(l.pending) {
		if change.host.ID == id {
			return change.host, !change.removed
		}
	}
	host, ok := l.visible[id]
	return host, ok
}

func (l *HostList) change(change hostChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	change.at = now.Add(l.lag)
	l.pending = append(l.pending, change)
	if l.history != nil {
		l.history.add(now, Event{Type: HostChanged, Host: change.host.ID, Detail: string(change.host.State)})
	}
}

// apply makes a change visible. l.mu is held.
func (l *HostList) apply(change hostChange) {
	l.version++
	if change.removed {
		delete(l.visible, change.host.ID)
		return
	}
	l.visible[change.host.ID] = change.host
}

// hosts returns the visible hosts by id and their version, or false while the list is down.
func (l *HostList) hosts() ([]structs.Host, int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, 0, false
	}
	now := l.clock()
	for len(l.pending) > 0 && !now.Before(l.pending[0].at) {
		l.apply(l.pending[0])
		l.pending = l.pending[1:]
	}
	hosts := make([]structs.Host, 0, len(l.visible))
	for _, host := range l.visible {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b structs.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return hosts, l.version, true
}

// serve returns the list, or 304 to a caller that has its current version.
func (l *HostList) serve(w http.ResponseWriter, r *http.Request) {
	hosts, version, ok := l.hosts()
	if !ok {
		abort()
	}
	tag := fmt.Sprintf(`"%d"`, version)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	WriteJSON(w, http.StatusOK, hostlist.List{Hosts: hosts})
}
