package learn

import (
	"math"
	"time"

	"fulmarcourse.example/core/structs"
)

// SlowdownState is the evidence of Slowdowns in a form that can be stored and sent to another process.
type SlowdownState struct {
	Kinds   []structs.KindName `json:"kinds"`
	Victims []VictimState      `json:"victims"` // only kinds with evidence
}

// VictimState is the evidence about one victim kind: the two sides of its normal equations (see row). Its indexes refer
// to SlowdownState.Kinds.
type VictimState struct {
	Kind     int         `json:"kind"`
	Effect   []float64   `json:"effect"`
	Evidence [][]float64 `json:"evidence"`
}

// State returns a copy of the evidence.
func (s *Slowdowns) State() SlowdownState {
	state := SlowdownState{Kinds: make([]structs.KindName, len(s.index))}
	for name, i := range s.index {
		state.Kinds[i] = name
	}
	for i, r := range s.rows {
		if !r.hasEvidence() {
			continue
		}
		victim := VictimState{Kind: i, Effect: rounded(r.effect)}
		for _, row := range r.evidence {
			victim.Evidence = append(victim.Evidence, rounded(row))
		}
		state.Victims = append(state.Victims, victim)
	}
	return state
}

// Restore loads a stored state. It returns false, and changes nothing, if the estimator already has kinds or the
// state is inconsistent.
func (s *Slowdowns) Restore(state SlowdownState, now time.Time) bool {
	if len(s.index) > 0 || !state.consistent() {
		return false
	}
	for _, name := range state.Kinds {
		s.kindIndex(name)
	}
	for _, victim := range state.Victims {
		r := s.rows[victim.Kind]
		copy(r.effect, victim.Effect)
		for i, row := range victim.Evidence {
			copy(r.evidence[i], row)
		}
		r.decayed, r.stale = now, true
	}
	return true
}

// consistent reports whether all indexes and lengths match the number of kinds.
func (s SlowdownState) consistent() bool {
	size := len(s.Kinds)
	if size > MaxKinds {
		return false
	}
	for _, victim := range s.Victims {
		if victim.Kind < 0 || victim.Kind >= size || len(victim.Effect) != size || len(victim.Evidence) != size {
			return false
		}
		for _, row := range victim.Evidence {
			if len(row) != size {
				return false
			}
		}
	}
	return true
}

func (r *row) hasEvidence() bool {
	for i := range r.evidence {
		if r.evidence[i][i] > 0 {
			return true
		}
	}
	return false
}

// storedDigits is the number of significant digits of stored evidence; further digits are below the measurement noise.
const storedDigits = 4

// rounded returns a copy of values with storedDigits significant digits.
func rounded(values []float64) []float64 {
	out := make([]float64, len(values))
	for i, v := range values {
		if v == 0 {
			continue
		}
		scale := math.Pow(10, storedDigits-math.Ceil(math.Log10(math.Abs(v))))
		out[i] = math.Round(v*scale) / scale
	}
	return out
}
