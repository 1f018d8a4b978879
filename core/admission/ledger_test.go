package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarcourse.example/core/structs"
)

var start = time.Unix(1_000_000, 0)

func runnerHost(i, slots int) structs.Host {
	return structs.Host{
		ID: structs.HostID(fmt.Sprintf("r%02d", i)), Role: structs.RoleRunner, State: structs.HostLive, Slots: slots,
		Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
	}
}

func runnerHosts(n, slots int) []structs.Host {
	hosts := make([]structs.Host, n)
	for i := range hosts {
		hosts[i] = runnerHost(i, slots)
	}
	return hosts
}

// Guards against a runner that gets more requests than it has slots, or new ones while it leaves. Runners are added,
// removed, resized and added again while slots are taken.
func TestLedgerNeverExceedsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger := NewLedger()
		listed := map[structs.HostID]structs.Host{}
		taken := map[structs.HostID]int{}
		var slots []*Slot
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				clear(listed)
				var hosts []structs.Host
				for i := range 4 {
					if rapid.Bool().Draw(t, "listed") {
						host := runnerHost(i, rapid.IntRange(0, 3).Draw(t, "slots"))
						if rapid.Bool().Draw(t, "leaving") {
							host.State = structs.HostLeaving
						}
						listed[host.ID] = host
						hosts = append(hosts, host)
					}
				}
				ledger.SetRunners(hosts)
			},
			"take": func(t *rapid.T) {
				id := runnerHost(rapid.IntRange(0, 3).Draw(t, "runner"), 0).ID
				slot, err := ledger.Take(start, id)
				host, known := listed[id]
				allowed := known && host.State == structs.HostLive && taken[id] < host.Slots
				if allowed != (err == nil) {
					t.Fatalf("take on %s with %d taken of %+v: %v", id, taken[id], host, err)
				}
				if err == nil {
					slots = append(slots, slot)
					taken[id]++
				}
			},
			"release": func(t *rapid.T) {
				if len(slots) == 0 {
					return
				}
				i := rapid.IntRange(0, len(slots)-1).Draw(t, "slot")
				if !ledger.Release(slots[i]) || ledger.Release(slots[i]) {
					t.Fatal("a slot must be released exactly once")
				}
				taken[slots[i].Runner]--
				slots = append(slots[:i], slots[i+1:]...)
			},
			"": func(t *rapid.T) {
				if got := ledger.Totals().Taken; got != len(slots) {
					t.Fatalf("ledger counts %d taken slots, want %d", got, len(slots))
				}
			},
		})
	})
}
