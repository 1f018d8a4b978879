package mirror

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// prefixCopy holds the state that a mirror has passed to its callbacks.
type prefixCopy struct {
	mu     sync.Mutex // guards the fields below
	values map[string]string
	resets int
}

func (c *prefixCopy) reset(items []kv.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets++
	c.values = map[string]string{}
	for _, item := range items {
		c.values[item.Key] = string(item.Value)
	}
}

func (c *prefixCopy) apply(changes []kv.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes {
		if change.Deleted {
			delete(c.values, change.Item.Key)
		} else {
			c.values[change.Item.Key] = string(change.Item.Value)
		}
	}
}

func (c *prefixCopy) equals(want map[string]string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Equal(c.values, want)
}

func (c *prefixCopy) resetCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resets
}

// follow runs a mirror of the prefix "p/" until the test ends. It returns the mirror and its copy of the keys.
func follow(t *testing.T, store kv.Store) (*Mirror, *prefixCopy) {
	t.Helper()
	c := &prefixCopy{}
	m := New(Config{
		Store: store, Prefix: "p/", Wait: 10 * time.Second, Retry: time.Millisecond, Log: eventlog.Discard(),
		Reset: c.reset, Apply: c.apply,
	})
	poll.Background(t, m.Run)
	return m, c
}

func put(t *testing.T, store *kvtest.Store, key, value string) {
	t.Helper()
	if _, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{{Key: key, Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a read of the prefix that omits keys of later pages or includes keys of other prefixes, and against
// later changes and deletions that are not applied or cause a second read.
func TestMirrorFollowsAPrefix(t *testing.T) {
	store := kvtest.NewStore()
	want := map[string]string{}
	for n := range 10 {
		key := fmt.Sprint("p/", n)
		put(t, store, key, "1")
		want[key] = "1"
	}
	put(t, store, "q/other", "1")
	_, c := follow(t, store)
	poll.Until(t, "all pages are read", func() bool { return c.equals(want) })
	put(t, store, "p/3", "2")
	want["p/3"] = "2"
	if _, err := store.Commit(t.Context(), kv.Txn{Delete: []string{"p/4"}}); err != nil {
		t.Fatal(err)
	}
	delete(want, "p/4")
	poll.Until(t, "the changes are applied", func() bool { return c.equals(want) })
	if n := c.resetCount(); n != 1 {
		t.Errorf("the prefix was read %d times, want 1", n)
	}
}

// Guards against a copy that stays outdated after the store has compacted its history.
func TestMirrorReadsAgainAfterCompaction(t *testing.T) {
	store := kvtest.NewStore()
	put(t, store, "p/a", "1")
	_, c := follow(t, store)
	poll.Until(t, "the key is read", func() bool { return c.equals(map[string]string{"p/a": "1"}) })
	store.SetFault(func(string) kvtest.Fault { return kvtest.Refuse })
	store.Compact() // ends the pending watch
	store.SetFault(func(string) kvtest.Fault { return kvtest.None })
	put(t, store, "p/b", "2")
	store.Compact()
	poll.Until(t, "both keys are copied", func() bool { return c.equals(map[string]string{"p/a": "1", "p/b": "2"}) })
}

// Guards against recording a contact while the store refuses calls, and against not detecting its recovery.
func TestLastContactIsTheLastAnswerOfTheStore(t *testing.T) {
	store := kvtest.NewStore()
	m, c := follow(t, store)
	poll.Until(t, "the store has answered", func() bool { return c.resetCount() == 1 })
	var refused atomic.Int64
	store.SetFault(func(string) kvtest.Fault {
		refused.Add(1)
		return kvtest.Refuse
	})
	before := m.LastContact()
	store.Compact()
	poll.Until(t, "several calls were refused", func() bool { return refused.Load() >= 5 })
	if after := m.LastContact(); after != before {
		t.Errorf("last contact changed from %v to %v while the store refused calls", before, after)
	}
	store.SetFault(func(string) kvtest.Fault { return kvtest.None })
	poll.Until(t, "the store is reached again", func() bool { return m.LastContact().After(before) })
}

// Guards against a copy that counts as outdated although the store has answered that nothing has changed.
func TestAnswersWithoutChangesAreReported(t *testing.T) {
	store := kvtest.NewStore()
	var unchanged atomic.Int64
	m := New(Config{Store: store, Prefix: "p/", Wait: time.Millisecond, Retry: time.Millisecond, Log: eventlog.Discard(),
		Reset: func([]kv.Item) {}, Apply: func([]kv.Change) {}, Unchanged: func() { unchanged.Add(1) }})
	go m.Run(t.Context())
	poll.Until(t, "several answers without changes are reported", func() bool { return unchanged.Load() >= 3 })
}

// endingStore is a store whose reads arrive after their context has ended.
type endingStore struct {
	kv.Store
	end context.CancelFunc
}

func (s *endingStore) Range(ctx context.Context, prefix, after string) (kv.Page, error) {
	page, err := s.Store.Range(ctx, prefix, after)
	s.end()
	return page, err
}

// Scenario: an owner is replaced and acquires the partition again while its first list of hosts is being read. Guards against
// the list of the ended mirror, which replaces the one of its successor: hosts that have left would be in use again until they
// change.
func TestEndedMirrorAppliesNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	resets := 0
	New(Config{
		Store: &endingStore{kvtest.NewStore(), cancel}, Prefix: "p/", Wait: time.Second, Retry: time.Millisecond,
		Log: eventlog.Discard(), Reset: func([]kv.Item) { resets++ }, Apply: func([]kv.Change) {},
	}).Run(ctx)
	if resets != 0 {
		t.Errorf("%d complete reads applied after the mirror had ended, want none", resets)
	}
}

// incompleteWatches is a store whose watches never return a complete response if there are changes, as if those were too large.
type incompleteWatches struct{ *kvtest.Store }

func (s incompleteWatches) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.Changes, error) {
	changes, err := s.Store.Watch(ctx, prefix, after, wait)
	if err == nil && len(changes.Changes) > 0 {
		return kv.Changes{}, kv.ErrIncomplete
	}
	return changes, err
}

// Guards against a mirror that stops for good because the changes since its revision do not arrive in one response.
func TestMirrorReadsAgainIfTheChangesDoNotArrive(t *testing.T) {
	store := kvtest.NewStore()
	put(t, store, "p/a", "1")
	_, c := follow(t, incompleteWatches{store})
	poll.Until(t, "the prefix is read", func() bool { return c.equals(map[string]string{"p/a": "1"}) })
	put(t, store, "p/b", "2")
	poll.Until(t, "the change is found", func() bool { return c.equals(map[string]string{"p/a": "1", "p/b": "2"}) })
	put(t, store, "p/a", "3")
	poll.Until(t, "the next change is found", func() bool { return c.equals(map[string]string{"p/a": "3", "p/b": "2"}) })
}

// Guards against a copy that holds large values of other writers under a prefix of small records.
func TestLargeValuesAreNotKept(t *testing.T) {
	store := kvtest.NewStore()
	put(t, store, "p/a", "1234")
	put(t, store, "p/odd", "12345")
	_, c := follow(t, kv.BoundValues(store, 4))
	poll.Until(t, "the prefix is read", func() bool { return c.equals(map[string]string{"p/a": "1234", "p/odd": ""}) })
	put(t, store, "p/b", "123456")
	put(t, store, "p/odd", "1")
	poll.Until(t, "the changes are found", func() bool { return c.equals(map[string]string{"p/a": "1234", "p/odd": "1", "p/b": ""}) })
}
