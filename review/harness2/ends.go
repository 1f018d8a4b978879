//go:build review2

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Case "ends": many short tasks end on a runner while nobody polls it, since the entry host that did was killed. The next holder gets the
// first 500 ends, and the rest with later answers.

const (
	endsJobs  = 40
	endsTasks = 40 // of each job
)

func playEnds(trouble bool) (int, *site, []string) {
	s, err := newSite([]string{"uppsala", "vasteras", "orebro"}, 3, 2, size{CPU: 16000, MemMb: 64000}, false)
	if err != nil {
		return couldntRun, s, []string{err.Error()}
	}
	if !s.awaitReady() {
		return couldntRun, s, []string{"the hosts are not ready"}
	}
	time.Sleep(2 * time.Second)
	kind := taskKind{size: size{CPU: 20, MemMb: 80}, work: 3 * time.Second}
	job := map[string]any{"spec": "text", "steps": []map[string]any{{"count": endsTasks, "cpu": kind.size.CPU, "memMb": kind.size.MemMb,
		"estimateMs": kind.work.Milliseconds()}}}
	var wg sync.WaitGroup
	ids := make([]string, endsJobs)
	for n := range ids {
		ids[n] = fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+n)
		wg.Go(func() { s.submit(n, ids[n], kind, job) })
	}
	wg.Wait()
	all := func() bool { begun, _ := s.record.count(); return begun >= endsJobs*endsTasks }
	if !await(20*time.Second, all) {
		return couldntRun, s, []string{"the tasks have not all begun"}
	}
	owner := s.owner()
	if owner == nil {
		return couldntRun, s, []string{"no holder"}
	}
	if trouble {
		if !await(10*time.Second, func() bool { _, ended := s.record.count(); return ended > 0 }) {
			return couldntRun, s, []string{"no task has ended"}
		}
		owner.freeze()
	}
	open := ids
	await(50*time.Second, func() bool {
		var left []string
		for n, id := range open {
			if s.state(s.hosts[n%len(s.hosts)], id) != "completed" {
				left = append(left, id)
			}
		}
		open = left
		return len(open) == 0
	})
	time.Sleep(2 * time.Second)
	found := append(s.record.startsAfterDone(), s.record.overlaps()...)
	begun, _ := s.record.count()
	verdict := []string{fmt.Sprintf("%d tasks, %d runs; %d jobs not shown as completed; TWICE broken %d times", endsJobs*endsTasks, begun, len(open), len(found))}
	if len(found) > 0 {
		return broken, s, append(verdict, found...)
	}
	return held, s, verdict
}

// freezeTime is how long a machine of the system stands still: the most that the site file names for node_freeze.
const freezeTime = 4 * time.Second

// freeze stops the process of a host, which wakes again after freezeTime.
func (h *entryHost) freeze() {
	h.signal(syscall.SIGSTOP)
	time.AfterFunc(freezeTime, func() { h.signal(syscall.SIGCONT) })
}
