//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { scenarios["moved"] = playMoved }

// Figures of the disruption: 3 of 24 runners crash once and are back a second later.
const (
	movedRunners = 24
	movedFrom    = 21 // the runners from here on are of the kind that some jobs require
	movedDown    = time.Second
	movedWork    = time.Second
	movedSettle  = 16 * time.Second // longer than holdMaxMs and the time until a silent runner's entry is removed
)

// playMoved lets the three runners of one kind crash once and start again under their ids, at other addresses. Long afterwards, jobs are
// submitted that require this kind.
func playMoved(p *platform, trouble bool) (broken []string, err error) {
	zones := []string{"uppsala", "vasteras", "orebro"}
	for n := range movedRunners {
		kind := "a"
		if n >= movedFrom {
			kind = "b"
		}
		if _, err := p.addWorker("flojel-desk", zones[n%len(zones)], kind, fmt.Sprintf("r%d", n/8)); err != nil {
			return nil, err
		}
	}
	quote := route{Name: "leaf-quote", Host: "desk.example", Prefix: "/quote/", Service: "flojel-desk", MaxAttempts: 3, Stretch: 1.5,
		TargetLatencyMs: 300}
	p.configure(1, quote)
	if err := p.startNodes("uppsala", "uppsala", "vasteras", "orebro"); err != nil {
		return nil, err
	}
	time.Sleep(leadTime)
	rnd := rand.New(rand.NewPCG(7, 7))
	shape, work := step{Count: 2, CPU: 1400, MemMB: 2800, EstimateMs: movedWork.Milliseconds()}, task{movedWork, size{CPU: 1400, MemMB: 2800}}
	var ids []string
	submit := func(n int, kind string) {
		id := jobID(rnd)
		shape.Requires = kind
		if p.submit(n, quote, id, work, shape) {
			ids = append(ids, id)
		}
	}
	submit(0, "b") // shows that the runners of the kind are used
	time.Sleep(3 * time.Second)
	if trouble {
		p.record.line("disruption: %d of %d runners crash and start again after %v under their ids at other addresses", movedRunners-movedFrom, movedRunners, movedDown)
		for _, w := range p.workers[movedFrom:] {
			w.crash(movedDown, true, true)
		}
	}
	time.Sleep(movedSettle)
	for n := range 3 {
		submit(n, "b")
		submit(n, "")
	}
	p.record.line("traffic: ended")
	time.Sleep(finishBound)
	return p.idleJobs(quote, ids, shape.Count, 6*time.Second), nil
}

// idleJobs observes jobs with a number of tasks for a time and returns a breach for each that has nothing running for idleBound, though
// some of its tasks are not done, while under half of the capacity is in use.
func (p *platform) idleJobs(r route, ids []string, tasks int, observed time.Duration) (broken []string) {
	idleSince := map[string]time.Time{}
	for _, id := range ids {
		idleSince[id] = time.Now()
	}
	for end := time.Now().Add(observed); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		full := p.runningShare(r.Service) >= 0.5
		for id, since := range idleSince {
			busy, done := false, 0
			for _, run := range p.runsOf(id) {
				busy = busy || run.ended.IsZero()
				if run.outcome == "done" {
					done++
				}
			}
			switch {
			case done >= tasks:
				delete(idleSince, id)
			case busy || full:
				idleSince[id] = time.Now()
			case time.Since(since) >= idleBound:
				delete(idleSince, id)
				_, state := p.state(0, r, id)
				broken = append(broken, fmt.Sprintf("LOST: job %s, shown as %q, has had nothing running for %v; %d of %d tasks are done, and %.0f%% of the capacity is in use",
					id, state, idleBound, done, tasks, 100*p.runningShare(r.Service)))
			}
		}
	}
	return broken
}
