package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// waitSeed is a simulation in which a task has waited beyond the rule.
type waitSeed struct {
	mix      string
	services bool
	seed     uint64
	pauses   bool
}

// uncertainCrashWaits are the simulations in which harmless tasks waited as crash_back_off.
var uncertainCrashWaits = []waitSeed{{"evidence", false, 112, false}, {"evidence,late", false, 1826, false}, {"evidence", true, 543, false}}

// formerOwnerWaits are simulations in which services waited as own_worker_awaited for longer than the rule allows, as each new owner waited
// anew, and stored what it knew late.
var formerOwnerWaits = []waitSeed{
	{"known", true, 5, false}, {"evidence,known,move", true, 3, false}, {"evidence,known,move,silent", true, 1, false},
	{"late,move", true, 53, false}, {"evidence,late,known", true, 90, false},
	{"evidence,late,move", true, 0, true}, {"evidence,move", true, 0, true},
	{"late,known", true, 7108457, false}, {"evidence,late,known", true, 7108457, false}, {"evidence,known", true, 7109143, true},
	{"evidence,known", true, 7108298, false}, {"evidence,known,move", true, 7108293, false}, {"evidence,known,move", true, 7108341, false},
	{"evidence,known,move,silent", true, 7108310, false}, {"evidence,known,move,silent", true, 7108356, true}, {"evidence,known,move,silent", true, 7108372, true},
	{"evidence,known,silent", true, 7108319, false}, {"evidence,known,silent", true, 7108356, true}, {"evidence,late,known,move", true, 7108274, false},
	{"evidence,late,known,move", true, 7108311, false}, {"evidence,late,known,move", true, 7108340, false}, {"evidence,late,known,move", true, 7108363, false},
	{"evidence,late,known,move,silent", true, 7108277, true}, {"evidence,late,known,move,silent", true, 7108340, false}, {"known", true, 7108319, true},
	{"known,move", true, 7108319, true}, {"known,move", true, 7108371, true}, {"known,move,silent", true, 7108277, true},
	{"known,move,silent", true, 7108290, false}, {"known,silent", true, 7108291, false}, {"known,silent", true, 7108346, true},
	{"late,known,move", true, 7108335, true}, {"late,known,silent", true, 7108309, false},
}

// playWaits plays simulations and fails the test if a task waits beyond the rule, for whatever reason.
func playWaits(t *testing.T, seeds []waitSeed) {
	t.Helper()
	for _, open := range seeds {
		t.Run(fmt.Sprintf("%s, services %t, pauses %t, seed %d", open.mix, open.services, open.pauses, open.seed), func(t *testing.T) {
			mixes := faultMixes()
			f := mixes[slices.IndexFunc(mixes, func(mix faultMix) bool { return mix.name == open.mix })].sim(t, open.seed)
			f.pauses = open.pauses
			if open.services {
				f.addServices()
			}
			for f.now < time.Hour+simEnd {
				f.step()
			}
		})
	}
}

// Guards against tasks that wait although they could run, because workers have crashed that ran them, were cut off then and crashed for
// other reasons.
func TestNoTaskWaitsBecauseOfUncertainCrashes(t *testing.T) {
	playWaits(t, uncertainCrashWaits)
}

// Guards against services that wait although they could run, because a new owner does not know whether leases on a worker that was lost
// before the takeover last.
func TestNoServiceWaitsForAWorkerLostBeforeTheTakeover(t *testing.T) {
	playWaits(t, formerOwnerWaits)
}
