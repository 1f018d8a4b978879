//go:build review2

package main

import (
	"fmt"
	"time"
)

// Case "returned": a runner crashes and starts again under its id, tasks that last start there again, and some seconds later the runner is
// lost for good. The other runners have room by then.

const (
	returnedRunners = 16
	returnedTasks   = 32 // of each of two jobs; together they fill the service
)

func playReturned(trouble bool) (int, *site, []string) {
	s, err := newSite([]string{"uppsala", "vasteras", "orebro"}, 3, returnedRunners, size{CPU: 16000, MemMb: 64000}, false)
	if err != nil {
		return couldntRun, s, []string{err.Error()}
	}
	if !s.awaitReady() {
		return couldntRun, s, []string{"the hosts are not ready"}
	}
	time.Sleep(2 * time.Second)
	kind := taskKind{size: size{CPU: 4000, MemMb: 4000}}
	job := map[string]any{"spec": "text", "steps": []map[string]any{{"count": returnedTasks, "cpu": kind.size.CPU, "memMb": kind.size.MemMb,
		"estimateMs": 500, "longRunning": true}}}
	kept, left := "41d7e09a6c250001", "41d7e09a6c250002"
	allRun := func() bool { return s.record.runningOf(kept)+s.record.runningOf(left) == 2*returnedTasks }
	if !s.submit(0, kept, kind, job) || !s.submit(1, left, kind, job) || !await(20*time.Second, allRun) {
		return couldntRun, s, []string{"the tasks have not all begun"}
	}
	time.Sleep(8 * time.Second)
	one := s.runners[0]
	one.keepID = true
	if trouble {
		one.crash(time.Second)
		if !await(20*time.Second, allRun) {
			return couldntRun, s, []string{"the tasks don't run again"}
		}
	}
	for n := 0; ; n++ { // the client cancels one of the jobs, which leaves half of the service free
		status, _ := s.call(s.hosts[n%len(s.hosts)], "DELETE", left, nil)
		s.record.event("DELETE", "%s: %d", left, status)
		if status == 200 {
			break
		}
		if n == 10 {
			return couldntRun, s, []string{"the job can't be cancelled"}
		}
	}
	if !await(10*time.Second, func() bool { return s.record.runningOf(left) == 0 }) {
		return couldntRun, s, []string{"the cancelled job goes on"}
	}
	time.Sleep(3 * time.Second)
	lost := time.Now()
	away := returnedTasks - s.record.runningOf(kept)
	if trouble {
		one.crash(0)
		away = returnedTasks - s.record.runningOf(kept)
	}
	// A task that lasts may be away for 6 s after its last run, and then for less than 3 s more.
	time.Sleep(time.Until(lost.Add(9 * time.Second)))
	late := returnedTasks - s.record.runningOf(kept)
	free, share := s.room(kind.size, serviceName)
	again := await(10*time.Second, func() bool { return s.record.runningOf(kept) == returnedTasks })
	verdict := []string{fmt.Sprintf("%d tasks were on the runner; 9.0 s after its loss %d don't run, beside room for %d, %.2f in use; all run again: %v, after %.1f s",
		away, late, free, share, again, time.Since(lost).Seconds())}
	if late > 0 && free >= 2*late && s.record.startedBetween(kept, lost.Add(6*time.Second), lost.Add(9*time.Second)) == 0 {
		return broken, s, append(verdict, fmt.Sprintf("LOST broken for %d tasks that last: from 6 s to 9 s after their last run they had nothing running", late))
	}
	return held, s, verdict
}

// startedBetween returns how many runs of a job have begun between two times.
func (r *record) startedBetween(job string, from, to time.Time) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.runs {
		if one.task[:len(job)] == job && one.started.After(from) && one.started.Before(to) {
			n++
		}
	}
	return n
}
