//go:build review2

package main

import (
	"fmt"
	"slices"
	"time"
)

// Case "moved": no runner of a service has room for the large tasks of jobs that wait in its queue, though under half of it is in use. A version
// of the configuration sends the route to another service, whose runners are free.

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
	for n := 2; n < 6; n++ {
		if err := s.addRunner(n, otherService, zones[n%len(zones)], size{CPU: 16000, MemMb: 64000}); err != nil {
			return couldntRun, s, []string{err.Error()}
		}
	}
	if !s.awaitReady() {
		return couldntRun, s, []string{"the hosts are not ready"}
	}
	time.Sleep(2 * time.Second)
	wire := func(kind taskKind, count, most int, lasts bool) map[string]any {
		return map[string]any{"spec": "text", "steps": []map[string]any{{"count": count, "cpu": kind.size.CPU, "memMb": kind.size.MemMb,
			"estimateMs": 500, "longRunning": lasts, "antiAffinity": most}}}
	}
	lasting := taskKind{size: size{CPU: 3000, MemMb: 6400}}
	if !s.submit(0, "3f00c1a29be40000", lasting, wire(lasting, 4, 2, true)) ||
		!await(20*time.Second, func() bool { begun, _ := s.record.count(); return begun == 4 }) {
		return couldntRun, s, []string{"the lasting tasks have not begun"}
	}
	waiting := taskKind{size: size{CPU: 12000, MemMb: 8000}, work: 500 * time.Millisecond}
	hand := func(first int) (ids []string) {
		for n := range movedJobs {
			id := fmt.Sprintf("%016x", 0x3f00c1a29be40000+first+n)
			if s.submit(n, id, waiting, wire(waiting, 2, 0, false)) {
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
	// ROUTE allows a start on the runners of each service to which a configuration has sent the queue.
	free, share := s.room(waiting.size, s.services...)
	verdict := []string{fmt.Sprintf("accepted before the change: %v; accepted later: %v; where they may start: room for %d such tasks, %.2f in use", early, late, free, share)}
	under := share < 0.5
	for _, service := range s.services {
		_, one := s.room(waiting.size, service)
		verdict = append(verdict, fmt.Sprintf("%s: %.2f in use", service, one))
		under = under && one < 0.5
	}
	if open := len(before) - early["completed"]; open > 0 && begun == begunBefore && free >= 4 && under {
		return broken, s, append(verdict, fmt.Sprintf(
			"LOST broken for %d jobs: for more than 3 s they had nothing running, beside room for their tasks twice over", open))
	}
	return held, s, verdict
}

// room returns how many more tasks of a size the runners of services have room for, and which share of their processors is in use.
func (s *site) room(need size, services ...string) (tasks int, share float64) {
	var used, all int64
	for _, r := range s.runners {
		r.mu.Lock()
		if !r.up || !slices.Contains(services, r.service) {
			r.mu.Unlock()
			continue
		}
		free := r.capacity
		for _, a := range r.running {
			free = size{free.CPU - a.needs.CPU, free.MemMb - a.needs.MemMb, free.GPU - a.needs.GPU}
		}
		r.mu.Unlock()
		tasks += int(min(free.CPU/need.CPU, free.MemMb/need.MemMb))
		used, all = used+r.capacity.CPU-free.CPU, all+r.capacity.CPU
	}
	return tasks, float64(used) / float64(all)
}
