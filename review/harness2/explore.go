//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
)

// playExplore plays jobs of all kinds beside drawn disruptions, and checks the rules on jobs. It is no case: it searches for one.
func playExplore(trouble bool) (int, *site, []string) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 3))
	unguarded := rnd.IntN(2) == 0
	runners, capacity := 8+rnd.IntN(6), size{CPU: 8000, MemMb: 32000}
	if os.Getenv("MANY") != "" { // more than one entry host polls, so the holder polls through the others
		runners, capacity = 100, size{CPU: 2000, MemMb: 8000}
	}
	s, err := newSite([]string{"uppsala", "vasteras", "orebro"}, 3, runners, capacity, unguarded)
	if err != nil {
		return couldntRun, s, []string{err.Error()}
	}
	if !s.awaitReady() {
		return couldntRun, s, []string{"the hosts are not ready"}
	}
	time.Sleep(2 * time.Second)
	var jobs []*sentJob
	accepted := map[string]bool{}
	busy := 30 * time.Second
	began := time.Now()
	nextJob, nextFault := began, began.Add(2*time.Second)
	checkAt := began
	var undo func()
	var undoAt time.Time
	for n := 0; time.Since(began) < busy || undo != nil; time.Sleep(20 * time.Millisecond) {
		now := time.Now()
		if now.After(nextJob) && time.Since(began) < busy {
			nextJob = now.Add(time.Duration(200+rnd.IntN(700)) * time.Millisecond)
			j, kind := drawJob(rnd, n)
			jobs = append(jobs, j)
			n++
			h := n
			s.mu.Lock()
			s.kinds[j.id] = kind
			s.mu.Unlock()
			go func() {
				if s.submit(h, j.id, kind, j.wire()) {
					s.mu.Lock()
					accepted[j.id] = true
					s.mu.Unlock()
				}
			}()
		}
		if len(jobs) > 0 && rnd.IntN(100) == 0 {
			go s.cancel(s.hosts[rnd.IntN(len(s.hosts))], jobs[rnd.IntN(len(jobs))])
		}
		if now.After(checkAt) {
			checkAt = now.Add(300 * time.Millisecond)
			for _, j := range jobs {
				if rnd.IntN(4) == 0 {
					go s.look(j, s.hosts[rnd.IntN(len(s.hosts))])
				}
			}
		}
		if undo != nil && now.After(undoAt) {
			undo()
			undo = nil
			nextFault = now.Add(time.Duration(200+rnd.IntN(3000)) * time.Millisecond)
		}
		if trouble && undo == nil && now.After(nextFault) && time.Since(began) < busy {
			var length time.Duration
			length, undo = s.drawFault(rnd)
			undoAt = now.Add(length)
		}
	}
	for _, r := range s.runners {
		r.setCut(false)
	}
	finished := await(32*time.Second, func() bool { return len(s.open(jobs, accepted)) == 0 })
	time.Sleep(time.Second)
	for _, f := range s.record.startsAfterDone() {
		if !s.speculative(f) {
			s.record.breaks("TWICE", "%s", f)
		}
	}
	for _, f := range s.record.overlaps() {
		if !s.speculative(f) {
			s.record.breaks("TWICE", "%s", f)
		}
	}
	for _, j := range jobs {
		s.mu.Lock()
		in := accepted[j.id]
		s.mu.Unlock()
		running := s.record.runningOf(j.id)
		j.mu.Lock()
		cancelled := !j.cancelledAt.IsZero()
		j.mu.Unlock()
		if cancelled && running > 0 {
			s.record.breaks("UNASKED", "%s was cancelled, %d runs go on", j.id, running)
		}
		if in && !cancelled && j.steps[0].lasts && running != j.steps[0].count {
			s.record.breaks("LOST", "%s lasts, %d of %d tasks run", j.id, running, j.steps[0].count)
		}
	}
	if !finished {
		s.record.breaks("LOST", "open: %v", s.open(jobs, accepted))
	}
	begun, _ := s.record.count()
	verdict := []string{fmt.Sprintf("seed %d unguarded %v: %d jobs, %d runs, broken %d", seed, unguarded, len(jobs), begun, len(s.record.broken))}
	if len(s.record.broken) > 0 {
		return broken, s, append(verdict, s.record.broken...)
	}
	return held, s, verdict
}

func (s *site) speculative(finding string) bool {
	name := parseTask(strings.SplitN(finding, ":", 2)[0])
	j := s.kindOf(name.job).job
	return j.steps[name.step].speculative || j.steps[name.step].lasts && !strings.Contains(finding, " and run ")
}

// open returns the accepted jobs that have not ended as they should.
func (s *site) open(jobs []*sentJob, accepted map[string]bool) (open []string) {
	for n, j := range jobs {
		s.mu.Lock()
		in := accepted[j.id]
		s.mu.Unlock()
		if !in || j.steps[0].lasts {
			continue
		}
		if state := s.state(s.hosts[n%len(s.hosts)], j.id); state != "completed" && state != "failed" && state != "cancelled" {
			open = append(open, j.id+" "+state)
		}
	}
	return open
}

// look asks for a job's state and checks the answer.
func (s *site) look(j *sentJob, h *entryHost) {
	s.mu.Lock()
	_, sent := s.kinds[j.id]
	s.mu.Unlock()
	if !sent {
		return
	}
	state := s.state(h, j.id)
	switch state {
	case "completed":
		for k := range j.occurrences() {
			for st := range j.steps {
				if missing := s.record.notDone(j.id, k, st, j.steps[st].count); missing > 0 {
					s.record.breaks("MIXED", "%s is shown as completed, %d tasks of %d.%d are not", j.id, missing, k, st)
				}
			}
		}
	case "failed":
		if s.record.endsOf(j.id, "failed") < j.attempts {
			s.record.breaks("LOST", "%s is shown as failed, %d failed ends, %d gone", j.id, s.record.endsOf(j.id, "failed"), s.record.endsOf(j.id, "gone"))
		}
	case "cancelled":
		j.mu.Lock()
		defer j.mu.Unlock()
		if j.cancelledAt.IsZero() {
			s.record.breaks("LOST", "%s is shown as cancelled", j.id)
		}
	}
}

func drawJob(rnd *rand.Rand, n int) (*sentJob, taskKind) {
	j := &sentJob{id: fmt.Sprintf("%016x", 0x1000000000000000+rnd.Int64N(1<<40)<<12+int64(n)), spec: fmt.Sprint("text of ", n), attempts: 3}
	kind := taskKind{job: j}
	steps := 1 + rnd.IntN(3)
	lasts := rnd.IntN(12) == 0
	if lasts {
		steps = 1
	}
	for i := range steps {
		st := sentStep{count: 1 + rnd.IntN(6), size: size{CPU: int64(500 + 250*rnd.IntN(6)), MemMb: 1000}, saves: rnd.IntN(2) == 0,
			speculative: rnd.IntN(4) == 0, lasts: lasts}
		if rnd.IntN(4) == 0 {
			st.antiAffinity = 1 + rnd.IntN(2)
		}
		if lasts {
			st.speculative, st.saves = false, false
			st.count = min(st.count, 2)
		}
		if i > 0 && rnd.IntN(2) == 0 {
			st.after = []int{rnd.IntN(i)}
		}
		j.steps = append(j.steps, st)
		work := time.Duration(100+rnd.IntN(2500)) * time.Millisecond
		if lasts {
			work = 0
		}
		kind.stepWork = append(kind.stepWork, work)
	}
	if !lasts && rnd.IntN(5) == 0 {
		j.repeats, j.intervalMs, j.startAtMs = 2+rnd.IntN(5), int64(200+rnd.IntN(2000)), time.Now().UnixMilli()+int64(rnd.IntN(3000))
	}
	if rnd.IntN(10) == 0 {
		kind.failShare = 0.3
	}
	return j, kind
}

// drawFault begins a disruption and returns its length and its end.
func (s *site) drawFault(rnd *rand.Rand) (time.Duration, func()) {
	nothing := func() {}
	ms := func(from, to int) time.Duration { return time.Duration(from+rnd.IntN(to-from)) * time.Millisecond }
	note := func(what string, d time.Duration) { s.record.event("fault", "%s for %v", what, d) }
	owner := s.owner()
	if owner == nil {
		owner = s.hosts[rnd.IntN(len(s.hosts))]
	}
	storeFault := func(what string, f fleet.StoreFaults, d time.Duration) (time.Duration, func()) {
		note("store "+what, d)
		s.store.SetFaults(f)
		return d, func() { s.store.SetFaults(fleet.StoreFaults{}) }
	}
	switch rnd.IntN(14) {
	case 0, 1:
		owner.signal(syscall.SIGKILL)
		return 0, nothing
	case 2:
		s.hosts[rnd.IntN(len(s.hosts))].signal(syscall.SIGKILL)
		return 0, nothing
	case 3:
		for _, h := range s.hosts {
			h.signal(syscall.SIGKILL)
		}
		return 0, nothing
	case 4:
		owner.signal(syscall.SIGSTOP)
		return ms(500, 4000), func() { owner.signal(syscall.SIGCONT) }
	case 5, 6:
		s.runners[rnd.IntN(len(s.runners))].crash(ms(300, 3000))
		return ms(100, 3000), nothing
	case 7, 8:
		r := s.runners[rnd.IntN(len(s.runners))]
		d := ms(500, 9000)
		note("cut "+r.machine, d)
		r.setCut(true)
		kill := rnd.IntN(2) == 0
		return d / 2, func() {
			if kill {
				owner.signal(syscall.SIGKILL)
			}
			time.AfterFunc(d/2, func() { r.setCut(false) })
		}
	case 9:
		d := ms(1000, 5000)
		note("late orders", d)
		for _, r := range s.runners {
			r.mu.Lock()
			r.late = 0.1
			r.mu.Unlock()
		}
		return d, func() {
			for _, r := range s.runners {
				r.mu.Lock()
				r.late = 0
				r.mu.Unlock()
			}
		}
	case 10:
		return storeFault("unavailable", fleet.StoreFaults{Unavailable: true}, ms(500, 4500))
	case 11:
		return storeFault("silent", fleet.StoreFaults{Unresponsive: true}, ms(500, 4500))
	case 12:
		return storeFault("lost", fleet.StoreFaults{LoseResponseOneIn: 3, LateWriteOneIn: 6, LateWriteDelay: ms(1000, 6000)}, ms(1000, 4500))
	}
	return storeFault("slow", fleet.StoreFaults{Delay: 240 * time.Millisecond}, ms(1000, 4500))
}

// cancel cancels a job at a host.
func (s *site) cancel(h *entryHost, j *sentJob) {
	if status, _ := s.call(h, http.MethodDelete, j.id, nil); status == http.StatusOK {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.cancelledAt = time.Now()
	}
}

// runningOf returns how many runs of a job have not ended.
func (r *record) runningOf(job string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.runs {
		if one.ended.IsZero() && one.task[:len(job)] == job {
			n++
		}
	}
	return n
}
