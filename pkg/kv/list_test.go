package kv_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
)

// slowLink is a store whose responses are lost if they hold more than a few items, as over a network link that is too
// slow for a full page. Each first call for a part is lost as well.
type slowLink struct {
	*kvtest.Store
	maxItems int
	lost     map[string]bool
}

func (s *slowLink) Range(ctx context.Context, prefix, after string) (kv.Page, error) {
	page, err := s.Store.Range(ctx, prefix, after)
	if len(page.Items) > s.maxItems || !s.lost[prefix] {
		s.lost[prefix] = true
		return kv.Page{}, kv.ErrUncertain
	}
	return page, err
}

// Guards against an owner that never loads its partition because one page of the store takes longer than a call may take.
func TestListInPartsOverSlowLink(t *testing.T) {
	store := &slowLink{Store: kvtest.NewStore(), maxItems: 1, lost: map[string]bool{}}
	for n := range 16 {
		put := kv.Put{Key: fmt.Sprintf("jobs/%x", n), Value: []byte("{}")}
		if _, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{put}}); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := kv.List(t.Context(), store, "jobs/"); !errors.Is(err, kv.ErrUncertain) {
		t.Fatalf("a full page arrived: %v", err)
	}
	items, err := kv.ListInParts(t.Context(), store, "jobs/")
	if err != nil || len(items) != 16 {
		t.Errorf("%d items, %v", len(items), err)
	}
}
