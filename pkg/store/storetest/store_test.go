package storetest

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Guards against faults with another error or another time of effect than documented, which would invalidate the tests
// of all packages that use this store.
func TestFaultsOfWrites(t *testing.T) {
	cases := map[string]struct {
		fault               Fault
		err                 error
		now, later, deliver bool // the write is in effect after the call, after the next one, and after Deliver
	}{
		"none":          {NoFault, nil, true, true, true},
		"unavailable":   {Unavailable, store.ErrUnavailable, false, false, false},
		"lost request":  {LostRequest, store.ErrUncertain, false, false, false},
		"lost response": {LostResponse, store.ErrUncertain, true, true, true},
		"delayed":       {Delayed, store.ErrUncertain, false, true, true},
		"held":          {Held, store.ErrUncertain, false, false, true},
		"cut":           {Cut, store.ErrUncertain, true, true, true},
	}
	for name, c := range cases {
		s := NewStore(Config{})
		s.ScriptFaults(c.fault)
		check := func(step string, want bool) {
			t.Helper()
			if _, found := s.Entry("key"); found != want {
				t.Errorf("%s: in effect %v after %s, want %v", name, found, step, want)
			}
		}
		write := store.Txn{Puts: []store.Put{{Key: "key"}}}
		if _, err := s.Txn(t.Context(), write); !errors.Is(err, c.err) {
			t.Errorf("%s: error %v, want %v", name, err, c.err)
		}
		check("the call", c.now)
		_, err := s.Txn(t.Context(), store.Txn{Puts: []store.Put{{Key: "other"}}})
		if down := errors.Is(err, store.ErrUnavailable); down != (c.fault == Cut) {
			t.Errorf("%s: error %v of the next call", name, err)
		}
		check("the next call", c.later)
		s.Deliver()
		check("Deliver", c.deliver)
	}
}

// Guards against keys that exist after their lease expired, and against conditions that hold for a different revision.
func TestLeasesAndConditions(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewStore(Config{Clock: func() time.Time { return now }})
	id, err := s.GrantLease(t.Context(), time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	create := store.Txn{
		Compares: []store.Compare{{Key: "key", Target: store.CompareCreateRevision}},
		Puts:     []store.Put{{Key: "key", Lease: id}}, ReadOnFail: []string{"key", "absent"},
	}
	for _, step := range []struct {
		after   time.Duration
		applied bool
		read    int // entries of ReadOnFail
		err     error
	}{{0, true, 0, nil}, {time.Minute - 1, false, 1, nil}, {1, false, 0, store.ErrLeaseNotFound}} {
		now = now.Add(step.after)
		result, err := s.Connect().Txn(t.Context(), create)
		if !errors.Is(err, step.err) || result.Applied != step.applied || len(result.Read) != step.read {
			t.Errorf("after %v: %+v, %v", step.after, result, err)
		}
	}
	if _, err := s.KeepAlive(t.Context(), id); !errors.Is(err, store.ErrLeaseNotFound) {
		t.Errorf("expired lease renewed: %v", err)
	}
}
