package kv

import (
	"context"
	"time"
)

// boundedValues is a store that passes on values above a size as empty ones.
type boundedValues struct {
	Store
	maxBytes int
}

// BoundValues returns a store like store whose Range and Watch return an empty value in place of one above maxBytes. A copy of a
// prefix whose records are small then needs little memory, whatever other writers leave under it.
func BoundValues(store Store, maxBytes int) Store { return boundedValues{store, maxBytes} }

// Range implements Store.
func (s boundedValues) Range(ctx context.Context, prefix, after string) (Page, error) {
	page, err := s.Store.Range(ctx, prefix, after)
	for n := range page.Items {
		s.bound(&page.Items[n])
	}
	return page, err
}

// Watch implements Store.
func (s boundedValues) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error) {
	changes, err := s.Store.Watch(ctx, prefix, after, wait)
	for n := range changes.Changes {
		s.bound(&changes.Changes[n].Item)
	}
	return changes, err
}

func (s boundedValues) bound(item *Item) {
	if len(item.Value) > s.maxBytes {
		item.Value = nil
	}
}
