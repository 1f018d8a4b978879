package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	fullShare = 100 // percent of full speed

	// Shares of a service's tail latency target: above tailHigh the fillers beside it are slowed down to reach tailGoal,
	// below tailGoal they may get faster up to it. A new filler may raise the tail latency to tailStart.
	tailHigh  = 0.90
	tailGoal  = 0.75
	tailStart = 0.65
	// tailOver counts as over the target: the figures are rough.
	tailOver = 0.97

	// The figures cover the last half second: the effect of a change is seen only in the next report but one.
	slowDownEvery = 500 * time.Millisecond
	speedUpEvery  = 600 * time.Millisecond
	// speedUpStep bounds one raise of a filler that a service is sensitive to, in percent of full speed.
	speedUpStep = 25
	// freshFiller is how long a filler's use is not in the figures yet.
	freshFiller = 900 * time.Millisecond
	// pauseAfter is how long a service may stay over its target before all fillers beside it are paused, whatever is known
	// of their pressure. Together with the lag of the figures it stays well below the bound of harm of the platform.
	pauseAfter = 1500 * time.Millisecond
	// blamelessAfter is how long no filler must have worked before a service that is still over its target is known to be
	// so by its own load: its figure then covers that time alone. blamelessFor is how long that is taken to last; with the
	// lag of the figures and the orders it stays below the bound of harm of the platform.
	blamelessAfter = 900 * time.Millisecond
	blamelessFor   = 1500 * time.Millisecond
	// cautiousFor is how long after a pause all fillers are sped up in steps only.
	cautiousFor = 4 * time.Second
	// unexplainedShare is the factor for all fillers when a service is over its target and the known pressure of its
	// fillers does not explain why.
	unexplainedShare = 0.5
)

// guardServices adjusts the shares of the fillers on a worker to the tail latencies of its services.
func (s *Scheduler) guardServices(now Time, w *worker) {
	if w.services == 0 && !w.paced {
		return
	}
	s.model.observe(now.Boot, w)
	services, fillers := w.split()
	for _, service := range services {
		service.watchTarget(now.Boot)
	}
	w.watchQuiet(now.Boot, fillers)
	w.excuse(now.Boot, services)
	if len(fillers) == 0 {
		w.paced = false
		return
	}
	if s.slowDown(now.Boot, w, services, fillers) == 0 {
		s.speedUp(now.Boot, w, services, fillers)
	}
	w.paced = false
	for _, f := range fillers {
		f.watchShare(now.Boot)
		w.paced = w.paced || f.share < fullShare
		s.pace(now.Boot, f, f.share)
	}
}

// split returns the services with a known tail latency and the running fillers.
func (w *worker) split() (services, fillers []*attempt) {
	for _, a := range w.list {
		switch {
		case a.filler() && a.phase == running:
			fillers = append(fillers, a)
		case a.serving():
			services = append(services, a)
		}
	}
	return services, fillers
}

// slowDown slows the fillers that press a service over its target and returns how many services are over.
func (s *Scheduler) slowDown(now time.Duration, w *worker, services, fillers []*attempt) int {
	over := 0
	adjust := now-w.slowedAt >= slowDownEvery
	for _, service := range services {
		if service.tailRatio() < tailHigh || service.blameless(now) {
			continue
		}
		over++
		if adjust {
			s.relieve(service, fillers)
		}
		if service.overSince > 0 && now-service.overSince >= pauseAfter {
			s.pauseAll(now, w, service, fillers)
		}
	}
	if over > 0 && adjust {
		w.slowedAt = now
	}
	return over
}

// watchShare notes since when a filler is slow.
func (a *attempt) watchShare(now time.Duration) {
	switch {
	case a.share > slowShare:
		a.slowSince = 0
	case a.slowSince == 0:
		a.slowSince = now
	}
}

// watchTarget notes since when a service is over its target.
func (a *attempt) watchTarget(now time.Duration) {
	switch {
	case a.tailRatio() < tailOver:
		a.overSince = 0
	case a.overSince == 0:
		a.overSince = now
	}
}

// pauseAll pauses every filler beside a service that stays over its target.
func (s *Scheduler) pauseAll(now time.Duration, w *worker, service *attempt, fillers []*attempt) {
	for _, f := range fillers {
		if f.share > 0 {
			f.share = 0
			w.pausedAt = now
			s.notePaced(f, service)
		}
	}
}

// watchQuiet notes since when no filler works on the worker, as far as it has confirmed that.
func (w *worker) watchQuiet(now time.Duration, fillers []*attempt) {
	for _, f := range fillers {
		if f.share > 0 || f.pacedTo > 0 {
			w.quietSince = 0
			return
		}
	}
	if w.quietSince == 0 {
		w.quietSince = now
	}
}

// excuse notes which services are over their targets although no filler works beside them: they are so by their own
// load.
func (w *worker) excuse(now time.Duration, services []*attempt) {
	if w.quietSince == 0 || now-w.quietSince < blamelessAfter {
		return
	}
	for _, service := range services {
		if service.overSince > 0 {
			service.blamelessUntil = now + blamelessFor
			service.overSince = 0
		}
	}
}

// blameless reports whether fillers are known not to be the cause of the tail latency of a service.
func (a *attempt) blameless(now time.Duration) bool { return now < a.blamelessUntil }

// pressed reports whether a service is over its target and fillers may be the cause.
func (a *attempt) pressed(now time.Duration) bool {
	return a.serving() && a.overSince > 0 && !a.blameless(now)
}

func (s *Scheduler) notePaced(filler, service *attempt) {
	event := filler.event(EventFillersPaced)
	event.Value, event.Reason = float64(filler.share), "tail latency of "+string(service.task.step.job.rec.ID)
	s.note(event)
}

// relieve slows the fillers so that the expected tail latency of a service falls to its goal.
func (s *Scheduler) relieve(service *attempt, fillers []*attempt) {
	excess := -service.headroom(tailGoal)
	pressing := 0.0
	for _, f := range fillers {
		pressing += s.model.pressure(service.task, f.task) * f.figure / 1000
	}
	factor := 1 - excess/max(pressing, 1e-9)
	if pressing < excess/2 && service.tailRatio() > 1 {
		factor = min(factor, unexplainedShare)
	}
	for _, f := range fillers {
		if s.model.pressure(service.task, f.task) == 0 {
			continue
		}
		share := int(float64(f.share) * max(factor, 0))
		if share < f.share {
			f.share = share
			s.notePaced(f, service)
		}
	}
}

// speedUp gives slowed fillers more, the least harmful ones first, as far as every service keeps to its goal.
func (s *Scheduler) speedUp(now time.Duration, w *worker, services, fillers []*attempt) {
	if now-w.slowedAt < speedUpEvery || now-w.raisedAt < speedUpEvery {
		return
	}
	budgets := make([]float64, len(services))
	for i, service := range services {
		budgets[i] = max(service.headroom(tailGoal), 0)
		if service.blameless(now) {
			budgets[i] = math.Inf(1)
		}
	}
	slices.SortStableFunc(fillers, func(a, b *attempt) int {
		return cmp.Compare(s.worstPressure(services, a), s.worstPressure(services, b))
	})
	cautious := w.pausedAt > 0 && now-w.pausedAt < cautiousFor
	for _, f := range fillers {
		if f.share < fullShare && s.raise(f, services, budgets, cautious) {
			w.raisedAt = now
		}
	}
}

// raise gives one filler more and takes the expected rise of the tail latencies from the budgets.
func (s *Scheduler) raise(f *attempt, services []*attempt, budgets []float64, cautious bool) bool {
	cores := float64(f.task.step.spec.Size.MilliCPU) / 1000
	step := float64(fullShare-f.share) / fullShare
	if cautious {
		step = min(step, float64(speedUpStep)/fullShare)
	}
	for i, service := range services {
		if pressure := s.model.pressure(service.task, f.task) * cores; pressure > 0 {
			step = min(step, budgets[i]/pressure, float64(speedUpStep)/fullShare)
		}
	}
	percent := int(step * fullShare)
	if percent <= 0 {
		return false
	}
	f.share += percent
	for i, service := range services {
		budgets[i] -= s.model.pressure(service.task, f.task) * cores * step
	}
	return true
}

// worstPressure returns the largest pressure of a filler on any of the services.
func (s *Scheduler) worstPressure(services []*attempt, filler *attempt) float64 {
	worst := 0.0
	for _, service := range services {
		worst = max(worst, s.model.pressure(service.task, filler.task))
	}
	return worst
}

// harm returns the highest tail latency, as a share of the target, that the services of a worker are expected to have
// beside one more filler, counting the fillers that started too lately for the figures; and the largest pressure on any
// of them.
func (s *Scheduler) harm(now time.Duration, w *worker, filler *task) (tail, pressure float64) {
	for _, service := range w.list {
		spec := service.task.step.spec
		if !spec.Service || spec.TailTargetMs <= 0 || service.blameless(now) {
			continue
		}
		own := s.model.pressure(service.task, filler) * float64(filler.step.spec.Size.MilliCPU) / 1000
		if own == 0 {
			continue
		}
		pressure = max(pressure, own)
		for _, other := range w.list {
			if other.filler() && now-other.startedAt < freshFiller {
				own += s.model.pressure(service.task, other.task) * float64(other.task.step.spec.Size.MilliCPU) / 1000
			}
		}
		tail = max(tail, service.tailRatio()*math.Exp(own))
	}
	return tail, pressure
}

// pace tells a worker the share of an attempt unless it knows it.
func (s *Scheduler) pace(now time.Duration, a *attempt, percent int) {
	if a.phase != running || a.pacedTo == percent {
		return
	}
	if a.paceSentAt > 0 && now-a.paceSentAt < repeatAfter {
		return
	}
	a.paceSentAt = now
	order := a.order(OrderPace)
	order.Percent = percent
	s.orders = append(s.orders, order)
}
