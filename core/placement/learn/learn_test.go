package learn

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarcourse.example/core/structs"
)

// Property tests use a fixed seed, so that every run draws the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against reservations that change after too few samples, and against sizes that are never corrected.
func TestReservationNeedsEvidence(t *testing.T) {
	declared := structs.Resources{MilliCPU: 1000, MemoryBytes: 4e9, Accelerators: 1}
	small, large := structs.Resources{MilliCPU: 100, MemoryBytes: 1e9}, structs.Resources{MilliCPU: 4000, MemoryBytes: 16e9}
	cases := []struct {
		name    string
		usage   structs.Resources
		samples int
		changed bool
	}{
		{"few large samples", large, MinSamplesToRaise - 1, false},
		{"many large samples", large, MinSamplesToRaise, true},
		{"few small samples", small, MinSamplesToLower - 1, false},
		{"many small samples", small, MinSamplesToLower, true},
	}
	for _, c := range cases {
		s := NewSizes()
		for range c.samples {
			s.ObserveUsage("trace", c.usage, start)
		}
		got := s.Reservation("trace", declared)
		if !c.changed && got != declared {
			t.Errorf("%s: reservation %+v, want the declared one", c.name, got)
		}
		if c.changed && (got.MilliCPU == declared.MilliCPU || float64(got.MemoryBytes) < float64(c.usage.MemoryBytes)) {
			t.Errorf("%s: reservation %+v for usage %+v", c.name, got, c.usage)
		}
		if got.Accelerators != declared.Accelerators {
			t.Errorf("%s: accelerators changed to %d", c.name, got.Accelerators)
		}
	}
}

// Guards against a kind that keeps its old estimate after its size has changed.
func TestReservationFollowsChange(t *testing.T) {
	s, now := NewSizes(), start
	for i := range 1440 { // a sample every 20 s, for 4 h of each size
		usage := structs.Resources{MilliCPU: 8000, MemoryBytes: 8e9}
		if i >= 720 {
			usage = structs.Resources{MilliCPU: 1000, MemoryBytes: 1e9}
		}
		now = now.Add(20 * time.Second)
		s.ObserveUsage("trace", usage, now)
	}
	if got := s.Reservation("trace", structs.Resources{MilliCPU: 2000, MemoryBytes: 2e9}); got.MilliCPU > 1100 || got.MemoryBytes > 1.3e9 {
		t.Errorf("reservation %+v still follows the old usage", got)
	}
}

// Guards against expected remaining times that are negative or ignore how long a task has already run.
func TestRemaining(t *testing.T) {
	s := NewSizes()
	for i := range 100 {
		s.ObserveRun("trace", time.Duration(60+i%2*540)*time.Second, start) // 60 s or 600 s
	}
	early, ok := s.Remaining("trace", 0)
	if !ok || math.Abs(early.Seconds()-330) > 15 {
		t.Errorf("at the start: %v %v, want about 330 s", early, ok)
	}
	if late, ok := s.Remaining("trace", 100*time.Second); !ok || math.Abs(late.Seconds()-500) > 20 {
		t.Errorf("after 100 s: %v %v, want about 500 s", late, ok)
	}
	if _, ok := s.Remaining("trace", time.Hour); ok {
		t.Error("got a remaining time for a task that has exceeded all recorded run times")
	}
	if _, ok := s.RunTime("unknown", 0.5); ok || s.RemainingWithProgress("unknown", 0, time.Minute) != 0 {
		t.Error("got a run time of an unknown kind")
	}
	if got := s.RemainingWithProgress("trace", 0.25, time.Minute); got != 3*time.Minute {
		t.Errorf("a quarter done after a minute: %v", got)
	}
}

// Guards against means that miss part of a window, count the task as its own neighbour, or cover a time without
// records.
func TestHistoryMean(t *testing.T) {
	h := NewHistory()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	h.Record("w", at(30), []KindCount{{"render", 1}, {"trace", 3}})
	h.Record("w", at(0), []KindCount{{"trace", 2}}) // recorded out of order
	cases := []struct {
		from, to      int
		covered       bool
		render, trace float64
	}{
		{0, 30, true, 0, 1},
		{30, 60, true, 1, 2},
		{20, 40, true, 0.5, 1.5},
		{-10, 10, false, 0, 0},
		{10, 10, false, 0, 0},
	}
	for _, c := range cases {
		exposures, covered := h.MeanExposure("w", at(c.from), at(c.to), "trace")
		got := map[structs.KindName]float64{}
		for _, e := range exposures {
			got[e.Kind] = e.Mean
		}
		if covered != c.covered || math.Abs(got["render"]-c.render) > 1e-9 || math.Abs(got["trace"]-c.trace) > 1e-9 {
			t.Errorf("%d to %d s: %v %v", c.from, c.to, got, covered)
		}
	}
	for i := range 10_000 {
		h.Record("w", at(60+i), nil)
	}
	if n := len(h.workers["w"]); time.Duration(n)*time.Second > HistoryRetention+2*time.Second {
		t.Errorf("%d entries kept", n)
	}
}

// simulate runs tasks whose logarithmic slowdown per neighbour is truth[victim][neighbour] and adds their measurements
// to m. Inventories arrive a minute late. Task lengths differ by a factor of 20 and rates are noisy. The number of
// tasks on the worker changes unless full is set.
func simulate(m *Model, truth map[structs.KindName]map[structs.KindName]float64, from time.Time, rounds int, full bool, seed uint64) time.Time {
	rnd := rand.New(rand.NewPCG(seed, 0))
	kinds := []structs.KindName{"render", "trace", "watch"}
	type task struct {
		kind             structs.KindName
		length, progress float64 // run time in seconds without neighbours; share completed
	}
	tasks, next := map[int]*task{}, 0
	var late []Sample
	const period, delay = 20 * time.Second, time.Minute
	now := from
	for range rounds {
		for id := range next { // a task ends with probability 1/6 and may be replaced
			if tasks[id] != nil && rnd.IntN(6) == 0 {
				delete(tasks, id)
				m.RecordEnd(structs.TaskID{Index: id}, 1, "", false, 0, now)
			}
		}
		for len(tasks) < 6 && (full || rnd.IntN(4) > 0) {
			tasks[next] = &task{kind: kinds[rnd.IntN(3)], length: 200 * math.Exp(3*rnd.Float64())}
			next++
		}
		counts := map[structs.KindName]int{}
		var colocated []KindCount
		for _, k := range tasks {
			counts[k.kind]++
		}
		for _, kind := range kinds {
			colocated = append(colocated, KindCount{kind, counts[kind]})
		}
		m.History.Record("w", now, colocated)
		for id := range next {
			k := tasks[id]
			if k == nil {
				continue
			}
			slow := 0.1 * rnd.NormFloat64()
			for kind, n := range counts {
				if kind == k.kind {
					n--
				}
				slow += float64(n) * truth[k.kind][kind]
			}
			late = append(late, Sample{Task: structs.TaskID{Index: id}, Attempt: 1, Kind: k.kind, Host: "w", TakenAt: now, Progress: k.progress, Throttle: 1})
			k.progress += period.Seconds() / k.length * math.Exp(-slow)
		}
		now = now.Add(period)
		for len(late) > 0 && now.Sub(late[0].TakenAt) >= delay {
			m.Observe(late[0], now)
			late = late[1:]
		}
	}
	m.Refresh(now)
	return now
}

// Guards against slowdowns that are attributed to the wrong neighbours: measurements arrive a minute late, when other
// tasks run together.
func TestSlowdownsFromLateMeasurements(t *testing.T) {
	truth := map[structs.KindName]map[structs.KindName]float64{"render": {"trace": 0.5, "render": 0.2}, "trace": {"watch": 0.3}}
	for seed := uint64(1); seed <= 6; seed++ {
		m := NewModel()
		simulate(m, truth, start, 400, seed%2 == 0, seed)
		for _, victim := range []structs.KindName{"render", "trace", "watch"} {
			for _, neighbour := range []structs.KindName{"render", "trace", "watch"} {
				if got, want := m.LogSlowdown(victim, neighbour), truth[victim][neighbour]; math.Abs(got-want) > 0.1 {
					t.Errorf("seed %d: %s slowed by %s: %.2f, want %.2f", seed, victim, neighbour, got, want)
				}
			}
		}
	}
}

// Guards against a wrong estimate that outlasts the measurements behind it, with new measurements and without any.
func TestWrongEstimatesDecay(t *testing.T) {
	wrong := map[structs.KindName]map[structs.KindName]float64{"render": {"trace": 1}}
	m := NewModel()
	now := simulate(m, wrong, start, 200, false, 1)
	if got := m.LogSlowdown("render", "trace"); got < 0.8 {
		t.Fatalf("estimate %.2f after measurements of 1", got)
	}
	idle := now.Add(12 * SlowdownHalfLife)
	simulate(m, nil, now, 400, false, 2)
	if got := m.LogSlowdown("render", "trace"); got > 0.2 {
		t.Errorf("estimate %.2f after %v of measurements of 0", got, 400*20*time.Second)
	}
	m = NewModel()
	simulate(m, wrong, start, 200, false, 1)
	m.Refresh(idle)
	if got := m.LogSlowdown("render", "trace"); got > 0.05 {
		t.Errorf("estimate %.2f after 12 half-lives without measurements", got)
	}
}

// Guards against rates that are measured while a task is throttled or moved and attributed to its neighbours.
func TestThrottledMeasurementsAreDropped(t *testing.T) {
	m := NewModel()
	m.History.Record("w", start, []KindCount{{"render", 1}})
	progress, now := 0.0, start
	for i := range 40 {
		sample := Sample{Kind: "render", Host: "w", TakenAt: now, Progress: progress, Throttle: 1}
		if i >= 20 { // throttled while a neighbour runs
			sample.Throttle = 0.2
			m.History.Record("w", now, []KindCount{{"render", 1}, {"trace", 1}})
		}
		m.Observe(sample, now)
		progress += 0.01 * sample.Throttle
		now = now.Add(MinWindow)
	}
	m.Refresh(now)
	if got := m.LogSlowdown("render", "trace"); got != 0 {
		t.Errorf("throttling counted as a slowdown of %.2f", got)
	}
}

// Guards against estimates that are not finite or out of bounds, for any measurements.
func TestEstimatesStayInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := NewModel(), start
		kind := rapid.SampledFrom([]structs.KindName{"a", "b", "c"})
		for range rapid.IntRange(0, 60).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.Int64Range(-5, 600).Draw(t, "gap")) * time.Second)
			m.ObserveUsage(kind.Draw(t, "kind"), structs.Resources{MilliCPU: rapid.Int64().Draw(t, "cpu"), MemoryBytes: rapid.Int64().Draw(t, "memory")}, now)
			m.Slowdowns.Observe(structs.TaskID{Index: rapid.IntRange(0, 3).Draw(t, "task")}, 1, kind.Draw(t, "victim"), rapid.Float64().Draw(t, "rate"),
				[]Exposure{{kind.Draw(t, "near"), rapid.Float64Range(0, 50).Draw(t, "mean")}}, now)
		}
		m.Refresh(now.Add(SolveInterval))
		declared := structs.Resources{MilliCPU: 1000, MemoryBytes: 1e9, Accelerators: 1}
		for _, a := range []structs.KindName{"a", "b", "c"} {
			if got := m.Reservation(a, declared); got.MilliCPU <= 0 || got.MemoryBytes <= 0 || got.Accelerators != 1 {
				t.Fatalf("reservation %+v", got)
			}
			for _, b := range []structs.KindName{"a", "b", "c"} {
				if got := m.LogSlowdown(a, b); !(got >= 0 && got <= MaxLogSlowdown) {
					t.Fatalf("slowdown %v", got)
				}
			}
		}
	})
}
