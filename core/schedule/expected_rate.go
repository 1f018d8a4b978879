package schedule

import "slices"

// maxRateTasks is the maximum number of tasks of a step whose rates are compared. In a wider step they are spread evenly over it: each report
// of each worker asks for the median, and the relays give up an owner that is busy with it for too long.
const maxRateTasks = 256

// expectedRates holds the rates that tasks on a worker are expected to have, by step. It is valid until the rates of tasks on other workers
// change.
type expectedRates struct {
	worker *worker
	byStep map[*step]expectedRate
}

// expectedRate is a rate in percent of a task per second at full speed, and the weight of a comparison with it; 0 if nothing is known.
type expectedRate struct{ rate, weight float64 }

// of returns the expected rate of the tasks of a step.
func (r *expectedRates) of(st *step) (rate, weight float64) {
	if known, found := r.byStep[st]; found {
		return known.rate, known.weight
	}
	rate, weight = st.expectedRate(r.worker)
	if r.byStep == nil {
		r.byStep = map[*step]expectedRate{}
	}
	r.byStep[st] = expectedRate{rate, weight}
	return rate, weight
}

// expectedRate returns the median rate of the tasks of a step on other workers than w and of those that are done, or else the rate that
// follows from the caller's estimate, and the weight of a comparison with it.
func (st *step) expectedRate(w *worker) (rate, weight float64) {
	var buffer [64]float64 // on the stack, enough for most steps
	rates := buffer[:0]
	compared := min(len(st.tasks), maxRateTasks)
	for n := range compared {
		t := st.tasks[n*len(st.tasks)/compared]
		for _, other := range t.attempts {
			if other.worker != w && other.rateKnown {
				rates = append(rates, other.rate)
			}
		}
		if t.done && t.rate > 0 {
			rates = append(rates, t.rate)
		}
	}
	if len(rates) >= 2 {
		slices.Sort(rates)
		return rates[len(rates)/2], 1
	}
	if st.spec.EstimateMs > 0 {
		return fullShare * 1000 / float64(st.spec.EstimateMs), estimateWeight
	}
	return 0, 0
}
