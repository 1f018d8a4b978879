//go:build review2

package main

import (
	"fmt"
	"time"
)

// Case "moved": the runners of a service are full, and jobs wait in its queue. A version of the configuration sends the route to another
// service, whose runners are free.

const (
	movedJobs   = 6
	configApply = 2 * time.Second
)

func playMoved(trouble bool) (int, *site, []string) {
	zones := []string{"uppsala", "vasteras", "orebro"}
	s, err := newSite(zones, 3, 2, size{CPU: 16000, MemMb: 64000}, false)
	if err != nil {
		return couldntRun, s, []string{err.Error()}
	}
	for n := 2; n < 4; n++ {
		if err := s.addRunner(n, otherService, zones[n%len(zones)], size{CPU: 16000, MemMb: 64000}); err != nil {
			return couldntRun, s, []string{err.Error()}
		}
	}
	if !s.awaitReady() {
		return couldntRun, s, []string{"the hosts are not ready"}
	}
	time.Sleep(2 * time.Second)
	wire := func(kind taskKind, count int, lasts bool) map[string]any {
		return map[string]any{"spec": "text", "steps": []map[string]any{{"count": count, "cpu": kind.size.CPU, "memMb": kind.size.MemMb,
			"estimateMs": 500, "longRunning": lasts}}}
	}
	lasting := taskKind{size: size{CPU: 3200, MemMb: 6400}}
	if !s.submit(0, "3f00c1a29be40000", lasting, wire(lasting, 10, true)) ||
		!await(20*time.Second, func() bool { begun, _ := s.record.count(); return begun == 10 }) {
		return couldntRun, s, []string{"the lasting tasks have not begun"}
	}
	small := taskKind{size: size{CPU: 1000, MemMb: 1000}, work: 500 * time.Millisecond}
	hand := func(first int) (ids []string) {
		for n := range movedJobs {
			id := fmt.Sprintf("%016x", 0x3f00c1a29be40000+first+n)
			if s.submit(n, id, small, wire(small, 2, false)) {
				ids = append(ids, id)
			}
		}
		return ids
	}
	before := hand(0x10)
	time.Sleep(2 * time.Second)
	if trouble {
		s.configure(3, otherService)
	}
	time.Sleep(configApply)
	after := hand(0x100)
	time.Sleep(finishTime)
	begunBefore, _ := s.record.count()
	time.Sleep(watchTime)
	begun, _ := s.record.count()
	count := func(ids []string) map[string]int {
		states := map[string]int{}
		for n, id := range ids {
			state := s.state(s.hosts[n%len(s.hosts)], id)
			s.record.event("GET", "%s: %s", id, state)
			states[state]++
		}
		return states
	}
	early, late := count(before), count(after)
	used := s.inUse(otherService)
	verdict := []string{fmt.Sprintf("accepted before the change: %v; accepted later: %v; runs on the route's service now: %d", early, late, used)}
	if open := len(before) - early["completed"]; trouble && open > 0 && begun == begunBefore && used == 0 {
		return broken, s, append(verdict, fmt.Sprintf(
			"LOST broken for %d jobs: for more than 3 s they had nothing running, and no run was on the runners of the route's service", open))
	}
	return held, s, verdict
}

// inUse returns how many runs there are on the runners of a service.
func (s *site) inUse(service string) (runs int) {
	for _, r := range s.runners {
		if r.service == service {
			r.mu.Lock()
			runs += len(r.running)
			r.mu.Unlock()
		}
	}
	return runs
}
