package dispatch

import (
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

// maxAge limits a single measurement, so that an invalid time from another host does not distort the sums.
const maxAge = time.Minute

// measures holds what an owner has measured since its last status line. Its fields are plain numbers, because reports are
// applied several thousand times a second. Owner.mu guards it.
type measures struct {
	reportAge   ages           // of reports when they are applied, since the worker was polled
	receivedAge ages           // of reports when they are applied, since their receipt by the relay
	relayWait   schedule.Delay // of reports, from their receipt by the relay to their collection
	ownerWait   schedule.Delay // of results, from their arrival at the owner to their application
	uncollected int            // largest number of reports that a relay still held after a collection
	lockWait    schedule.Delay // for Owner.mu, of all changes of the scheduler
	lockHeld    schedule.Delay // of Owner.mu, by the changes of the scheduler
	plan        schedule.Delay // duration of planning runs
	orderQueue  schedule.Delay // of orders, from the decision until they are sent to the relay
	orderTook   schedule.Delay // of orders, from their arrival at the relay to the outcome
	orderAge    schedule.Delay // of orders at their outcome, since the decision
}

// Resolution of the distribution of ages.
const (
	ageStep  = 20 * time.Millisecond
	ageSteps = 512
)

// ages is a distribution of ages.
type ages struct {
	schedule.Delay
	counts [ageSteps]int32 // by multiples of ageStep; the last also counts all higher ones
}

func (a *ages) add(age time.Duration) {
	age = clampAge(age)
	a.Delay.Add(age)
	a.counts[min(int(age/ageStep), ageSteps-1)]++
}

// clampAge limits an age to the range from 0 to maxAge.
func clampAge(age time.Duration) time.Duration { return min(max(age, 0), maxAge) }

// percentile returns an upper bound of the ages of the given share of the reports, in percent.
func (a *ages) percentile(share int) time.Duration {
	above := int32(a.Count * (100 - share) / 100) // reports that may be older
	if a.counts[ageSteps-1] > above {
		return a.Max
	}
	for n := ageSteps - 1; n >= 0 && a.Count > 0; n-- {
		if above -= a.counts[n]; above < 0 {
			return min(time.Duration(n+1)*ageStep, a.Max)
		}
	}
	return 0
}

// recordReport records the age of a report that is applied. The times of the report are on this host's boot clock.
func (m *measures) recordReport(now time.Duration, report schedule.Report) {
	m.reportAge.add(now - report.SentAt)
	m.receivedAge.add(now - report.ReceivedAt)
}

// recordResults records results of a relay that arrived at the given boot time.
func (m *measures) recordResults(now, arrived time.Duration, results relay.Results) {
	m.ownerWait.Add(clampAge(now - arrived))
	m.uncollected = max(m.uncollected, results.Uncollected)
	for _, report := range results.Reports {
		m.relayWait.Add(relayWait(results, report.Report))
	}
}

// relayWait returns how long a report waited in its relay; 0 if the relay does not tell.
func relayWait(results relay.Results, report schedule.Report) time.Duration {
	if report.ReceivedAt == 0 {
		return 0
	}
	return clampAge(results.Now - report.ReceivedAt)
}

// recordOutcome records the outcome of an order that was in flight.
func (m *measures) recordOutcome(now time.Duration, entry inFlight, outcome relay.OrderOutcome) {
	m.orderAge.Add(clampAge(now - entry.order.DecidedAt))
	m.orderTook.Add(clampAge(outcome.Took))
}

// status is what an owner publishes once per statusInterval.
type status struct {
	measures
	counts   schedule.Counts
	restarts schedule.Restarts
	waits    schedule.Waits
	unused   schedule.UnusedWorkers
	needs    schedule.ServiceNeeds
	use      []useLine     // lines about unused workers
	interval time.Duration // since the last status
	cpu      time.Duration // processor time of the process in the interval
}

// statusClock holds the readings at the last status.
type statusClock struct {
	at  time.Time
	cpu time.Duration
}

// next advances the clock and returns the time and the processor time since its last reading.
func (c *statusClock) next() (interval, cpu time.Duration) {
	before := *c
	c.at, c.cpu = time.Now(), processCPU()
	return c.at.Sub(before.at), c.cpu - before.cpu
}

// processCPU returns the processor time that the process has used, 0 if it is unknown.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// takeStatus returns the totals and the measurements since the last call.
func (o *Owner) takeStatus() status {
	s := status{}
	s.interval, s.cpu = o.statusClock.next()
	o.mu.Lock()
	defer o.mu.Unlock()
	now := bootclock.Now()
	s.counts, s.waits = o.scheduler.Counts(now), o.scheduler.Waits(now)
	s.restarts = o.scheduler.TakeRestarts()
	s.needs = o.scheduler.TakeServiceNeeds(now)
	s.unused = o.scheduler.Unused(now)
	s.use = o.useLines(now, s.unused.Workers)
	s.measures, o.measures = o.measures, measures{}
	return s
}

// log writes the status line, and the one about services that need a place. Durations are in milliseconds.
func (s *status) log(l *eventlog.Logger, term int64) {
	c := s.counts
	s.logAges(l, eventlog.PartitionStatus, term).
		Int("jobs", c.Jobs).Int("workers", c.Workers).Int("available", c.Available).
		Int("services", c.Services).Int("fillers", c.Fillers).Int("others", c.Others).
		Int("waiting", c.Pending).Int("waiting_fillers", c.PendingFillers).
		Int64("capacity", c.Capacity).Int64("reserved", c.Reserved).
		Int64("filler_demand", c.FillerDemand).Int64("filler_use", c.FillerUse).
		Int("services_over", c.ServicesOverTarget).Int("fillers_slowed", c.FillersThrottled).
		Int("changes", s.lockWait.Count).
		Int64("lock_wait_total", ms(s.lockWait.Total)).Int64("lock_wait_max", ms(s.lockWait.Max)).
		Int64("lock_held_total", ms(s.lockHeld.Total)).Int64("lock_held_max", ms(s.lockHeld.Max)).
		Int("plans", s.plan.Count).Int64("plan_total", ms(s.plan.Total)).Int64("plan_max", ms(s.plan.Max)).
		Int("orders", s.orderAge.Count).
		Int64("order_age_mean", ms(s.orderAge.Mean())).Int64("order_age_max", ms(s.orderAge.Max)).
		Int64("order_queue_max", ms(s.orderQueue.Max)).Int64("order_took_max", ms(s.orderTook.Max)).
		Int("service_restarts", s.restarts.Confirmation.Count).
		Int64("restart_decision_mean", ms(s.restarts.Decision.Mean())).
		Int64("restart_decision_max", ms(s.restarts.Decision.Max)).
		Int64("restart_store_max", ms(s.restarts.Store.Max)).
		Int64("restart_confirm_max", ms(s.restarts.Confirmation.Max)).
		Int64("service_wait_max", ms(c.LongestServiceWait)).
		Str("waiting_for", s.waits.Tasks.String()).Int64("waiting_max", ms(s.waits.Longest)).
		Int64("list_age", ms(c.ListAge)).Int("unstored_workers", c.Unstored).Int("awaited_workers", c.Awaited).
		Int("not_used", len(s.unused.Workers)).Str("not_used_for", s.unused.ByReason.String()).
		Int64("not_used_max", ms(s.unused.Longest)).Msg("")
	s.logServiceNeeds(l, term)
}

// logAges starts an entry with the figures that tell whether and why the owner decides on outdated reports.
func (s *status) logAges(l *eventlog.Logger, code eventlog.Code, term int64) *log.Entry {
	return l.Event(code).Int64("term", term).
		Int64("interval", ms(s.interval)).Int64("cpu", ms(s.cpu)).
		Int("reports", s.reportAge.Count).
		Int64("report_age_mean", ms(s.reportAge.Mean())).Int64("report_age_max", ms(s.reportAge.Max)).
		Int64("received_age_mean", ms(s.receivedAge.Mean())).Int64("received_age_p95", ms(s.receivedAge.percentile(95))).
		Int64("received_age_max", ms(s.receivedAge.Max)).
		Int64("relay_wait_mean", ms(s.relayWait.Mean())).Int64("relay_wait_max", ms(s.relayWait.Max)).
		Int("relay_left", s.uncollected).
		Int64("owner_wait_mean", ms(s.ownerWait.Mean())).Int64("owner_wait_max", ms(s.ownerWait.Max))
}

func ms(d time.Duration) int64 { return d.Milliseconds() }

// delayMetrics publish a delay of each interval. The counters allow a mean over any number of intervals.
type delayMetrics struct {
	count, totalUs tally.Counter
	maximum        tally.Gauge
}

func newDelayMetrics(scope tally.Scope, name string) delayMetrics {
	return delayMetrics{
		count: scope.Counter(name + "_count"), totalUs: scope.Counter(name + "_microseconds"),
		maximum: scope.Gauge(name + "_max_seconds"),
	}
}

func (m delayMetrics) publish(d schedule.Delay) {
	m.count.Inc(int64(d.Count))
	m.totalUs.Inc(d.Total.Microseconds())
	m.maximum.Update(d.Max.Seconds())
}

// statusMetrics publish the measurements of an owner.
type statusMetrics struct {
	reportAge, receivedAge, relayWait, ownerWait              delayMetrics
	lockWait, lockHeld, plan                                  delayMetrics
	orderQueue, orderTook, orderAge                           delayMetrics
	restartDecision, restartStore, restartConfirmation        delayMetrics
	receivedAgeP95, uncollected, cpuShare, longestServiceWait tally.Gauge
	waits                                                     waitMetrics
	unused                                                    unusedMetrics
	needs                                                     needMetrics
}

func newStatusMetrics(scope tally.Scope) statusMetrics {
	return statusMetrics{
		reportAge: newDelayMetrics(scope, "report_age"), receivedAge: newDelayMetrics(scope, "report_received_age"),
		relayWait: newDelayMetrics(scope, "report_relay_wait"), ownerWait: newDelayMetrics(scope, "results_owner_wait"),
		lockWait: newDelayMetrics(scope, "owner_lock_wait"), lockHeld: newDelayMetrics(scope, "owner_lock_held"),
		plan: newDelayMetrics(scope, "plan"), orderQueue: newDelayMetrics(scope, "order_queue"),
		orderTook: newDelayMetrics(scope, "order_took"), orderAge: newDelayMetrics(scope, "order_age"),
		restartDecision:     newDelayMetrics(scope, "service_restart_decision"),
		restartStore:        newDelayMetrics(scope, "service_restart_store"),
		restartConfirmation: newDelayMetrics(scope, "service_restart_confirmation"),
		receivedAgeP95:      scope.Gauge("report_received_age_p95_seconds"),
		uncollected:         scope.Gauge("reports_left_in_relay"),
		cpuShare:            scope.Gauge("owner_cpu_cores"),
		longestServiceWait:  scope.Gauge("service_wait_max_seconds"),
		waits:               newWaitMetrics(scope),
		unused:              newUnusedMetrics(scope),
		needs:               newNeedMetrics(scope),
	}
}

func (m *statusMetrics) publish(s *status) {
	m.reportAge.publish(s.reportAge.Delay)
	m.receivedAge.publish(s.receivedAge.Delay)
	m.relayWait.publish(s.relayWait)
	m.ownerWait.publish(s.ownerWait)
	m.lockWait.publish(s.lockWait)
	m.lockHeld.publish(s.lockHeld)
	m.plan.publish(s.plan)
	m.orderQueue.publish(s.orderQueue)
	m.orderTook.publish(s.orderTook)
	m.orderAge.publish(s.orderAge)
	m.restartDecision.publish(s.restarts.Decision)
	m.restartStore.publish(s.restarts.Store)
	m.restartConfirmation.publish(s.restarts.Confirmation)
	m.receivedAgeP95.Update(s.receivedAge.percentile(95).Seconds())
	m.uncollected.Update(float64(s.uncollected))
	if s.interval > 0 {
		m.cpuShare.Update(s.cpu.Seconds() / s.interval.Seconds())
	}
	m.longestServiceWait.Update(s.counts.LongestServiceWait.Seconds())
	m.waits.publish(s)
	m.unused.publish(&s.unused)
	m.needs.publish(&s.needs)
}
