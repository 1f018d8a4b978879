package learn

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// Thresholds of progress measurements.
const (
	// MinWindow is the minimum time over which a progress rate is measured. Rates over shorter windows are mostly
	// noise.
	MinWindow = 10 * time.Second
	// MaxWindow is the maximum time over which a progress rate is measured. A longer window yields no rate and is
	// restarted.
	MaxWindow = 2 * time.Minute
)

// Sample is the state of one task in an inventory. TakenAt is the time at which its usage and progress were measured.
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

// Model combines the estimators and updates them from inventories. It implements the model interfaces of package
// placement.
type Model struct {
	*Sizes
	*Slowdowns
	History *History
	windows map[attempt]window
}

// NewModel returns a model without measurements.
func NewModel() *Model {
	return &Model{Sizes: NewSizes(), Slowdowns: NewSlowdowns(), History: NewHistory(), windows: map[attempt]window{}}
}

// Observe adds one sample. Samples may arrive late but must arrive in the order in which they were taken; a sample that
// is not newer than the start of the current window of its attempt is ignored.
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
		return // unusable: the rate of a throttled or moved task says nothing about its neighbours
	}
	neighbours, covered := m.History.MeanExposure(sample.Host, start.from, sample.TakenAt, sample.Kind)
	if !covered || sample.Progress <= start.progress {
		return
	}
	rate := (sample.Progress - start.progress) / length.Seconds()
	m.Slowdowns.Observe(sample.Task, sample.Attempt, sample.Kind, rate, neighbours, now)
}

// Refresh updates the model for a planning cycle. The owner calls it before each cycle.
func (m *Model) Refresh(now time.Time) {
	m.Slowdowns.Refresh(now)
	for key, w := range m.windows {
		if now.Sub(w.from) > HistoryRetention {
			delete(m.windows, key) // created by a late sample that arrived after the end of its attempt
		}
	}
}

// RecordEnd removes the state of an attempt that has ended. If done is set, the task has completed, and its run time
// ran over all its attempts is recorded.
func (m *Model) RecordEnd(task structs.TaskID, number int, kind structs.KindName, done bool, ran time.Duration, now time.Time) {
	delete(m.windows, attempt{task, number})
	m.Slowdowns.RemoveAttempt(task, number)
	if done && ran > 0 {
		m.ObserveRun(kind, ran, now)
	}
}
