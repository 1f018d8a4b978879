package schedule

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a service that runs in two places under owners that follow each other every few seconds in a full pool, where its start
// is ordered without a write because the stored record names its worker ahead.
func TestNoServiceRunsTwiceUnderManyOwners(t *testing.T) {
	for name, newSim := range map[string]func(*testing.T, uint64) *faultSim{
		"faults": newFaultSim,
		"late":   func(t *testing.T, seed uint64) *faultSim { return newLateFaultSim(newFaultSim(t, seed)) },
		"known":  func(t *testing.T, seed uint64) *faultSim { return newKnownFaultSim(newFaultSim(t, seed)) },
		"late and known": func(t *testing.T, seed uint64) *faultSim {
			return newKnownFaultSim(newLateFaultSim(newFaultSim(t, seed)))
		},
		"moves": func(t *testing.T, seed uint64) *faultSim { return newMoveFaultSim(newFaultSim(t, seed)) },
		"moves, late, known": func(t *testing.T, seed uint64) *faultSim {
			return newMoveFaultSim(newKnownFaultSim(newLateFaultSim(newFaultSim(t, seed))))
		},
		"silent, late, known": func(t *testing.T, seed uint64) *faultSim {
			return newSilentFaultSim(newKnownFaultSim(newLateFaultSim(newFaultSim(t, seed))))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playSeeds(func(seed uint64) {
				f := newSim(t, seed)
				f.addServices()
				rnd := rand.New(rand.NewPCG(seed, 42))
				for f.now < time.Hour+simFaultsEnd {
					f.step()
					if rnd.IntN(40) == 0 && !f.storeDown() {
						f.takeOver()
					}
				}
			})
		})
	}
}
