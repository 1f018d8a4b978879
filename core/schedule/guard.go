package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	fullShare = 100 // percent of full speed

	// Thresholds as shares of a service's tail latency target. Above tailHigh, the fillers on its worker are throttled
	// until the tail latency falls to tailGoal; below tailGoal, they are sped up as long as it stays there. A new filler
	// may raise the predicted tail latency up to tailStart.
	tailHigh  = 0.90
	tailGoal  = 0.75
	tailStart = 0.65
	// tailOverTarget is the share from which a service counts as over its target; it is below 1 because the reported
	// tail latencies are imprecise.
	tailOverTarget = 0.97

	// Minimum intervals between adjustments. The reported metrics cover the last half second, so an adjustment takes
	// full effect only in the second report after it.
	throttleEvery = 500 * time.Millisecond
	speedUpEvery  = 600 * time.Millisecond
	// speedUpStep bounds one increase of the share of a filler that a service is sensitive to, in percent of full
	// speed.
	speedUpStep = 25
	// fillerMetricLag is the time after a filler's start during which the metrics do not reflect its load yet.
	fillerMetricLag = 900 * time.Millisecond
	// pauseAfter is how long a service may be over its target before all fillers on its worker are paused, whatever
	// their estimated pressure. Together with the lag of the metrics it stays well below the platform's limit on how
	// long fillers may keep a service over its target.
	pauseAfter = 1500 * time.Millisecond
	// ownLoadAfter is how long all fillers on a worker must have been idle before a service that is still over its
	// target counts as over target by its own load: its metric then covers only time without fillers. ownLoadFor is how
	// long this classification holds; with the lag of metrics and orders it stays below the platform's limit on how
	// long fillers may keep a service over its target.
	ownLoadAfter = 900 * time.Millisecond
	ownLoadFor   = 1500 * time.Millisecond
	// cautiousFor is how long after a pause every filler is sped up in steps of speedUpStep only.
	cautiousFor = 4 * time.Second
	// unexplainedFactor is the maximum factor applied to the shares of fillers when a service is over its target and
	// the estimated pressure of the fillers does not explain it.
	unexplainedFactor = 0.5
)

// guardServices adjusts the shares of the fillers on a worker to the tail latencies of its services.
func (s *Scheduler) guardServices(now Time, w *worker) {
	if w.services == 0 && !w.fillersThrottled {
		return
	}
	s.interference.observe(now.Boot, w)
	services, fillers := w.servicesAndFillers()
	for _, service := range services {
		service.updateOverTarget(now.Boot)
	}
	w.updateFillersIdle(now.Boot, fillers)
	w.markOwnLoad(now.Boot, services)
	if len(fillers) == 0 {
		w.fillersThrottled = false
		return
	}
	if s.throttleFillers(now.Boot, w, services, fillers) == 0 {
		s.speedUp(now.Boot, w, services, fillers)
	}
	w.fillersThrottled = false
	for _, f := range fillers {
		f.updateSlow(now.Boot)
		w.fillersThrottled = w.fillersThrottled || f.share < fullShare
		s.pace(now.Boot, f, f.share)
	}
}

// servicesAndFillers returns the services with a known tail latency and the running fillers of a worker.
func (w *worker) servicesAndFillers() (services, fillers []*attempt) {
	for _, a := range w.attemptList {
		switch {
		case a.filler() && a.phase == running:
			fillers = append(fillers, a)
		case a.tailKnown():
			services = append(services, a)
		}
	}
	return services, fillers
}

// throttleFillers throttles the fillers colocated with services above tailHigh and returns the number of such services.
// Services that are over target by their own load do not count.
func (s *Scheduler) throttleFillers(now time.Duration, w *worker, services, fillers []*attempt) int {
	over := 0
	adjust := now-w.throttledAt >= throttleEvery
	for _, service := range services {
		if service.tailRatio() < tailHigh || service.overByOwnLoad(now) {
			continue
		}
		over++
		if adjust {
			s.lowerShares(service, fillers)
		}
		if service.overTargetSince > 0 && now-service.overTargetSince >= pauseAfter {
			s.pauseAll(now, w, service, fillers)
		}
	}
	if over > 0 && adjust {
		w.throttledAt = now
	}
	return over
}

// updateSlow updates the time since which the share of a filler has been at most slowShare.
func (a *attempt) updateSlow(now time.Duration) {
	switch {
	case a.share > slowShare:
		a.slowSince = 0
	case a.slowSince == 0:
		a.slowSince = now
	}
}

// updateOverTarget updates the time since which a service has been over its target. The reported tail latencies are imprecise, so
// a service that was over its target counts as such until one is below tailHigh.
func (a *attempt) updateOverTarget(now time.Duration) {
	switch {
	case a.tailRatio() < tailHigh:
		a.overTargetSince = 0
	case a.overTargetSince == 0 && a.tailRatio() >= tailOverTarget:
		a.overTargetSince = now
	}
}

// pauseAll pauses every filler on the worker of a service that stays over its target.
func (s *Scheduler) pauseAll(now time.Duration, w *worker, service *attempt, fillers []*attempt) {
	for _, f := range fillers {
		if f.share > 0 {
			f.share = 0
			w.pausedAt = now
			s.emitThrottled(f, service)
		}
	}
}

// updateFillersIdle updates the time since which all fillers on the worker have been idle. A filler counts as idle once
// the worker has confirmed a share of 0.
func (w *worker) updateFillersIdle(now time.Duration, fillers []*attempt) {
	for _, f := range fillers {
		if f.share > 0 || f.confirmedShare > 0 {
			w.fillersIdleSince = 0
			return
		}
	}
	if w.fillersIdleSince == 0 {
		w.fillersIdleSince = now
	}
}

// markOwnLoad marks the services that are over target although all fillers on the worker have been idle: the cause is
// their own load.
func (w *worker) markOwnLoad(now time.Duration, services []*attempt) {
	if w.fillersIdleSince == 0 || now-w.fillersIdleSince < ownLoadAfter {
		return
	}
	for _, service := range services {
		if service.overTargetSince > 0 {
			service.ownLoadUntil = now + ownLoadFor
			service.overTargetSince = 0
		}
	}
}

// overByOwnLoad reports whether a service counts as over target by its own load, so that fillers are not the cause.
func (a *attempt) overByOwnLoad(now time.Duration) bool { return now < a.ownLoadUntil }

// mayBeOverByFillers reports whether a service is over its target and fillers may be the cause.
func (a *attempt) mayBeOverByFillers(now time.Duration) bool {
	return a.tailKnown() && a.overTargetSince > 0 && !a.overByOwnLoad(now)
}

func (s *Scheduler) emitThrottled(filler, service *attempt) {
	event := filler.event(EventFillersThrottled)
	event.Value, event.Reason = float64(filler.share), "tail latency of "+string(service.task.step.job.rec.ID)
	s.emit(event)
}

// lowerShares lowers the shares of the fillers so that the expected tail latency of a service falls to tailGoal.
func (s *Scheduler) lowerShares(service *attempt, fillers []*attempt) {
	excess := -service.headroom(tailGoal)
	total := 0.0
	for _, f := range fillers {
		total += s.interference.pressure(service.task, f.task) * f.metric / 1000
	}
	factor := 1 - excess/max(total, 1e-9)
	if total < excess/2 && service.tailRatio() > 1 {
		factor = min(factor, unexplainedFactor)
	}
	for _, f := range fillers {
		if s.interference.pressure(service.task, f.task) == 0 {
			continue
		}
		share := int(float64(f.share) * max(factor, 0))
		if share < f.share {
			f.share = share
			s.emitThrottled(f, service)
		}
	}
}

// speedUp raises the shares of throttled fillers, those with the lowest pressure first, as long as every service is
// expected to stay within tailGoal.
func (s *Scheduler) speedUp(now time.Duration, w *worker, services, fillers []*attempt) {
	if now-w.throttledAt < speedUpEvery || now-w.spedUpAt < speedUpEvery {
		return
	}
	budgets := make([]float64, len(services))
	for i, service := range services {
		budgets[i] = max(service.headroom(tailGoal), 0)
		if service.overByOwnLoad(now) {
			budgets[i] = math.Inf(1)
		}
	}
	slices.SortStableFunc(fillers, func(a, b *attempt) int {
		return cmp.Compare(s.maxPressure(services, a), s.maxPressure(services, b))
	})
	cautious := w.pausedAt > 0 && now-w.pausedAt < cautiousFor
	for _, f := range fillers {
		if f.share < fullShare && s.raiseShare(f, services, budgets, cautious) {
			w.spedUpAt = now
		}
	}
}

// raiseShare raises the share of one filler and deducts the expected rise of the tail latencies from the budgets. It
// reports whether the share was raised.
func (s *Scheduler) raiseShare(f *attempt, services []*attempt, budgets []float64, cautious bool) bool {
	cores := float64(f.task.step.spec.Size.MilliCPU) / 1000
	step := float64(fullShare-f.share) / fullShare
	if cautious {
		step = min(step, float64(speedUpStep)/fullShare)
	}
	for i, service := range services {
		if pressure := s.interference.pressure(service.task, f.task) * cores; pressure > 0 {
			step = min(step, budgets[i]/pressure, float64(speedUpStep)/fullShare)
		}
	}
	percent := int(step * fullShare)
	if percent <= 0 {
		return false
	}
	f.share += percent
	for i, service := range services {
		budgets[i] -= s.interference.pressure(service.task, f.task) * cores * step
	}
	return true
}

// maxPressure returns the largest pressure per core of a filler on any of the services.
func (s *Scheduler) maxPressure(services []*attempt, filler *attempt) float64 {
	highest := 0.0
	for _, service := range services {
		highest = max(highest, s.interference.pressure(service.task, filler.task))
	}
	return highest
}

// predictTail returns the highest tail latency, as a share of the target, expected among the services of a worker after
// the start of one more filler, including the effect of fillers that started too recently to show in the metrics. It
// also returns the largest rise of the logarithm of a service's tail latency that the new filler alone causes when it
// uses all the cores that it demands.
func (s *Scheduler) predictTail(now time.Duration, w *worker, filler *task) (tail, maxRise float64) {
	s.eachAffected(now, w, filler, func(service *attempt, rise, recent float64) {
		maxRise = max(maxRise, rise)
		tail = max(tail, service.tailRatio()*math.Exp(rise+recent))
	})
	return tail, maxRise
}

// eachAffected calls visit for each service of a worker with which a further filler interferes. rise is by how much it raises the logarithm of the
// service's tail latency when it uses all the cores that it demands, recent what fillers add that started too recently to show in the metrics.
func (s *Scheduler) eachAffected(now time.Duration, w *worker, filler *task, visit func(service *attempt, rise, recent float64)) {
	if w.services == 0 {
		return
	}
	others := w.recentFillers(now)
	for _, service := range w.attemptList {
		spec := service.task.step.spec
		if !spec.Service || spec.TailTargetMs <= 0 || service.overByOwnLoad(now) {
			continue
		}
		rise := s.riseBy(service, filler)
		if rise == 0 {
			continue
		}
		recent := 0.0
		for _, other := range others {
			recent += s.riseBy(service, other.task)
		}
		visit(service, rise, recent)
	}
}

// riseBy returns by how much a filler raises the logarithm of a service's tail latency when it uses all the cores that it demands.
func (s *Scheduler) riseBy(service *attempt, filler *task) float64 {
	return s.interference.pressure(service.task, filler) * float64(filler.step.spec.Size.MilliCPU) / 1000
}

// recentFillers returns the fillers that started too recently to show in the metrics of their worker.
func (w *worker) recentFillers(now time.Duration) []*attempt {
	var recent []*attempt
	for _, a := range w.attemptList {
		if a.filler() && now-a.startedAt < fillerMetricLag {
			recent = append(recent, a)
		}
	}
	return recent
}

// pace orders a worker to set the share of an attempt unless the worker has already confirmed that share.
func (s *Scheduler) pace(now time.Duration, a *attempt, percent int) {
	if a.phase != running || a.confirmedShare == percent {
		return
	}
	if a.paceSentAt > 0 && now-a.paceSentAt < resendAfter {
		return
	}
	a.paceSentAt = now
	order := a.order(OrderPace)
	order.Percent = percent
	s.orders = append(s.orders, order)
}
