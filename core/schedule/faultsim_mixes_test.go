package schedule

import (
	"slices"
	"strings"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// simMixShare is the inverse of the share of the seeds of other simulations that each sum of faults is played with.
const simMixShare = 15

// faultKind adds a kind of faults to a simulation.
type faultKind struct {
	name string
	add  func(*faultSim) *faultSim
}

// faultKinds returns the kinds of faults, in the order in which they are added.
func faultKinds() []faultKind {
	return []faultKind{
		{"evidence", newEvidenceFaultSim}, {"late", newLateFaultSim}, {"known", newKnownFaultSim}, {"move", newMoveFaultSim},
		{"silent", newSilentFaultSim},
	}
}

// faultMix is a sum of kinds of faults.
type faultMix struct {
	name string
	sim  func(t *testing.T, seed uint64) *faultSim
}

// faultMixes returns all sums of kinds of faults. Those with silent workers have known ones as well: without, tasks report no progress,
// and the long ones among them are moved again and again, see percentOf.
func faultMixes() []faultMix {
	kinds := faultKinds()
	var mixes []faultMix
	for n := range 1 << len(kinds) {
		var names []string
		for i, kind := range kinds {
			if n&(1<<i) != 0 {
				names = append(names, kind.name)
			}
		}
		if slices.Contains(names, "silent") && !slices.Contains(names, "known") {
			continue
		}
		mixes = append(mixes, faultMix{mixName(names), func(t *testing.T, seed uint64) *faultSim {
			f := newFaultSim(t, seed)
			for i, kind := range kinds {
				if n&(1<<i) != 0 {
					f = kind.add(f)
				}
			}
			return f
		}})
	}
	return mixes
}

// mixName returns the name of a sum of kinds of faults.
func mixName(kinds []string) string {
	if len(kinds) == 0 {
		return "none"
	}
	return strings.Join(kinds, ",")
}

// playMixes plays all sums of faults.
func playMixes(t *testing.T, play func(*faultSim)) {
	t.Helper()
	for _, mix := range faultMixes() {
		t.Run(mix.name, func(t *testing.T) {
			t.Parallel()
			for n := range (*simSeeds + simMixShare - 1) / simMixShare {
				play(mix.sim(t, *simFirstSeed+n))
			}
		})
	}
}

// Guards against jobs that wait beyond the platform's rule, do not end, run twice or are given up without cause under faults that no
// other test adds up.
func TestJobsUnderAllSumsOfFaults(t *testing.T) {
	playMixes(t, (*faultSim).playJobs)
}

// Guards against the same, and against services that stay down, while jobs and services share the workers.
func TestJobsAndServicesUnderAllSumsOfFaults(t *testing.T) {
	playMixes(t, func(f *faultSim) {
		f.addServices()
		for f.now < time.Hour+f.end() {
			f.step()
		}
		for _, job := range f.jobs {
			if state, _ := f.s.JobState(job.ID); job.ID != serviceJob && state != workload.StateCompleted && state != workload.StateFailed {
				f.fatalf("job %s is still %q", job.ID, state)
			}
		}
		f.checkWorkSpreads()
	})
}

// Guards against services that stay down between faults: the platform's rule holds at any time of the run, once nothing was disturbed for
// some seconds.
func TestServicesRunBetweenFaults(t *testing.T) {
	playMixes(t, (*faultSim).playServicesBetweenFaults)
}

// playServicesBetweenFaults plays faults with pauses between them beside services.
func (f *faultSim) playServicesBetweenFaults() {
	f.pauses = true
	f.addServices()
	for f.now < time.Hour+simFaultsEnd+simFaultsEbb {
		f.step()
	}
}
