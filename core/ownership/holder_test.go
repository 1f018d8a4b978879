package ownership

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/membership"
)

var (
	peerOld = membership.Process{Host: "b", Incarnation: "1"}
	peerNew = membership.Process{Host: "b", Incarnation: "2"}
)

func at(seconds float64) time.Time {
	return simStart.Add(time.Duration(seconds * float64(time.Second)))
}

func promise(from membership.Process, seconds float64) Promise {
	return Promise{From: from, SentAt: at(seconds), ReceivedAt: at(seconds + 0.1), TTL: 3 * time.Second}
}

// owner returns a Holder that claimed at revision 5 and renewed its lease at 0 s, so that the lease is valid until
// 3.3 s, and that requires promises of peerOld. Promises cover 0.1 to 5.97 s.
func owner() *Holder {
	h := NewHolder("a", DefaultLimits())
	h.Renewed(1, at(0), 4*time.Second)
	h.Acquired(simShard, 5, 1, at(0))
	h.SetRegistry(6, at(0), at(0), []RegisteredMember{{Process: peerOld}})
	h.RecordPromise(promise(peerOld, 0))
	h.RecordPromise(promise(peerOld, 3))
	return h
}

// Checks separately each rule that keeps or ends ownership without the store; the simulation reaches some of these
// cases only once in thousands of runs.
func TestValidityWithoutTheStore(t *testing.T) {
	cases := []struct {
		name   string
		change func(h *Holder)
		now    float64
		want   error
	}{
		{"promises cover the time", func(h *Holder) {}, 5, nil},
		{"the promise expires before the peer's clock can have advanced by 3 s", func(h *Holder) {}, 5.98, ErrExpired},
		{"a promise after a gap does not restore ownership", func(h *Holder) { h.RecordPromise(promise(peerOld, 7)) }, 8, ErrExpired},
		// Found by the simulation: the heartbeat was in transit while the member claimed, and was answered afterwards.
		{"a promise that may have been given after a gap does not restore ownership", func(h *Holder) {
			h.RecordPromise(Promise{From: peerOld, SentAt: at(5), ReceivedAt: at(6.5), TTL: 3 * time.Second})
		}, 7, ErrExpired},
		{"a member that left within its promise is not required", func(h *Holder) { h.MemberLeft(peerOld, at(5)) }, 20, nil},
		// Found by the simulation: the member claimed in the gap, released the shard and left.
		{"a member that left after a gap may have claimed", func(h *Holder) { h.MemberLeft(peerOld, at(7)) }, 8, ErrExpired},
		// Found by the simulation: the member claimed in the gap, promised again, released the shard and left.
		{"a gap remains when the member promises again and leaves", func(h *Holder) {
			h.RecordPromise(promise(peerOld, 7))
			h.MemberLeft(peerOld, at(8))
		}, 9, ErrExpired},
		{"a member that died within its promise is not required", func(h *Holder) { h.MemberDied(peerOld, at(5)) }, 20, nil},
		{"a member that died after a gap may have claimed", func(h *Holder) { h.MemberDied(peerOld, at(7)) }, 8, ErrExpired},
		{"a member that restarted after a gap may have claimed", func(h *Holder) { h.RecordPromise(promise(peerNew, 7)) }, 8, ErrExpired},
		{"a late promise of the previous incarnation is ignored", func(h *Holder) {
			h.RecordPromise(promise(peerNew, 4))
			h.RecordPromise(promise(peerOld, 6))
		}, 8, ErrExpired},
		{"a member removed from the registry is not required", func(h *Holder) { h.SetRegistry(7, at(5), at(5), nil) }, 20, nil},
		{"a registry read sent before the last promise does not remove the member", func(h *Holder) { h.SetRegistry(7, at(3), at(5), nil) }, 8, ErrExpired},
		{"a newly registered member is required", func(h *Holder) {
			h.SetRegistry(7, at(1), at(1), []RegisteredMember{{Process: peerOld}, {Process: membership.Process{Host: "c"}}})
		}, 5, ErrExpired},
		{"a registry read from before the claim does not count", func(h *Holder) { h.Acquired(simShard, 9, 1, at(1)) }, 5, ErrExpired},
		{"a registry read after the lease expired comes too late", func(h *Holder) {
			h.Acquired(simShard, 9, 1, at(1))
			h.SetRegistry(9, at(4), at(4), []RegisteredMember{{Process: peerOld}})
		}, 5, ErrExpired},
		{"the response to a claim arrives after the lease expired", func(h *Holder) { h.Acquired(simShard, 6, 1, at(4)) }, 5, ErrExpired},
		{"lease not found ends ownership despite valid promises", func(h *Holder) { h.LeaseLost(1) }, 1, ErrNotOwner},
		{"the loss of another lease has no effect", func(h *Holder) { h.LeaseLost(2) }, 5, nil},
		{"a late renewal response does not change the lease", func(h *Holder) {
			h.MemberDied(peerOld, at(5))
			h.Renewed(1, at(-5), 4*time.Second)
		}, 5, nil},
		{"a renewal after a gap restores ownership, since the record still exists", func(h *Holder) {
			h.Renewed(1, at(9), 4*time.Second)
		}, 10, nil},
		{"a lease shorter than requested is valid for the granted time", func(h *Holder) { h.Renewed(1, at(9), time.Second) }, 9.5, ErrExpired},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := owner()
			c.change(h)
			epoch, until, err := h.Valid(simShard, at(c.now))
			if !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			if err == nil && (epoch == 0 || !until.After(at(c.now))) {
				t.Fatalf("valid with epoch %d until %v", epoch, until)
			}
		})
	}
}

// Guards against a proof of death from a single refused connection, and against a time of death that is too early.
func TestProofOfDeathNeedsConsecutiveRefusals(t *testing.T) {
	var r Refusals
	results := []struct {
		second  float64
		refused bool
		want    bool
	}{{0, true, false}, {1, false, false}, {2, true, false}, {2.1, true, false}, {2.2, true, false}, {3, true, true}}
	for _, step := range results {
		if got := r.Record(step.refused, at(step.second)); got != step.want {
			t.Fatalf("at %v s: proved %v, want %v", step.second, got, step.want)
		}
	}
	if !r.First().Equal(at(2)) {
		t.Fatalf("dead since %v, want the time of the first consecutive refusal", r.First())
	}
}
