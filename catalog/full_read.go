// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"context"
	"time"

	"github.com/go-faster/errors"

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

// errNoProgress is the error for a page that announces another one but doesn't lead to it. It
// doesn't prove that further keys are deleted.
var errNoProgress = errors.New("page announces further records but has no new last key")

// advancesTo reports whether a page has records and doesn't end with the same key as the one before.
func (r *fullRead) advancesTo(p Page) bool {
	n := len(p.Records)
	return n > 0 && p.Records[n-1].Key != r.after
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
		if w.begun && EpochOf(page.Next) != EpochOf(w.next) {
			w.reset()
			w.due = true
			return unread, ErrRestored
		}
		if page.More && !w.advancesTo(page) {
			return unread, errNoProgress
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
		if err := c.completeRead(ctx, w); err != nil {
			w.reset()
			w.due = true
			return unread, err
		}
		w.reset()
		return next, nil
	}
}

// completeRead writes again what the store lacks of the system's own records, and records that the
// feed was read in full if the store has settled.
func (c *Catalog) completeRead(ctx context.Context, w *fullRead) error {
	if w.feed == Peers {
		if err := c.rewriteLost(ctx, w); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.epochs[w.feed]
	if s.settled(steady.Now(), settleTime) {
		s.complete = s.current
	}
	return nil
}

// rewriteLost writes the records that the store lacks after a full read. It returns ErrMoved if
// another instance wrote meanwhile, which may have been the same records.
func (c *Catalog) rewriteLost(ctx context.Context, w *fullRead) error {
	lost := c.lostRecords(w.records)
	if len(lost) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := c.store.Rewrite(ctx, w.feed, lost, w.next); err != nil {
		return err
	}
	c.log.Info("records written again", "feed", w.feed.String(), "records", len(lost), "first", lost[0].Key)
	return nil
}

// readPage reads the next page of a feed.
func (c *Catalog) readPage(ctx context.Context, w *fullRead) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return c.store.Page(ctx, w.feed, w.after)
}
