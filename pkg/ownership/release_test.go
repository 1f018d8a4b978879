package ownership

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/structs"
)

// Guards against a release that interrupts work in progress or leaves the shard without an owner for long.
func TestReleaseFinishesWorkBeforeItDeletesTheRecord(t *testing.T) {
	c := newCluster(t)
	a, b := c.pair()
	a.onLost = func() {
		if _, found := c.store.Entry(testKeys.shard(shard0)); !found || !a.owns() {
			t.Error("ownership ended before OnLost returned")
		}
	}
	if err := a.Release(context.Background()); err != nil {
		t.Fatal(err)
	}
	if a.owns() || len(a.Owned()) != 0 || a.processState.MayClaim() {
		t.Fatal("still an owner or registered after Release")
	}
	for _, key := range []string{testKeys.shard(shard0), testKeys.lastOwner(shard0), testKeys.member(a.self.Host)} {
		if _, found := c.store.Entry(key); found {
			t.Errorf("%s remains in the store", key)
		}
	}
	c.run(ReconcileInterval)
	if !b.owns() {
		t.Fatal("the other member did not claim at its next step")
	}
	a.requireEvents("acquired d1/0", "lost d1/0")
}

// Guards against a shutdown that waits for work in progress without a limit, and against a successor that claims the
// shard while that work runs.
func TestReleaseIsBoundedByItsContext(t *testing.T) {
	c := newCluster(t)
	a, b := c.pair()
	finish := make(chan struct{})
	a.onLost = func() { <-finish }
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := a.Release(ctx); !errors.Is(err, errUnfinished) {
		t.Fatalf("got %v", err)
	}
	if a.owns() {
		t.Fatal("valid after an unfinished release")
	}
	b.Reconcile(context.Background())
	if b.owns() {
		t.Fatal("claimed while the former owner's work was in progress")
	}
	close(finish)
	a.tasks.Wait()
	c.stop(a)
	c.run(15 * time.Second)
	if !b.owns() {
		t.Fatal("not claimed after the lease expired")
	}
}

// Guards against a lost response to the release that prevents the next owner from claiming the shard.
func TestReleaseWithLostAnswer(t *testing.T) {
	c := newCluster(t)
	a, b := c.pair()
	a.link.ScriptFaults(lostResponse)
	if err := a.Release(context.Background()); err == nil {
		t.Fatal("a release with an unknown result was reported as successful")
	}
	c.stop(a)
	c.run(ReconcileInterval)
	if !b.owns() {
		t.Fatal("the released shard was not claimed")
	}
}

// Guards against shards that move back and forth, and against shards that never move to the preferred member.
func TestRebalanceWaits(t *testing.T) {
	c := newCluster(t)
	preferred := membership.Preferred(shard0, []structs.HostID{"a", "b"})
	other := structs.HostID("a")
	if preferred == "a" {
		other = "b"
	}
	owner := c.start(other)
	c.run(MinimumHold)
	if !owner.owns() {
		t.Fatal("the only host does not own the shard")
	}
	newOwner := c.start(preferred)
	c.run(RebalanceAfter - time.Second)
	if !owner.owns() {
		t.Fatal("handed over before the preference was stable")
	}
	c.run(6 * time.Second)
	if !newOwner.owns() {
		t.Fatal("not handed over to the preferred member")
	}
	owner.requireEvents("acquired d1/0", "lost d1/0")
	c.run(2 * MinimumHold)
	if !newOwner.owns() {
		t.Fatal("the shard moved back")
	}
}
