//go:build review2

package main

import (
	"fmt"
	"time"
)

// Case "large": beside a steady stream of small jobs a client hands in one job with a step of many small tasks, which is accepted. The
// script asks for all jobs finish_s after the end of the traffic, and watches whether anything runs.

const (
	largeTasks   = 15000
	largeRunners = 10
	smallFor     = 20 * time.Second
	smallEvery   = 500 * time.Millisecond
	finishTime   = 14 * time.Second
	watchTime    = 4 * time.Second // more than the 3 s in which a job may have nothing running
)

func playLarge(trouble bool) (int, *site, []string) {
	s, err := newSite([]string{"uppsala", "vasteras", "orebro"}, 3, largeRunners, size{CPU: 16000, MemMb: 64000}, false)
	if err != nil {
		return couldntRun, s, []string{err.Error()}
	}
	if !s.awaitReady() {
		return couldntRun, s, []string{"the hosts are not ready"}
	}
	time.Sleep(2 * time.Second)
	var accepted []string
	small := taskKind{size: size{CPU: 500, MemMb: 500}, work: 300 * time.Millisecond}
	large := taskKind{size: size{CPU: 16, MemMb: 10}, work: 3 * time.Second}
	hand := func(n int, id string, kind taskKind, count int) {
		if s.submit(n, id, kind, map[string]any{"spec": "text", "steps": []map[string]any{{"count": count, "cpu": kind.size.CPU,
			"memMb": kind.size.MemMb, "estimateMs": kind.work.Milliseconds()}}}) {
			accepted = append(accepted, id)
		}
	}
	began := time.Now()
	for n := 0; time.Since(began) < smallFor; n++ {
		hand(n, fmt.Sprintf("%016x", 0x2b7fe004c19a0000+n), small, 2)
		if trouble && n == 4 {
			hand(n, "7a30c15be48d0001", large, largeTasks)
		}
		time.Sleep(smallEvery)
	}
	time.Sleep(finishTime)
	watched := time.Now()
	begunBefore, _ := s.record.count()
	time.Sleep(watchTime)
	begun, ended := s.record.count()
	idle := begun == ended && begun == begunBefore && s.record.idleSince(watched)
	states := map[string]int{}
	for n, id := range accepted {
		state := s.state(s.hosts[n%len(s.hosts)], id)
		states[state]++
		s.record.event("GET", "%s: %s", id, state)
	}
	verdict := []string{fmt.Sprintf("%d accepted jobs, %d runs begun, %d ended; states %v; nothing ran for %v: %v", len(accepted), begun, ended, states, watchTime, idle)}
	if open := len(accepted) - states["completed"]; open > 0 && idle {
		return broken, s, append(verdict, fmt.Sprintf("LOST broken for %d jobs: for more than 3 s they had nothing running, and all runners were empty", open))
	}
	return held, s, verdict
}

// idleSince reports whether nothing has run since a time.
func (r *record) idleSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.runs {
		if one.ended.IsZero() || one.ended.After(t) {
			return false
		}
	}
	return true
}
