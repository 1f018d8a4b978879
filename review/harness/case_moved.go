//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { scenarios["moved"] = playMoved }

// Figures of the disruption: 3 of 24 runners crash at a time and are back a second later, until each has crashed once.
const (
	movedRunners = 24
	movedAtOnce  = 3
	movedEvery   = 2500 * time.Millisecond
	movedDown    = time.Second
	movedWork    = 1 * time.Second
	movedSettle  = 6 * time.Second
)

// playMoved lets each runner crash once and start again under the id that it had, at another address. Afterwards, jobs are submitted.
func playMoved(p *platform, trouble bool) (broken []string, err error) {
	zones := []string{"uppsala", "vasteras", "orebro"}
	for n := range movedRunners {
		if _, err := p.addWorker("flojel-desk", zones[n%len(zones)], "a", fmt.Sprintf("r%d", n/8)); err != nil {
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
	submit := func(n int) {
		id := jobID(rnd)
		if p.submit(n, quote, id, work, shape) {
			ids = append(ids, id)
		}
	}
	for first := 0; first < movedRunners; first += movedAtOnce {
		if trouble {
			p.record.line("disruption: %d of %d runners crash and start again after %v under their ids at other addresses", movedAtOnce, movedRunners, movedDown)
			for _, w := range p.workers[first : first+movedAtOnce] {
				w.crash(movedDown, true, true)
			}
		}
		submit(first)
		time.Sleep(movedEvery)
	}
	time.Sleep(movedSettle)
	for n := range 5 {
		submit(n)
	}
	p.record.line("traffic: ended")
	time.Sleep(finishBound)
	return p.idleJobs(quote, ids, shape.Count, 6*time.Second), nil
}
