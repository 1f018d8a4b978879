package incarnation

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// answer is an answer to a poll: when it was sent and received, the stated start and the clock.
type answer struct {
	sent, received time.Duration
	startedMs      int64
	clockMs        int64
}

// identifyAll returns the number of each answer's process, in the order in which the incarnations first occur.
func identifyAll(answers []answer) (processes []int) {
	w := Identify(nil)
	numbers := map[int64]int{}
	for _, a := range answers {
		w.now = func() time.Duration { return a.received }
		id := w.identify("w", a.sent, relay.PollReply{ClockMs: a.clockMs, Report: schedule.Report{Incarnation: a.startedMs}})
		if _, known := numbers[id]; !known {
			numbers[id] = len(numbers)
		}
		processes = append(processes, numbers[id])
	}
	return processes
}

// Guards against a process with the start of the former one that is taken for it; and against a live process that is taken for another
// one because it was silent, its clock runs slow or stood still while its machine was suspended, or answers have overtaken each other.
func TestProcessesAreToldApartByTheirClocks(t *testing.T) {
	const s = time.Second
	for name, row := range map[string]struct {
		answers []answer
		want    []int
	}{
		"one process":            {[]answer{{1 * s, 2 * s, 7, 100}, {2 * s, 3 * s, 7, 1100}}, []int{0, 0}},
		"same reading":           {[]answer{{1 * s, 2 * s, 7, 100}, {2 * s, 3 * s, 7, 100}}, []int{0, 0}},
		"silent for long":        {[]answer{{1 * s, 2 * s, 7, 100}, {99 * s, 100 * s, 7, 98100}}, []int{0, 0}},
		"suspended":              {[]answer{{1 * s, 2 * s, 7, 100}, {99 * s, 100 * s, 7, 200}}, []int{0, 0}},
		"overtaken":              {[]answer{{1 * s, 4 * s, 7, 3000}, {2 * s, 5 * s, 7, 1000}, {6 * s, 7 * s, 7, 6000}}, []int{0, 0, 0}},
		"clock anew":             {[]answer{{1 * s, 2 * s, 7, 5000}, {3 * s, 4 * s, 7, 100}, {4 * s, 5 * s, 7, 1100}}, []int{0, 1, 1}},
		"clock anew, twice":      {[]answer{{1 * s, 2 * s, 7, 5000}, {3 * s, 4 * s, 7, 100}, {5 * s, 6 * s, 7, 50}}, []int{0, 1, 2}},
		"another start":          {[]answer{{1 * s, 2 * s, 7, 5000}, {3 * s, 4 * s, 8, 9000}}, []int{0, 1}},
		"former start, and back": {[]answer{{1 * s, 2 * s, 7, 5000}, {3 * s, 4 * s, 8, 100}, {5 * s, 6 * s, 8, 2100}}, []int{0, 1, 1}},
	} {
		if got := identifyAll(row.answers); fmt.Sprint(got) != fmt.Sprint(row.want) {
			t.Errorf("%s: processes %v, want %v", name, got, row.want)
		}
	}
}

// Guards against a map that grows with each worker that there ever was.
func TestReadingsOfFormerWorkersAreDropped(t *testing.T) {
	w := Identify(nil)
	now := time.Hour
	w.now = func() time.Duration { return now }
	for n := range 100 {
		now += time.Minute
		w.identify(schedule.WorkerID(fmt.Sprint(n)), now, relay.PollReply{})
	}
	if n := len(w.readings); n > 2*int(retention/time.Minute)+1 {
		t.Errorf("%d readings", n)
	}
}

// repeatingWorker is a worker that ends tasks, is replaced by a process with the same start, and drops each end up to the number that a
// poll acknowledges, as the platform's workers do.
type repeatingWorker struct {
	relay.Workers
	mu      sync.Mutex
	polls   int
	clockMs int64
	ended   []schedule.Ended
	dropped []schedule.Ended // without having been listed
	listed  map[int64]bool
}

func (w *repeatingWorker) end(numbers ...int64) {
	for _, n := range numbers {
		w.ended = append(w.ended, schedule.Ended{Number: n})
	}
}

func (w *repeatingWorker) Poll(_ context.Context, req relay.PollRequest) (relay.PollReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	w.clockMs += 100
	switch {
	case w.polls == 2:
		w.end(1, 2, 3)
	case w.polls == 6: // the next process
		w.clockMs, w.ended, w.listed = 0, nil, map[int64]bool{}
		return relay.PollReply{}, errors.New("no answer")
	case w.polls == 8:
		w.end(1, 2) // between two polls
	}
	kept := []schedule.Ended{}
	for _, end := range w.ended {
		switch {
		case end.Number > req.AckedEnd:
			kept = append(kept, end)
		case !w.listed[end.Number]:
			w.dropped = append(w.dropped, end)
		}
	}
	w.ended = kept
	for _, end := range kept {
		w.listed[end.Number] = true
	}
	return relay.PollReply{ClockMs: w.clockMs, Report: schedule.Report{Incarnation: 7, Ended: kept}}, nil
}

// Scenario: a worker whose three ends are stored starts again with the start of its former process and ends two tasks. Guards against a
// relay that acknowledges these before anybody has read them: their tasks would start again after they are done.
func TestRelayAcknowledgesNoEndsOfTheNextProcess(t *testing.T) {
	worker := &repeatingWorker{listed: map[int64]bool{}}
	r := relay.New(relay.Config{Workers: Identify(worker), TaskLease: 6 * time.Second, Scope: tally.NoopScope})
	defer r.Close()
	assign := relay.Update{Term: 1, LeaseUntil: bootclock.Uptime() + time.Minute, Reset: true,
		Assign: []relay.Assignment{{Worker: schedule.WorkerInfo{ID: "w"}}}}
	if err := r.Update(assign); err != nil {
		t.Fatal(err)
	}
	poll.Until(t, "the next process is polled", func() bool {
		if err := r.Update(relay.Update{Term: 1, LeaseUntil: bootclock.Uptime() + time.Minute,
			Stored: []relay.StoredEnd{{Worker: "w", Incarnation: 7, Number: 3}}}); err != nil {
			t.Fatal(err)
		}
		worker.mu.Lock()
		defer worker.mu.Unlock()
		return worker.polls >= 12
	})
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if len(worker.dropped) > 0 || len(worker.ended) != 2 {
		t.Errorf("the next process has dropped the ends %v that were never listed, and lists %v", worker.dropped, worker.ended)
	}
}
