// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// fullRead is the state of reading a whole feed page by page. After a failed page it resumes
// after the last page that was read, so that a slow store is read to the end eventually. The
// zero value, with the feed set, is a read that has not started.
type fullRead struct {
	feed Feed
	// due is set if following the feed is impossible, because the store no longer keeps the
	// records.
	due bool
	// records are those of the pages read so far, after is the last key, and begun is set after
	// the first page.
	records []Record
	after   string
	begun   bool
	// next is Next of the first page, from which the feed is to be followed. sent is when the
	// first page was requested, which is a lower bound of the time that the data reflects.
	next int64
	sent time.Time
}

// reset discards the pages.
func (r *fullRead) reset() {
	*r = fullRead{
		feed: r.feed,
	}
}

// addPage appends a page that was requested at the given time.
func (r *fullRead) addPage(p Page, sent time.Time) {
	if !r.begun {
		r.begun, r.next, r.sent = true, p.Next, sent
	}
	r.records = append(r.records, p.Records...)
	if n := len(p.Records); n > 0 {
		r.after = p.Records[n-1].Key
	}
}

// readFull reads the remaining pages of a feed and applies all records. It returns the offset
// from which to follow the feed.
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
