package dispatch

import (
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// logServiceNeeds writes the line about services that need a place, unless there are none.
func (s *status) logServiceNeeds(l *eventlog.Logger, term int64) {
	n := &s.needs
	if n.Empty() {
		return
	}
	entry := l.Event(eventlog.ServicesNeedPlaces).Int64("term", term).Int64("interval", ms(s.interval))
	entry = withTotal(entry, "on_silent", n.OnSilent)
	entry = withTotal(entry, "displaced", n.Displaced)
	for _, starts := range startKinds(n) {
		entry = withTotal(entry, starts.name, starts.TaskTotal).Int(starts.name+"_in_room", starts.InRoom)
	}
	entry.Msg("")
}

func withTotal(entry *log.Entry, name string, total schedule.TaskTotal) *log.Entry {
	return entry.Int(name, total.Tasks).Int64(name+"_cpu", total.MilliCPU)
}

// startKind is the number of starts of one kind beside services that need a place.
type startKind struct {
	name string
	schedule.StartTotal
}

func startKinds(n *schedule.ServiceNeeds) []startKind {
	return []startKind{{"first_starts", n.FirstStarts}, {"restarts", n.Restarts},
		{"other_starts", n.OtherStarts}, {"filler_starts", n.Fillers}}
}

// needMetrics publish how many services need a place, and the starts beside them.
type needMetrics struct {
	onSilent, displaced tally.Gauge
	starts, startCPU    map[string]tally.Counter // by kind
}

func newNeedMetrics(scope tally.Scope) needMetrics {
	m := needMetrics{onSilent: scope.Gauge("services_on_silent_workers"), displaced: scope.Gauge("services_displaced"),
		starts: map[string]tally.Counter{}, startCPU: map[string]tally.Counter{}}
	for _, kind := range startKinds(&schedule.ServiceNeeds{}) {
		tagged := scope.Tagged(map[string]string{"kind": kind.name})
		m.starts[kind.name] = tagged.Counter("starts_beside_service_needs")
		m.startCPU[kind.name] = tagged.Counter("starts_beside_service_needs_millicores")
	}
	return m
}

func (m *needMetrics) publish(n *schedule.ServiceNeeds) {
	m.onSilent.Update(float64(n.OnSilent.Tasks))
	m.displaced.Update(float64(n.Displaced.Tasks))
	for _, kind := range startKinds(n) {
		m.starts[kind.name].Inc(int64(kind.Tasks))
		m.startCPU[kind.name].Inc(kind.MilliCPU)
	}
}
