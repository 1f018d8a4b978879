package schedule

import "slices"

// listedEnd is an end as a report numbers it.
type listedEnd struct {
	number int64
	key    attemptKey
}

func (e Ended) listed() listedEnd { return listedEnd{e.Number, attemptKey{e.Task, e.Attempt}} }

// recordListedEnds records the ends that the last report of a worker lists.
func (w *worker) recordListedEnds(ended []Ended) {
	if len(ended) == 0 {
		w.listedEnds = nil
		return
	}
	w.listedEnds = make(map[listedEnd]bool, len(ended))
	for _, end := range ended {
		w.listedEnds[end.listed()] = true
	}
}

// endsRenumbered reports whether the ends in a report are numbered by another process than that of the last report although both
// state the same start, as after the clock of the machine was set back. A process lists each end in all reports until it is
// acknowledged, and never again afterwards. So the last report lists an end that is not newer than the latest one, under the same
// number, unless it left out ends.
func (w *worker) endsRenumbered(ended []Ended) bool {
	if !w.listedAllEnds {
		return false
	}
	return slices.ContainsFunc(ended, func(end Ended) bool { return end.Number <= w.lastEnd && !w.listedEnds[end.listed()] })
}

// renumberEnds makes the numbers of ends count anew with the next report. The next host that polls the worker does not know its process:
// it takes one with the start of the former one for that, and would acknowledge ends that nobody has read with a number of the former
// one. A process lists ends that are not acknowledged again, which are not applied twice.
func (w *worker) renumberEnds() { w.lastEnd, w.appliedEnds = 0, w.listedEnds }
