package relay

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// Addresses of the only worker in these tests.
const (
	firstAddress  = "10.0.0.1:80"
	secondAddress = "10.0.0.2:80"
)

// listedAt returns an update that lists the worker at an address.
func listedAt(address, answered string) Update {
	return Update{
		Term: 1, LeaseUntil: bootclock.Uptime() + time.Hour,
		Assign: []Assignment{{Worker: schedule.WorkerInfo{ID: "w", Address: address}, AnsweredAddress: answered}},
	}
}

// processAt is the process of a worker: where it listens and its start.
type processAt struct {
	address     string
	incarnation int64
}

// answersAs returns a function that answers polls like the process that current returns, which is called once for each poll.
func answersAs(current func() processAt) func(int, PollRequest) (PollReply, error) {
	return func(_ int, req PollRequest) (PollReply, error) {
		p := current()
		if req.Worker.Address != p.address {
			return PollReply{}, errors.New("no answer")
		}
		return PollReply{ClockMs: 1000, Report: schedule.Report{Incarnation: p.incarnation}}, nil
	}
}

// pollsAt returns the number of polls that were sent to an address so far.
func (f *fakeWorkers) pollsAt(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, req := range f.polls {
		if req.Worker.Address == address {
			n++
		}
	}
	return n
}

// lastCommand returns the command that was sent last.
func (f *fakeWorkers) lastCommand() Command {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent[len(f.sent)-1]
}

// sendStart makes the relay send a start for which the owner names an address, and returns the command.
func sendStart(r *Relay, f *fakeWorkers, address string) Command {
	r.send(1, schedule.Order{Kind: schedule.OrderStart, Worker: "w", Address: address}, bootclock.Uptime())
	return f.lastCommand()
}

// Scenario: a worker crashes and starts again under its ID at another address, which its entry names from then on. Guards against
// polls that go to the former address for as long as the relay serves its owner, so that the worker is never used again; and against
// starts that reach another process than the one whose clock their lease was computed from.
func TestWorkerIsPolledWhereItStartsAgain(t *testing.T) {
	process := processAt{firstAddress, 1}
	f := &fakeWorkers{reply: answersAs(func() processAt { return process })}
	r := startRelay(t, f)
	first := listedAt(firstAddress, "")
	first.Reset = true
	if err := r.Update(first); err != nil {
		t.Fatal(err)
	}
	f.waitForPoll(t, 2)
	f.mu.Lock()
	process = processAt{secondAddress, 2}
	f.mu.Unlock()
	if err := r.Update(listedAt(secondAddress, firstAddress)); err != nil {
		t.Fatal(err)
	}
	poll.Until(t, "the worker answers at its new address", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.sessions["w"].incarnation == 2
	})
	poll.Until(t, "a report names the new address", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		w := r.reports.byWorker["w"]
		return w != nil && w.latest != nil && w.latest.Report.Address == secondAddress
	})
	if sent := sendStart(r, f, firstAddress); sent.Order.Address != secondAddress {
		t.Errorf("a start is sent to %s", sent.Order.Address)
	}
}

// Scenario: another writer changes the address in the entry of a live worker. Guards against losing the worker, or sending its orders
// elsewhere, while it answers where it listens.
func TestChangedEntryOfALiveWorkerMovesNothing(t *testing.T) {
	f := &fakeWorkers{reply: answersAs(func() processAt { return processAt{firstAddress, 1} })}
	r := startRelay(t, f)
	first := listedAt(firstAddress, "")
	first.Reset = true
	if err := r.Update(first); err != nil {
		t.Fatal(err)
	}
	f.waitForPoll(t, 2)
	if err := r.Update(listedAt(secondAddress, firstAddress)); err != nil {
		t.Fatal(err)
	}
	before := f.pollsAt(firstAddress)
	poll.Until(t, "the worker is polled on", func() bool { return f.pollsAt(firstAddress) > before+1 })
	if n := f.pollsAt(secondAddress); n > 0 {
		t.Errorf("%d polls are sent to the changed address", n)
	}
	if sent := sendStart(r, f, secondAddress); sent.Order.Address != firstAddress {
		t.Errorf("a start is sent to %s", sent.Order.Address)
	}
}

// Scenario: a relay takes over a worker whose entry does not name the address at which the worker has answered: another writer has
// changed it, or the worker has just started again. Guards against a relay that tries one address only.
func TestNewRelayTriesBothAddresses(t *testing.T) {
	for name, address := range map[string]string{"changed entry": firstAddress, "started again": secondAddress} {
		t.Run(name, func(t *testing.T) {
			f := &fakeWorkers{reply: answersAs(func() processAt { return processAt{address, 1} })}
			r := startRelay(t, f)
			u := listedAt(secondAddress, firstAddress)
			u.Reset = true
			if err := r.Update(u); err != nil {
				t.Fatal(err)
			}
			poll.Until(t, "the worker answers twice", func() bool { return f.pollsAt(address) > 2 })
			if sent := sendStart(r, f, ""); sent.Order.Address != address {
				t.Errorf("a start is sent to %s", sent.Order.Address)
			}
		})
	}
}
