package ownership

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/ownership"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Guards against claims whose records do not have the epoch as their revision.
func TestClaimWritesRecordsAtTheEpoch(t *testing.T) {
	c := newCluster(t)
	a, b := c.pair()
	if want := membership.Preferred(shard0, []structs.HostID{"a", "b"}); a.self.Host != want {
		t.Fatalf("%s owns the shard, %s is preferred", a.self.Host, want)
	}
	epoch, until, err := a.ValidUntil(shard0)
	record, _ := c.store.Entry(testKeys.shard(shard0))
	last, _ := c.store.Entry(testKeys.lastOwner(shard0))
	if err != nil || record.CreateRevision != int64(epoch) || last.ModRevision != int64(epoch) || record.Lease == 0 || last.Lease != 0 {
		t.Fatalf("epoch %d, err %v, record %+v, last owner %+v", epoch, err, record, last)
	}
	if want := c.clock().Add(3300 * time.Millisecond); !until.Equal(want) {
		t.Fatalf("valid until %v, want %v", until, want)
	}
	if _, err := b.Valid(shard0); !errors.Is(err, ownership.ErrNotOwner) {
		t.Fatalf("other host: %v", err)
	}
	a.requireEvents("acquired d1/0")
	b.requireEvents()
}

// Guards against a paused owner that uses its expired ownership after it resumes, and against a successor that loses
// the shard to it.
func TestPausedOwnerExpires(t *testing.T) {
	c := newCluster(t)
	a, b := c.pair()
	old, _ := a.Valid(shard0)
	a.paused = true
	c.run(10 * time.Second)
	if epoch, err := b.Valid(shard0); err != nil || epoch <= old {
		t.Fatalf("successor has epoch %d after %d, err %v", epoch, old, err)
	}
	if _, err := a.Valid(shard0); !errors.Is(err, ownership.ErrExpired) {
		t.Fatalf("paused owner: %v", err)
	}
	a.paused = false
	c.run(3 * time.Second)
	a.requireEvents("acquired d1/0", "lost d1/0")
	if !b.owns() {
		t.Fatal("the successor lost the shard when the former owner resumed")
	}
}

// Guards against the loss of ownership in a store outage, against ownership without promises, and against an owner
// that waits for seconds after the outage because the other member is preferred.
func TestStoreOutage(t *testing.T) {
	for _, silent := range []bool{false, true} {
		c := newCluster(t)
		preferred := membership.Preferred(shard0, []structs.HostID{"a", "b"})
		owner := c.start(map[structs.HostID]structs.HostID{"a": "b", "b": "a"}[preferred])
		c.run(5 * time.Second)
		other := c.start(preferred)
		c.run(5 * time.Second)
		owner.link.SetDown(true)
		other.link.SetDown(true)
		other.silent = silent
		c.run(30 * time.Second)
		if owner.owns() == silent {
			t.Fatalf("other member silent %v: owner is valid %v", silent, owner.owns())
		}
		owner.link.SetDown(false)
		other.link.SetDown(false)
		other.silent = false
		c.run(2 * time.Second)
		if !owner.owns() {
			t.Fatalf("other member silent %v: the owner did not claim its shard again within 2 s", silent)
		}
	}
}

// Guards against an owner that keeps its ownership through promises after the store reported that its lease does not
// exist.
func TestLeaseNotFoundEndsOwnershipAtOnce(t *testing.T) {
	c := newCluster(t)
	a, _ := c.pair()
	old, _ := a.Valid(shard0)
	lease, _ := a.processState.lease()
	if err := a.link.RevokeLease(context.Background(), store.LeaseID(lease)); err != nil {
		t.Fatal(err)
	}
	a.Renew(context.Background())
	a.tasks.Wait()
	if _, err := a.Valid(shard0); !errors.Is(err, ownership.ErrNotOwner) {
		t.Fatalf("after lease not found: %v", err)
	}
	a.requireEvents("acquired d1/0", "lost d1/0")
	c.run(2 * time.Second)
	if epoch, err := a.Valid(shard0); err != nil || epoch <= old {
		t.Fatalf("claimed again with epoch %d after %d, err %v", epoch, old, err)
	}
}

// Guards against claims that are lost, made twice or assumed to be successful when the response to their write is lost.
func TestUncertainClaimIsResolvedByItsNonce(t *testing.T) {
	for name, faults := range map[string][]fault{
		"response lost":               {lostResponse},
		"request lost":                {lostRequest},
		"request, then response lost": {lostRequest, lostResponse},
		"not sent":                    {unavailable},
		"lost, then not sent":         {lostRequest, unavailable},
		"response lost twice":         {lostResponse, lostResponse},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			a := c.start("a")
			c.run(time.Second)
			a.link.ScriptFaults(faults...)
			a.Reconcile(context.Background())
			c.run(5 * time.Second)
			epoch, err := a.Valid(shard0)
			if record, _ := c.store.Entry(testKeys.shard(shard0)); err != nil || record.CreateRevision != int64(epoch) {
				t.Fatalf("epoch %d, err %v, record %+v", epoch, err, record)
			}
			a.requireEvents("acquired d1/0")
		})
	}
}

// Guards against a restarted host that waits for its own previous process, or reuses its epoch.
func TestRestartWithANewIncarnation(t *testing.T) {
	c := newCluster(t)
	a := c.start("a")
	c.run(5 * time.Second)
	old, _ := a.Valid(shard0)
	c.stop(a)
	restarted := c.start("a")
	c.run(7 * time.Second)
	if epoch, err := restarted.Valid(shard0); err != nil || epoch <= old {
		t.Fatalf("epoch %d after %d, err %v", epoch, old, err)
	}
	if restarted.processState.registration() == 0 {
		t.Fatal("the new process is not registered")
	}
	// The previous process, if it was only paused, must not overwrite the registration of the new one.
	a.dropMemberLease(a.registration.lease)
	a.Register(context.Background())
	if a.processState.MayClaim() {
		t.Fatal("an older incarnation overwrote the registration")
	}
}

// Guards against a new host that claims the shard of a partitioned sole host, and against one that does not claim it
// after the former owner is proved dead.
func TestNewHostNeedsProofThatTheSoleOwnerIsDead(t *testing.T) {
	c := newCluster(t)
	a := c.start("a")
	c.run(5 * time.Second)
	a.link.SetDown(true)
	a.silent = true
	b := c.start("b")
	c.run(time.Hour)
	if !a.owns() || b.owns() {
		t.Fatalf("after an hour: old host owns %v, new host owns %v", a.owns(), b.owns())
	}
	if got := b.FormerAddresses(); !slices.Equal(got, []string{"addr-a"}) {
		t.Fatalf("addresses of former owners %v", got)
	}
	c.stop(a)
	b.refuses = true
	c.run(2 * time.Second)
	if !b.owns() {
		t.Fatal("not claimed within 2 s of refused connections")
	}
}

// Guards against claims on the basis of a registration that has expired.
func TestLapsedRegistrationIsRenewed(t *testing.T) {
	c := newCluster(t)
	a := c.start("a")
	c.run(5 * time.Second)
	old := a.processState.registration()
	a.link.SetDown(true)
	c.run(MemberLeaseTTL + time.Second)
	a.link.SetDown(false)
	a.Register(context.Background())
	if a.processState.MayClaim() {
		t.Fatal("may claim without a registration")
	}
	c.run(2 * time.Second)
	if now := a.processState.registration(); now <= old {
		t.Fatalf("registration %d after %d", now, old)
	}
}
