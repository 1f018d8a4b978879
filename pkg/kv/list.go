package kv

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/pause"
)

// List reads all keys with a prefix, page by page. asOf is the revision of the first page; a watch from it returns
// every change that the later pages may not include.
func List(ctx context.Context, store Store, prefix string) (items []Item, asOf int64, err error) {
	return listPages(ctx, store.Range, prefix)
}

// ListResuming reads all keys with a prefix like List, but repeats a page that fails. Starting over instead, a list of many pages
// would hardly ever be complete while the store fails some reads, and would burden the store further.
func ListResuming(ctx context.Context, store Store, prefix string) (items []Item, asOf int64, err error) {
	return listPages(ctx, repeating(store.Range, func(error) bool { return true }), prefix)
}

const (
	// pageAttempts is how often a page is read before a resuming list fails.
	pageAttempts = 5
	// pageRetryDelay is the pause before a page is read again.
	pageRetryDelay = 200 * time.Millisecond
)

// rangeFunc reads a page like Store.Range.
type rangeFunc func(ctx context.Context, prefix, after string) (Page, error)

// repeating returns a function that repeats the read of a page whose error satisfies a condition, unless it is the first page:
// then nothing is lost if the caller starts over.
func repeating(read rangeFunc, mayRepeat func(error) bool) rangeFunc {
	return func(ctx context.Context, prefix, after string) (page Page, err error) {
		for attempt := 1; ; attempt++ {
			page, err = read(ctx, prefix, after)
			if err == nil || after == "" || attempt == pageAttempts || ctx.Err() != nil || !mayRepeat(err) {
				return page, errors.Trace(err)
			}
			pause.For(ctx, pageRetryDelay)
		}
	}
}

// refused reports whether the store has refused a call, which it does at once.
func refused(err error) bool { return errors.Is(err, ErrNotDone) }

func listPages(ctx context.Context, read rangeFunc, prefix string) (items []Item, asOf int64, err error) {
	after := ""
	for {
		page, err := read(ctx, prefix, after)
		if err != nil {
			return nil, 0, errors.Annotatef(err, "reading %s", prefix)
		}
		if asOf == 0 {
			asOf = page.AsOf
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, asOf, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// partNames are the first characters by which ListInParts divides the keys under a prefix.
const partNames = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// partAttempts is how often ListInParts tries to read one part.
const partAttempts = 3

// ListInParts reads all keys with a prefix like List. If one page takes too long, for instance over a slow network link,
// it reads the keys in parts by the character after the prefix, which must be a letter or a digit. It does not start over
// when a part fails or a page is refused.
func ListInParts(ctx context.Context, store Store, prefix string) ([]Item, error) {
	read := repeating(store.Range, refused)
	items, _, err := listPages(ctx, read, prefix)
	if err == nil || !errors.Is(err, ErrUncertain) {
		return items, errors.Trace(err)
	}
	items = nil
	for _, name := range partNames {
		part, err := listPart(ctx, read, prefix+string(name))
		if err != nil {
			return nil, errors.Trace(err)
		}
		items = append(items, part...)
	}
	return items, nil
}

func listPart(ctx context.Context, read rangeFunc, prefix string) (items []Item, err error) {
	for range partAttempts {
		if items, _, err = listPages(ctx, read, prefix); err == nil || ctx.Err() != nil {
			break
		}
	}
	return items, errors.Trace(err)
}
