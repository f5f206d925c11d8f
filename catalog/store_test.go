// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/quarantine"
)

// fakeStore is an in-memory catalog.Store with adjustable faults and delays.
type fakeStore struct {
	mu    sync.Mutex
	feeds map[catalog.Feed][]catalog.Record
	// changes maps the value of a record to the change that Decode returns.
	changes map[string]catalog.Change
	first   map[catalog.Feed]int64
	// epoch counts the calls of restore.
	epoch   int64
	down    bool
	calls   int
	changed chan struct{}
	// pageDelay is the delay of each call of Page, and of Announce in addition to appendTime.
	pageDelay time.Duration
	// appendTime is the duration of one call of Announce. The calls are executed one at a time;
	// appendingUntil is when the last one ends.
	appendTime     time.Duration
	appendingUntil time.Time
	// loseReplies makes Announce write the entries but never answer.
	loseReplies bool
	// pageSize is the maximum number of records in a page; zero means no limit. All pages share
	// readRate, in bytes per second; zero means no limit. readingUntil is when the last page has
	// been sent.
	pageSize     int
	readRate     float64
	readingUntil time.Time
	// readLimit is the maximum number of records that Follow returns; zero means no limit.
	// readDelay is how long it takes to send them. If withholdRecords is set, Follow announces new
	// records by the end of the feed, but returns none.
	readLimit       int
	readDelay       time.Duration
	withholdRecords bool
	// missWakeUps is set if new records don't wake waiting polls.
	missWakeUps bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		feeds:   make(map[catalog.Feed][]catalog.Record),
		changes: make(map[string]catalog.Change),
		first:   make(map[catalog.Feed]int64),
		changed: make(chan struct{}),
	}
}

var errDown = errors.New("store is down")

func (s *fakeStore) put(f catalog.Feed, c catalog.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feeds[f] = append(s.feeds[f], s.record(f, c, s.first[f]+int64(len(s.feeds[f]))))
	if s.missWakeUps {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// drainedPrefix is the prefix of the keys of drained failure domains.
const drainedPrefix = "emptied/"

// bannedPrefix is the prefix of the keys of bans.
const bannedPrefix = "banned/"

// record encodes a change as a record. The caller holds the lock.
func (s *fakeStore) record(f catalog.Feed, c catalog.Change, offset int64) catalog.Record {
	r := catalog.Record{
		Offset: offset,
	}
	switch v := c.(type) {
	case *catalog.TableChange:
		r.Key = "config"
	case *catalog.EndpointChange:
		r.Key = v.Endpoint.Instance
	case *catalog.EndpointRemoved:
		r.Key = v.Instance
		return r
	case *catalog.PeerChange:
		r.Key = v.Peer.ID
	case *catalog.DomainDrained:
		r.Key = drainedPrefix + v.Domain
	case *catalog.DomainUndrained:
		r.Key = drainedPrefix + v.Domain
		return r
	case *catalog.RequestBanned:
		r.Key = bannedPrefix + v.Verdict.Identity.String()
	case *catalog.RequestReleased:
		r.Key = bannedPrefix + v.Identity.String()
		return r
	case *catalog.Malformed:
		r.Key = v.Key
	}
	r.Value = fmt.Appendf(nil, "%s/%d", f, len(s.changes))
	if f == catalog.Configurations {
		// The value is long enough to be compressed between instances.
		r.Value = fmt.Appendf(r.Value, "%s %d", strings.Repeat("a route and another ", 500), len(s.changes))
	}
	s.changes[string(r.Value)] = c
	return r
}

// Decode implements catalog.Store. A record without a value undrains a failure domain if its key
// begins with drainedPrefix, and releases a ban if its key begins with bannedPrefix; otherwise it
// removes an endpoint.
func (s *fakeStore) Decode(_ catalog.Feed, r catalog.Record) catalog.Change {
	if domain, ok := strings.CutPrefix(r.Key, drainedPrefix); ok && len(r.Value) == 0 {
		return &catalog.DomainUndrained{
			Domain: domain,
		}
	}
	if text, ok := strings.CutPrefix(r.Key, bannedPrefix); ok && len(r.Value) == 0 {
		id, err := quarantine.ParseIdentity(text)
		if err != nil {
			panic(err)
		}
		return &catalog.RequestReleased{
			Identity: id,
		}
	}
	if len(r.Value) == 0 {
		return &catalog.EndpointRemoved{
			Instance: r.Key,
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes[string(r.Value)]
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// limitReads makes each read return at most limit records, after a delay.
func (s *fakeStore) limitReads(limit int, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readLimit, s.readDelay = limit, delay
}

// setWithholdRecords sets whether Follow returns no records.
func (s *fakeStore) setWithholdRecords(withhold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withholdRecords = withhold
}

// limitPages makes each page contain at most size records, and sets the delay of each page.
func (s *fakeStore) limitPages(size int, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageSize, s.pageDelay = size, delay
}

func (s *fakeStore) setMissWakeUps() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missWakeUps = true
}

func (s *fakeStore) setPageDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pageDelay = d
}

// outage makes the store fail for a time, and calls change just before the store is back.
func (s *fakeStore) outage(d time.Duration, change func()) {
	s.setDown(true)
	time.Sleep(d)
	change()
	s.setDown(false)
}

// forget compacts a feed: it replaces all records by new ones for the given changes.
func (s *fakeStore) forget(f catalog.Feed, kept ...catalog.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first[f] += int64(len(s.feeds[f]))
	s.feeds[f] = nil
	for i, c := range kept {
		s.feeds[f] = append(s.feeds[f], s.record(f, c, s.first[f]+int64(i)))
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// content returns a copy of all records.
func (s *fakeStore) content() map[catalog.Feed][]catalog.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[catalog.Feed][]catalog.Record)
	for f, list := range s.feeds {
		out[f] = slices.Clone(list)
	}
	return out
}

// restore replaces all records by those of an earlier content, and begins a new epoch.
func (s *fakeStore) restore(content map[catalog.Feed][]catalog.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.feeds = make(map[catalog.Feed][]catalog.Record)
	for f, list := range content {
		s.feeds[f] = slices.Clone(list)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// positions returns records with their positions in the epoch. The caller holds the lock.
func (s *fakeStore) positions(records []catalog.Record) []catalog.Record {
	out := slices.Clone(records)
	for i := range out {
		out[i].Offset = catalog.Position(s.epoch, out[i].Offset)
	}
	return out
}

func (s *fakeStore) Page(ctx context.Context, f catalog.Feed, after string) (catalog.Page, error) {
	s.mu.Lock()
	slow := s.pageDelay
	s.mu.Unlock()
	select {
	case <-time.After(slow):
	case <-ctx.Done():
		return catalog.Page{}, ctx.Err()
	}
	page, wait, err := s.pageAfter(f, after)
	if err != nil {
		return page, err
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return catalog.Page{}, ctx.Err()
	}
	return page, nil
}

// pageAfter returns a page and the time until the store has sent it.
func (s *fakeStore) pageAfter(f catalog.Feed, after string) (page catalog.Page, wait time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return page, 0, errDown
	}
	all := newest(s.feeds[f])
	slices.SortFunc(all, func(a, b catalog.Record) int { return strings.Compare(a.Key, b.Key) })
	all = slices.DeleteFunc(all, func(r catalog.Record) bool { return r.Key <= after })
	all = s.positions(all)
	page = catalog.Page{
		Records: all,
		Next:    catalog.Position(s.epoch, s.first[f]+int64(len(s.feeds[f]))),
	}
	if s.pageSize > 0 && len(all) > s.pageSize {
		page.Records, page.More = all[:s.pageSize], true
	}
	if s.readRate > 0 {
		s.readingUntil = later(s.readingUntil, time.Now()).Add(time.Duration(float64(len(page.Records)*recordBytes) / s.readRate * float64(time.Second)))
		wait = time.Until(s.readingUntil)
	}
	return page, wait, nil
}

// recordBytes is the approximate size of a record on the wire.
const recordBytes = 200

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *fakeStore) Follow(ctx context.Context, f catalog.Feed, from int64, wait time.Duration) (catalog.Changes, error) {
	timeout := time.After(wait)
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed, down, first, epoch := s.changed, s.down, s.first[f], s.epoch
		list := s.positions(s.feeds[f])
		s.mu.Unlock()
		offset, end := catalog.OffsetOf(from), first+int64(len(list))
		switch {
		case down:
			return catalog.Changes{}, errDown
		case epoch > catalog.EpochOf(from):
			return catalog.Changes{}, catalog.ErrRestored
		case offset < first || offset > end:
			return catalog.Changes{}, catalog.ErrCompacted
		case offset < end:
			return s.changesOf(ctx, list[offset-first:], from, catalog.Position(epoch, end))
		}
		select {
		case <-changed:
		case <-timeout:
			return s.changesOf(ctx, nil, from, from)
		case <-ctx.Done():
			return catalog.Changes{}, ctx.Err()
		}
	}
}

// changesOf returns the answer to a read, with at most readLimit of the new records, after readDelay.
func (s *fakeStore) changesOf(ctx context.Context, records []catalog.Record, from, end int64) (catalog.Changes, error) {
	s.mu.Lock()
	limit, delay, withhold := s.readLimit, s.readDelay, s.withholdRecords
	s.mu.Unlock()
	if limit > 0 && len(records) > limit {
		records = records[:limit]
	}
	if withhold {
		records = nil
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return catalog.Changes{}, ctx.Err()
	}
	return catalog.Changes{
		Records: records,
		Next:    from + int64(len(records)),
		End:     end,
	}, nil
}

// newest returns the newest record of each key, without deleted keys.
func newest(records []catalog.Record) []catalog.Record {
	last := make(map[string]catalog.Record)
	for _, r := range records {
		last[r.Key] = r
	}
	var out []catalog.Record
	for _, r := range last {
		if len(r.Value) > 0 {
			out = append(out, r)
		}
	}
	return out
}

// Announce implements catalog.Store.
func (s *fakeStore) Announce(ctx context.Context, started []catalog.Peer) error {
	s.mu.Lock()
	s.calls++
	down, lose, slow := s.down, s.loseReplies, s.pageDelay
	s.appendingUntil = later(s.appendingUntil, time.Now()).Add(s.appendTime)
	wait := time.Until(s.appendingUntil) + slow
	s.mu.Unlock()
	if down {
		return errDown
	}
	time.Sleep(wait)
	for _, p := range started {
		s.put(catalog.Peers, &catalog.PeerChange{
			Peer: p,
		})
	}
	if lose {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// Rewrite implements catalog.Store.
func (s *fakeStore) Rewrite(_ context.Context, f catalog.Feed, records []catalog.Record, end int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	at := s.first[f] + int64(len(s.feeds[f]))
	switch {
	case s.down:
		return errDown
	case end != catalog.Position(s.epoch, at):
		return catalog.ErrMoved
	}
	for i, r := range records {
		r.Offset = at + int64(i)
		s.feeds[f] = append(s.feeds[f], r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func (s *fakeStore) Withdraw(context.Context, string) error { return nil }

// callCount returns the number of calls so far.
func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}
