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

// result is the result of a command as the operator received it.
type result int

const (
	applied result = iota
	conflict
	unknown // it may take effect at any time after the call, or never
)

// register is the state of a compare-and-swap register: the version and digest of a document, or the state of a data
// centre with version 0.
type register struct {
	version int64
	value   string
}

// operation is an operator's command, or a read when write is false.
type operation struct {
	write    bool
	next     register // value that is written or was read
	expected int64    // version that the command replaces; unused for data centres
}

// documentModel is a register that a promotion changes only if it holds the expected version. Histories are checked as
// in Wing and Gong, "Testing and verifying concurrent objects" (1993). A command with an unknown result has no end
// time, so that it can be placed after all other operations, where it has no visible effect.
var documentModel = porcupine.Model{
	Step: func(state, input, output any) (bool, any) {
		current, op := state.(register), input.(operation)
		matches := current.version == op.expected
		switch {
		case !op.write:
			return current == op.next, current
		case output.(result) == conflict:
			return !matches, current
		case matches:
			return true, op.next
		}
		return output.(result) == unknown, current
	},
}

// datacentreModel is a register that a command sets to a state. A conflict means that another operator has set the
// other state.
var datacentreModel = porcupine.Model{
	Step: func(state, input, output any) (bool, any) {
		current, op := state.(register), input.(operation)
		switch {
		case !op.write:
			return current == op.next, current
		case output.(result) == conflict:
			return current != op.next, current
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

// add records an operation that was called at a time and has just returned.
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

// check fails the test if the history is not linearizable or no command was applied.
func (h *history) check(t *testing.T, name string, model porcupine.Model) {
	t.Helper()
	t.Logf("%s: %d operations; applied %d, conflicts %d, unknown %d",
		name, len(h.operations), h.results[applied], h.results[conflict], h.results[unknown])
	model.Init = func() any { return h.initial }
	if verdict := porcupine.CheckOperationsTimeout(model, h.operations, time.Minute); verdict != porcupine.Ok {
		t.Errorf("%s: the history is not linearizable: %s", name, verdict)
	}
	if h.results[applied] == 0 {
		t.Errorf("%s: no command was applied", name)
	}
}

// resultOf returns the result that an HTTP status stands for. It returns false for a command that was rejected without
// effect because the store is unavailable.
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

// race runs concurrent operators against one cluster.
type race struct {
	t         *testing.T
	c         *cluster.Cluster
	documents *history
	states    *history
}

// promoteAll repeatedly reads the stored version and promotes a document that replaces it, through one entry host.
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

// switchAll repeatedly sets the state of a data centre and reads the stored state, through one entry host.
func (r *race) switchAll(base string, random *rand.Rand) {
	const dc = "c" // it has no hosts, so its state affects nothing else
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

// injectFaults makes the store slow, lose responses and fail at random until stop is closed.
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

// Guards against lost updates, commands that are applied twice, and wrongly reported results when several operators
// promote documents and change the state of a data centre through different entry hosts while the store is slow, fails
// and loses responses.
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

// awaitStored waits until every entry host reports the stored document and the stored state of data centre c, and so
// has not kept another outcome of the race.
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
