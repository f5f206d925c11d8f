// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// fullRead is a read of a whole feed, page by page. One that fails goes on from its last
// page: a store that is too slow for all pages within one limit is still read to the end.
// The zero value of all but the feed is a read that has not begun.
type fullRead struct {
	feed Feed
	// due states that the feed can't be followed from what is known of it.
	due bool
	// records are those of the pages read so far, after is the key of the last one, and
	// begun states that there was a page.
	records []Record
	after   string
	begun   bool
	// next is the offset to follow from, by the first page, and sent is when that page was
	// asked for: what is read is at least as new.
	next int64
	sent time.Time
}

// reset forgets the pages.
func (w *fullRead) reset() {
	*w = fullRead{
		feed: w.feed,
	}
}

// addPage takes over a page.
func (w *fullRead) addPage(p Page, sent time.Time) {
	if !w.begun {
		w.begun, w.next, w.sent = true, p.Next, sent
	}
	w.records = append(w.records, p.Records...)
	if n := len(p.Records); n > 0 {
		w.after = p.Records[n-1].Key
	}
}

// readFull reads the pages of a feed that are left, and takes over what they say. It
// returns the offset to follow from.
func (c *Catalog) readFull(ctx context.Context, w *fullRead) (int64, error) {
	for {
		sent := steady.Now()
		page, err := c.readPage(ctx, w)
		if err != nil {
			return unread, err
		}
		w.addPage(page, sent)
		if page.More {
			continue
		}
		next := w.next
		c.apply(w.feed, w.records, next, allParts, fromStore)
		if w.feed == Configurations && len(w.records) > 0 {
			c.confirmByStore(w.sent)
		}
		w.reset()
		return next, nil
	}
}

// readPage reads the next page of a feed.
func (c *Catalog) readPage(ctx context.Context, w *fullRead) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return c.store.Page(ctx, w.feed, w.after)
}
