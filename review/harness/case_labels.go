//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { scenarios["labels"] = playLabels }

// Figures of the disruption: 2 of 24 runners fail all that they start for 6.5 s.
const (
	labelRunners  = 24
	labelledFrom  = 22 // the runners from here on are of the kind that the job requires
	failingFor    = 6500 * time.Millisecond
	labelWork     = 2700 * time.Millisecond
	idleBound     = 3 * time.Second
	labelObserved = 4 * time.Second
)

// playLabels submits a job that requires a kind of runner of which there are two. Both fail all that they start for a few seconds.
// The job has fewer failed runs than maxAttempts, and both runners are sound again; it has to run to its end.
func playLabels(p *platform, trouble bool) (broken []string, err error) {
	zones := []string{"uppsala", "vasteras", "orebro"}
	var special []*worker
	for n := range labelRunners {
		kind := "a"
		if n >= labelledFrom {
			kind = "b"
		}
		w, err := p.addWorker("flojel-desk", zones[n%len(zones)], kind, fmt.Sprintf("r%d", n/8))
		if err != nil {
			return nil, err
		}
		if n >= labelledFrom {
			special = append(special, w)
		}
	}
	render := route{Name: "patina-render", Host: "desk.example", Prefix: "/render/", Service: "flojel-desk", Priority: 2,
		MaxAttempts: 3, Stretch: 2, TargetLatencyMs: 1000}
	p.configure(1, render)
	if err := p.startNodes("uppsala", "uppsala", "vasteras", "orebro"); err != nil {
		return nil, err
	}
	time.Sleep(leadTime)
	if trouble {
		p.record.line("disruption: runners %s and %s fail all that they start, for %v", special[0].id, special[1].id, failingFor)
		for _, w := range special {
			w.setFailing(true)
		}
		time.AfterFunc(failingFor, func() {
			for _, w := range special {
				w.setFailing(false)
			}
			p.record.line("disruption: ended")
		})
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	work := task{labelWork, size{CPU: 1800, MemMB: 3200}}
	shape := step{Count: 1, CPU: 1800, MemMB: 3200, EstimateMs: labelWork.Milliseconds(), Requires: "b"}
	id := jobID(rnd)
	if !p.submit(0, render, id, work, shape) {
		return nil, fmt.Errorf("job %s was not accepted", id)
	}
	shape.Requires = ""
	for n := range 20 { // other work of the same queue
		other := jobID(rnd)
		if p.submit(n, render, other, work, shape) {
			defer func() { broken = append(broken, p.unfinished(render, other)...) }()
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(finishBound)
	broken = p.idleJob(render, id, render.MaxAttempts, special)
	return broken, nil
}

// unfinished returns a breach if a job is not shown as completed.
func (p *platform) unfinished(r route, id string) []string {
	if _, state := p.state(0, r, id); state != "completed" {
		return []string{fmt.Sprintf("LOST: job %s is shown as %q", id, state)}
	}
	return nil
}

// idleJob observes a job for a few seconds and returns a breach if it has nothing running for idleBound while its turn has come and
// the runners that suit it have the capacity.
func (p *platform) idleJob(r route, id string, maxAttempts int, suitable []*worker) []string {
	idleSince := time.Now()
	for end := time.Now().Add(labelObserved); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		failed, busy := 0, false
		for _, run := range p.runsOf(id) {
			if run.outcome == "failed" {
				failed++
			}
			busy = busy || run.ended.IsZero()
		}
		free := true
		for _, w := range suitable {
			w.mu.Lock()
			free = free && w.up && !w.failing && w.used().CPU <= workerSize.CPU/2
			w.mu.Unlock()
		}
		if busy || !free || failed >= maxAttempts || p.runningShare(r.Service) >= 0.5 {
			idleSince = time.Now()
		}
		if time.Since(idleSince) < idleBound {
			continue
		}
		status, state := p.state(0, r, id)
		if state == "completed" {
			return nil
		}
		return []string{fmt.Sprintf("LOST: job %s (answer %d, state %q) has had nothing running for %v with %d of %d runs failed, "+
			"%d sound runners that suit it, and capacity for it twice over", id, status, state, idleBound, failed, maxAttempts, len(suitable))}
	}
	if _, state := p.state(0, r, id); state != "completed" && state != "failed" {
		return []string{fmt.Sprintf("LOST: job %s is shown as %q", id, state)}
	}
	return nil
}
