package dispatch

import (
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// Guards against a line about services that need a place with figures missing or under the wrong name, and against more than one
// line with each status, or one while nothing needs a place.
func TestStatusTellsWhatStartedBesideServicesThatNeedAPlace(t *testing.T) {
	o, _, text := measuredOwner(t)
	s := o.takeStatus()
	s.log(o.cfg.Log, 1)
	if lines := decoded(t, text.String(), eventlog.ServicesNeedPlaces); len(lines) != 0 {
		t.Errorf("a line without such services: %v", lines)
	}
	total := func(n int) schedule.TaskTotal { return schedule.TaskTotal{Tasks: n, MilliCPU: int64(n) * 1000} }
	starts := func(n int) schedule.StartTotal { return schedule.StartTotal{TaskTotal: total(n), InRoom: n - 1} }
	s.needs = schedule.ServiceNeeds{OnSilent: total(500), Displaced: total(200), FirstStarts: starts(90), Restarts: starts(40),
		OtherStarts: starts(300), Fillers: starts(7)}
	s.log(o.cfg.Log, 3)
	lines := decoded(t, text.String(), eventlog.ServicesNeedPlaces)
	if len(lines) != 1 {
		t.Fatalf("%d lines", len(lines))
	}
	for field, want := range map[string]int{
		"term": 3, "on_silent": 500, "on_silent_cpu": 500_000, "displaced": 200, "displaced_cpu": 200_000,
		"first_starts": 90, "first_starts_cpu": 90_000, "first_starts_in_room": 89,
		"restarts": 40, "restarts_cpu": 40_000, "restarts_in_room": 39,
		"other_starts": 300, "other_starts_cpu": 300_000, "other_starts_in_room": 299,
		"filler_starts": 7, "filler_starts_cpu": 7000, "filler_starts_in_room": 6,
	} {
		if got := fmt.Sprint(lines[0][field]); got != fmt.Sprint(want) {
			t.Errorf("%s is %s, want %d", field, got, want)
		}
	}
}

// Guards against metrics of services that need a place that keep the last value, or that count the starts of an interval twice.
func TestMetricsOfServicesThatNeedAPlace(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newStatusMetrics(scope)
	s := status{needs: schedule.ServiceNeeds{OnSilent: schedule.TaskTotal{Tasks: 5}, Displaced: schedule.TaskTotal{Tasks: 4},
		FirstStarts: schedule.StartTotal{TaskTotal: schedule.TaskTotal{Tasks: 3, MilliCPU: 6000}}}}
	m.publish(&s)
	m.publish(&status{})
	if gauge(scope, "services_on_silent_workers+") != 0 || gauge(scope, "services_displaced+") != 0 {
		t.Error("the gauges keep the last value")
	}
	for name, want := range map[string]int64{
		"starts_beside_service_needs+kind=first_starts": 3, "starts_beside_service_needs_millicores+kind=first_starts": 6000,
	} {
		if counter, known := scope.Snapshot().Counters()[name]; !known || counter.Value() != want {
			t.Errorf("the counter %s is %v, want %d", name, counter, want)
		}
	}
}
