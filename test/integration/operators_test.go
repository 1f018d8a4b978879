package integration

import (
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
)

// result is what an operator was told.
type result int

const (
	applied result = iota
	conflict
	unknown // it may take effect at any time after the call, or never
)

// register is the state of a compare-and-swap register: the version and digest of a cluster.SmallDocument, or the state of a data
// centre with version 0.
type register struct {
	version int64
	value   string
}

// operation is an operator's command, or a read when write is false.
type operation struct {
	write    bool
	next     register // written, or found by a read
	expected int64    // version that the command replaces; not used for data centres
}

// documentModel is a register of versions that a promotion changes only from the expected version. Histories are
// checked as in Wing and Gong, "Testing and verifying concurrent objects" (1993); a command with an unknown result has no end,
// so that it may be placed after everything else, where it has no visible effect.
var documentModel = porcupine.Model{
	Step: func(state, input, output any) (bool, any) {
		now, op := state.(register), input.(operation)
		matches := now.version == op.expected
		switch {
		case !op.write:
			return now == op.next, now
		case output.(result) == conflict:
			return !matches, now
		case matches:
			return true, op.next
		}
		return output.(result) == unknown, now
	},
}

// datacentreModel is a register that a command sets to a state. A conflict means that another operator has set the
// other state.
var datacentreModel = porcupine.Model{
	Step: func(state, input, output any) (bool, any) {
		now, op := state.(register), input.(operation)
		switch {
		case !op.write:
			return now == op.next, now
		case output.(result) == conflict:
			return now != op.next, now
		}
		return true, op.next
	},
}

// history collects the operations of all operators on one register.
type history struct {
	mu         sync.Mutex
	start      time.Time
	initial    register
	clients    int
	operations []porcupine.Operation
	results    map[result]int
}

func newHistory(initial register) *history {
	return &history{start: time.Now(), initial: initial, results: map[result]int{}}
}

// add records an operation that began at called and has just ended.
func (h *history) add(called time.Time, op operation, out result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := time.Since(h.start).Nanoseconds()
	if out == unknown {
		end = math.MaxInt64
	}
	h.clients++
	if op.write {
		h.results[out]++
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: h.clients, Input: op, Call: called.Sub(h.start).Nanoseconds(), Output: out, Return: end,
	})
}

// check fails the test if the history is not linearizable, or if no command was successful.
func (h *history) check(t *testing.T, name string, model porcupine.Model) {
	t.Helper()
	t.Logf("%s: %d operations; applied %d, conflicts %d, unknown %d",
		name, len(h.operations), h.results[applied], h.results[conflict], h.results[unknown])
	model.Init = func() any { return h.initial }
	if verdict := porcupine.CheckOperationsTimeout(model, h.operations, time.Minute); verdict != porcupine.Ok {
		t.Errorf("%s: the history is not linearizable: %s", name, verdict)
	}
	if h.results[applied] == 0 {
		t.Errorf("%s: no command was successful", name)
	}
}

// resultOf tells what a status says; false for a command that certainly had no effect because of the store.
func resultOf(t *testing.T, status int) (result, bool) {
	switch status {
	case http.StatusOK:
		return applied, true
	case http.StatusConflict:
		return conflict, true
	case http.StatusGatewayTimeout, 0:
		return unknown, true
	case http.StatusServiceUnavailable:
		return 0, false
	}
	t.Errorf("unexpected status %d", status)
	return 0, false
}

const (
	raceRounds    = 30
	faultInterval = 150 * time.Millisecond
)

// race runs operators against one cluster.
type race struct {
	t         *testing.T
	c         *cluster.Cluster
	documents *history
	states    *history
}

// promoteAll reads the version and promotes a document over it, again and again, through one entry host.
func (r *race) promoteAll(base string, digests []string) {
	for round := range raceRounds {
		called := time.Now()
		record, ok := cluster.StoredDocument(base)
		if !ok {
			continue
		}
		r.documents.add(called, operation{next: register{record.Version, string(record.Digest)}}, applied)
		digest := digests[round%len(digests)]
		op := operation{write: true, expected: record.Version, next: register{record.Version + 1, digest}}
		called = time.Now()
		if out, known := resultOf(r.t, cluster.PromoteStatus(base, digest, record.Version)); known {
			r.documents.add(called, op, out)
		}
	}
}

// switchAll sets the state of a data centre and reads what is stored, again and again, through one entry host.
func (r *race) switchAll(base string, random *rand.Rand) {
	const dc = "c" // no host is there, so its state changes nothing else
	for range raceRounds {
		state := structs.DatacentreIn
		if random.IntN(2) == 0 {
			state = structs.DatacentreOut
		}
		called := time.Now()
		if out, known := resultOf(r.t, r.c.SetDatacentre(base, dc, state)); known {
			r.states.add(called, operation{write: true, next: register{value: string(state)}}, out)
		}
		called = time.Now()
		if record, ok := r.c.DatacentreRecord(dc); ok {
			r.states.add(called, operation{next: register{value: string(record.State)}}, applied)
		}
	}
}

// injectFaults makes the store slow, lose responses and fail until stop is closed.
func (r *race) injectFaults(stop <-chan struct{}, random *rand.Rand) {
	ticker := time.NewTicker(faultInterval)
	defer ticker.Stop()
	s := r.c.Platform.Store
	defer s.SetDown(false)
	defer s.SetDelay(0)
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		s.SetDown(false)
		s.SetDelay(time.Duration(random.IntN(40)) * time.Millisecond)
		switch random.IntN(5) {
		case 0:
			s.SetTxnFault(standin.TxnFault{Prefix: documentKey, Count: 1 + random.IntN(3)})
		case 1:
			s.SetTxnFault(standin.TxnFault{Prefix: "/fulmarcourse/production/control/datacentres/", Count: 1 + random.IntN(3)})
		case 2:
			s.SetTxnFault(standin.TxnFault{Prefix: "/fulmarcourse/production/control/", Count: 1, Down: true})
		case 3:
			s.SetDown(true)
		}
	}
}

// Guards against lost updates, commands that are applied twice, and wrong answers when several operators promote
// documents and change the state of a data centre through different entry hosts while the store is slow, fails and
// loses responses.
func TestRacingOperators(t *testing.T) {
	const seed = 1
	c := start(t, twoDatacentres())
	first, ok := cluster.StoredDocument(base(c, "a-entry-0"))
	if !ok {
		t.Fatal("the history cannot be read")
	}
	r := &race{
		t: t, c: c,
		documents: newHistory(register{first.Version, string(first.Digest)}),
		states:    newHistory(register{value: string(structs.DatacentreIn)}),
	}
	var operators, faults sync.WaitGroup
	stop := make(chan struct{})
	digests := map[structs.HostID][]string{}
	number := 0
	for _, id := range c.Entries() {
		for range 3 {
			number++
			digest, ok := c.Try(base(c, id), revised(number))
			if !ok {
				t.Fatalf("the try through %s failed", id)
			}
			digests[id] = append(digests[id], digest)
		}
	}
	for i, id := range c.Entries() {
		operators.Go(func() { r.promoteAll(base(c, id), digests[id]) })
		operators.Go(func() { r.switchAll(base(c, id), rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	faults.Go(func() { r.injectFaults(stop, rand.New(rand.NewPCG(seed, 100))) })
	operators.Wait()
	close(stop)
	faults.Wait()
	r.documents.check(t, "documents", documentModel)
	r.states.check(t, "data centre states", datacentreModel)
	awaitStored(t, c)
}

// awaitStored waits until every entry host has what the store has, so that no host kept another outcome of the race.
func awaitStored(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	stored, ok := cluster.StoredDocument(base(c, "a-entry-0"))
	if !ok {
		t.Fatal("the history cannot be read")
	}
	for _, id := range c.Entries() {
		c.Await("the stored version at "+string(id), func() bool {
			record, ok := cluster.CurrentDocument(base(c, id))
			return ok && record.Version == stored.Version && record.Digest == stored.Digest
		})
		c.Await("the stored state of c at "+string(id), func() bool {
			record, ok := c.DatacentreRecord("c")
			return ok && record.State == cluster.DatacentreState(base(c, id), "c")
		})
	}
}
