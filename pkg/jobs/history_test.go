package jobs

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
)

// jobInput is the input of one call; key identifies the job.
type jobInput struct {
	key    string
	cancel bool
	tasks  int // submit only; a different number is a different specification
}

// historyKeys has enough keys to keep the histories per key short, since checking a long one takes too much time.
var historyKeys = []string{"a", "b", "c", "d", "e", "f"}

// jobState is the state of one key in the model.
type jobState struct {
	tasks     int // 0 if there is no job
	cancelled bool
}

// step returns the possible states after a call that returned err, or none if the model does not allow err.
func step(s jobState, in jobInput, err error) []any {
	after := s
	if in.cancel && s.tasks > 0 {
		after.cancelled = true
	}
	if !in.cancel && s.tasks == 0 {
		after.tasks = in.tasks
	}
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		return []any{s, after}
	case errors.Is(err, ErrNotAccepted), errors.Is(err, ErrContended):
		return []any{s}
	case errors.Is(err, ErrNotFound) && in.cancel && s.tasks == 0:
		return []any{s}
	case errors.Is(err, ErrKeyReused) && !in.cancel && s.tasks > 0 && s.tasks != in.tasks:
		return []any{s}
	case err == nil && in.cancel && s.tasks > 0, err == nil && !in.cancel && after.tasks == in.tasks:
		return []any{after}
	}
	return nil
}

var jobModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{jobState{}} },
	Step: func(state, input, output any) []any {
		err, _ := output.(error)
		return step(state.(jobState), input.(jobInput), err)
	},
}

// Guards against results of submissions and cancellations that contradict each other: a job created twice under one
// key, an accepted job or cancellation that is lost, or ErrNotAccepted for one that took effect, while responses of
// the store are lost, writes are delayed and the owner keeps writing.
func TestSubmitAndCancelAreLinearizable(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		f := newFakes()
		batch := f.newOwnerBatch(nil)
		f.store.RandomFaults(seed, 0.4)
		var clock atomic.Int64
		var mu sync.Mutex
		history := map[string][]porcupine.Operation{} // by key
		var wg sync.WaitGroup
		for client := range 5 {
			wg.Go(func() {
				rnd := rand.New(rand.NewPCG(seed, uint64(client)))
				for range 8 {
					in := jobInput{key: historyKeys[rnd.IntN(len(historyKeys))], cancel: rnd.IntN(3) == 0, tasks: 1 + rnd.IntN(2)}
					op := porcupine.Operation{ClientId: client, Input: in, Call: clock.Add(1)}
					err := runCall(f, in)
					op.Output, op.Return = err, clock.Add(1)
					if errors.Is(err, ErrOutcomeUnknown) {
						op.Return = math.MaxInt64 // the call may take effect at any later time
					}
					mu.Lock()
					history[in.key] = append(history[in.key], op)
					mu.Unlock()
					changeAsOwner(f, batch)
				}
			})
		}
		wg.Wait()
		f.store.Heal()
		for _, key := range historyKeys { // the final stored state has to be consistent with the history
			for _, in := range []jobInput{{key: key, tasks: 1}, {key: key, cancel: true}} {
				op := porcupine.Operation{ClientId: 9, Input: in, Call: clock.Add(1)}
				op.Output = runCall(f, in)
				op.Return = clock.Add(1)
				history[in.key] = append(history[in.key], op)
			}
		}
		for key, calls := range history {
			if !porcupine.CheckOperations(jobModel.ToModel(), calls) {
				t.Errorf("seed %d: history of key %s is not linearizable", seed, key)
			}
		}
	}
}

func runCall(f *fakes, in jobInput) error {
	if in.cancel {
		_, err := f.service().Cancel(context.Background(), IDFor("gilders", in.key))
		return err
	}
	_, err := f.service().Submit(context.Background(), structs.JobSpec{Team: "gilders", Kind: "render", Tasks: in.tasks, Key: in.key})
	return err
}

// changeAsOwner reads the jobs and changes a task of each, as an owner does.
func changeAsOwner(f *fakes, batch *Batch) {
	loaded, err := f.service().LoadHome(context.Background(), testShard)
	if err != nil {
		return
	}
	for _, stored := range loaded.Jobs {
		batch.Observe(stored)
		stored.Record.Tasks[0].Attempt++
		batch.Put(stored.Record)
	}
	_ = batch.Flush(context.Background()) // injected store errors are expected; the changes are kept
}
