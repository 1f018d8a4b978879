package learn

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// Thresholds of progress measurements.
const (
	// MinWindow is the least time over which a progress rate is measured. Shorter ones are mostly noise.
	MinWindow = 10 * time.Second
	// MaxWindow is the time after which a window without a usable rate is started anew.
	MaxWindow = 2 * time.Minute
)

// Sample is one task of an inventory, with the time at which its usage and progress were taken.
type Sample struct {
	Task     structs.TaskID
	Attempt  int
	Kind     structs.KindName
	Host     structs.HostID
	TakenAt  time.Time
	Usage    structs.Resources
	Progress float64 // 0 to 1
	Throttle float64 // share of full speed; 1 is unthrottled
}

// window is the start of a progress measurement.
type window struct {
	host     structs.HostID
	from     time.Time
	progress float64
}

// Model joins the estimators and feeds them from inventories. It satisfies the model interfaces of package
// placement.
type Model struct {
	*Sizes
	*Slowdowns
	History *History
	windows map[attempt]window
}

// NewModel returns a model that knows nothing.
func NewModel() *Model {
	return &Model{Sizes: NewSizes(), Slowdowns: NewSlowdowns(), History: NewHistory(), windows: map[attempt]window{}}
}

// Observe takes one sample. Samples may arrive late but in the order in which they were taken; a sample that is
// not newer than the last one of its attempt is ignored.
func (m *Model) Observe(sample Sample, now time.Time) {
	key := attempt{sample.Task, sample.Attempt}
	start, known := m.windows[key]
	if known && !sample.TakenAt.After(start.from) {
		return
	}
	if sample.Usage != (structs.Resources{}) {
		m.ObserveUsage(sample.Kind, sample.Usage, now)
	}
	length := sample.TakenAt.Sub(start.from)
	if known && sample.Throttle >= 1 && start.host == sample.Host && length < MinWindow {
		return
	}
	m.windows[key] = window{sample.Host, sample.TakenAt, sample.Progress}
	if !known || sample.Throttle < 1 || start.host != sample.Host || length > MaxWindow {
		return // the task was throttled or moved, so the rate says nothing about its neighbours
	}
	near, covered := m.History.MeanExposure(sample.Host, start.from, sample.TakenAt, sample.Kind)
	if !covered || sample.Progress <= start.progress {
		return
	}
	rate := (sample.Progress - start.progress) / length.Seconds()
	m.Slowdowns.Observe(sample.Task, sample.Attempt, sample.Kind, rate, near, now)
}

// Refresh prepares the model for a planning cycle. The owner calls it before each.
func (m *Model) Refresh(now time.Time) {
	m.Slowdowns.Refresh(now)
	for key, w := range m.windows {
		if now.Sub(w.from) > HistoryRetention {
			delete(m.windows, key) // a late measurement may follow the end of its attempt
		}
	}
}

// RecordEnd drops what is kept about an attempt. done tells that the task has completed after running for ran in all
// its attempts.
func (m *Model) RecordEnd(task structs.TaskID, number int, kind structs.KindName, done bool, ran time.Duration, now time.Time) {
	delete(m.windows, attempt{task, number})
	m.Slowdowns.Forget(task, number)
	if done && ran > 0 {
		m.ObserveRun(kind, ran, now)
	}
}
