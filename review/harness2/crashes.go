//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Case "crashes": runners crash, one after another, and come back. Nothing that runs there is at fault: the next runner to crash is
// drawn without regard to what runs where, and no run ever ends "failed".

const (
	crashRunners = 14
	crashJobs    = 8
	crashTasks   = 6 // of each job
	crashEvery   = 1500 * time.Millisecond
	crashDown    = 2 * time.Second
	crashesFor   = 80 * time.Second
)

func playCrashes(trouble bool) (int, *site, []string) {
	s, err := newSite([]string{"uppsala", "vasteras", "orebro"}, 3, crashRunners, size{CPU: 16000, MemMb: 64000}, false)
	if err != nil {
		return couldntRun, s, []string{err.Error()}
	}
	if !s.awaitReady() {
		return couldntRun, s, []string{"the hosts are not ready"}
	}
	time.Sleep(2 * time.Second)
	kind := taskKind{size: size{CPU: 3200, MemMb: 6400}}
	job := map[string]any{"spec": "text", "steps": []map[string]any{{"count": crashTasks, "cpu": kind.size.CPU, "memMb": kind.size.MemMb,
		"estimateMs": 500, "longRunning": true}}}
	ids := make([]string, crashJobs)
	for n := range ids {
		ids[n] = fmt.Sprintf("%016x", 0x6d1f8b32ea5c0000+n)
		if !s.submit(n, ids[n], kind, job) {
			return couldntRun, s, []string{"a job was not accepted"}
		}
	}
	if !await(20*time.Second, func() bool { begun, _ := s.record.count(); return begun >= crashJobs*crashTasks }) {
		return couldntRun, s, []string{"the tasks have not all begun"}
	}
	var found []string
	crashes := 0
	next := time.Now().Add(time.Second)
	for end := time.Now().Add(crashesFor); time.Now().Before(end) && len(found) == 0; time.Sleep(100 * time.Millisecond) {
		if trouble && time.Now().After(next) {
			next = next.Add(crashEvery)
			s.runners[rand.IntN(len(s.runners))].crash(crashDown) // nothing happens if it is down
			crashes++
		}
		for n, id := range ids {
			h := s.hosts[n%len(s.hosts)]
			if state := s.state(h, id); state == "failed" || state == "cancelled" {
				s.record.event("GET", "%s at %s: %s", id, h.name, state)
				found = append(found, fmt.Sprintf("%s: %s shows it as %s; ends of its tasks: %d failed, %d gone with their runner", id, h.name, state,
					s.record.endsOf(id, "failed"), s.record.endsOf(id, "gone")))
			}
		}
	}
	time.Sleep(2 * time.Second)
	verdict := []string{fmt.Sprintf("%d crashes; LOST broken for %d jobs", crashes, len(found))}
	if len(found) > 0 {
		return broken, s, append(verdict, found...)
	}
	return held, s, verdict
}
