// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package notice_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/notice"
)

// fakeClock is a clock that tests set.
type fakeClock struct {
	time time.Time
}

func newClock() *fakeClock {
	return &fakeClock{
		time: time.Unix(1_000_000, 0),
	}
}

func (c *fakeClock) now() time.Time { return c.time }

func (c *fakeClock) advance(d time.Duration) { c.time = c.time.Add(d) }

// answer returns an answer of endpoint e to a request that was sent the given time ago.
func (c *fakeClock) answer(ago time.Duration) notice.Answer {
	return notice.Answer{
		Instance: "e",
		Request:  "r",
		SentAt:   c.time.Add(-ago),
	}
}

// rateLimit returns statements with a rate limit.
func rateLimit(rate float64) notice.Statements {
	return notice.Statements{
		Limited: true,
		Rate:    rate,
	}
}

// assertLimit checks the rate limit of endpoint e; a negative rate means that there must be none.
func assertLimit(t *testing.T, b *notice.Registry, rate float64) {
	t.Helper()
	l, limited := b.View().Limit("e", time.Time{})
	is.New(t).Equal(limited, rate >= 0)
	if limited {
		is.New(t).Equal(l.Rate, rate)
	}
}

// TestRateLimitRecorded guards against a rate limit that is ended by the answer to an earlier
// request or by a malformed statement, or that remains after a later answer without it.
func TestRateLimitRecorded(t *testing.T) {
	c := newClock()
	b := notice.New(c.now, logr.Discard())
	b.RecordAnswer(c.answer(0), notice.Statements{})
	assertLimit(t, b, -1)
	b.RecordAnswer(c.answer(0), rateLimit(2))
	assertLimit(t, b, 2)

	t.Run("an answer to an earlier request does not end it", func(t *testing.T) {
		c.advance(time.Second)
		b.RecordAnswer(c.answer(2*time.Second), notice.Statements{})
		assertLimit(t, b, 2)
	})
	t.Run("a statement that can't be read does not end it", func(t *testing.T) {
		b.RecordAnswer(c.answer(0), notice.Statements{RateMalformed: true, Malformed: "x"})
		assertLimit(t, b, 2)
	})
	t.Run("another value replaces it", func(t *testing.T) {
		c.advance(time.Minute)
		b.RecordAnswer(c.answer(0), rateLimit(0))
		assertLimit(t, b, 0)
	})
	t.Run("an answer without it ends it", func(t *testing.T) {
		c.advance(time.Second)
		b.RecordAnswer(c.answer(0), notice.Statements{})
		assertLimit(t, b, -1)
	})
}

// TestRateLimitChangesAreThrottled guards against a notice for each answer of an endpoint that
// keeps changing its rate limit.
func TestRateLimitChangesAreThrottled(t *testing.T) {
	c := newClock()
	b := notice.New(c.now, logr.Discard())
	notified := 0
	b.OnChange(func(notice.Notice) { notified++ })
	for i := range 1000 {
		b.RecordAnswer(c.answer(0), rateLimit(float64(i)))
		c.advance(10 * time.Millisecond)
	}
	is.New(t).Equal(notified, 10)
}

// TestMalformedLoggedOnce guards against a log line for each malformed statement of an endpoint.
func TestMalformedLoggedOnce(t *testing.T) {
	lines := 0
	c := newClock()
	b := notice.New(c.now, funcr.New(func(_, _ string) { lines++ }, funcr.Options{}))
	for range 100 {
		b.RecordAnswer(c.answer(0), notice.Statements{Malformed: "x"})
	}
	is.New(t).Equal(lines, 1)
	assertLimit(t, b, -1)
}

// TestLimitOfRestartedEndpoint guards against late answers of an old incarnation that change the
// limit of the present one.
func TestLimitOfRestartedEndpoint(t *testing.T) {
	c := newClock()
	b := notice.New(c.now, logr.Discard())
	first, second := c.answer(0), c.answer(0)
	first.StartedAt = c.time
	second.StartedAt = c.time.Add(time.Second)
	b.RecordAnswer(first, rateLimit(2))
	assertLimit(t, b, 2)
	b.RecordAnswer(second, rateLimit(5))
	assertLimit(t, b, 5)
	b.RecordAnswer(first, rateLimit(1))
	assertLimit(t, b, 5)
}

// TestNoticesConverge guards against registries that differ after exchanging notices in different
// orders.
func TestNoticesConverge(t *testing.T) {
	c := newClock()
	one, other := notice.New(c.now, logr.Discard()), notice.New(c.now, logr.Discard())
	first, _ := one.RecordAnswer(c.answer(0), rateLimit(2))
	second, _ := other.RecordAnswer(c.answer(0), rateLimit(3))
	one.ApplyNotice(second)
	other.ApplyNotice(first)
	assertLimit(t, one, 2)
	assertLimit(t, other, 2)

	c.advance(time.Second)
	ended, _ := one.RecordAnswer(c.answer(0), notice.Statements{})
	other.ApplyNotice(ended)
	other.ApplyNotice(first)
	assertLimit(t, other, -1)
}

// TestRemoveUnlisted checks that endpoints are removed once they are unlisted, but not before their
// retention time is over.
func TestRemoveUnlisted(t *testing.T) {
	c := newClock()
	b := notice.New(c.now, logr.Discard())
	b.RecordAnswer(c.answer(0), rateLimit(2))
	none := func(string) bool { return false }
	b.RemoveUnlisted(none)
	assertLimit(t, b, 2)
	c.advance(time.Hour)
	b.RemoveUnlisted(func(string) bool { return true })
	assertLimit(t, b, 2)
	b.RemoveUnlisted(none)
	assertLimit(t, b, -1)
}

// TestLeavingRecorded guards against a leaving incarnation that no longer counts as leaving after a
// later answer or notice.
func TestLeavingRecorded(t *testing.T) {
	c := newClock()
	b, other := notice.New(c.now, logr.Discard()), notice.New(c.now, logr.Discard())
	first := c.answer(0)
	first.StartedAt = c.time
	n, changed := b.RecordAnswer(first, notice.Statements{Leaving: true})
	is.New(t).True(changed && n.Leaving)
	c.advance(time.Second)
	first.SentAt = c.time
	_, changed = b.RecordAnswer(first, notice.Statements{})
	is.New(t).True(!changed)
	other.ApplyNotice(n)
	again, changed := other.RecordAnswer(first, rateLimit(2))
	is.New(t).True(changed && again.Leaving && again.Limited)

	t.Run("next incarnation", func(t *testing.T) {
		next := c.answer(0)
		next.StartedAt = c.time
		n, changed := b.RecordAnswer(next, rateLimit(2))
		is.New(t).True(changed && !n.Leaving)
	})
}

// TestBackoffRecorded guards against back-offs that are shorter than asked for, or longer than the
// maximum.
func TestBackoffRecorded(t *testing.T) {
	for _, row := range []struct {
		name    string
		backoff time.Duration
		least   time.Duration
		most    time.Duration
	}{
		{"seconds", 3 * time.Second, 3 * time.Second, 3300 * time.Millisecond},
		{"a year", 365 * 24 * time.Hour, time.Minute, 66 * time.Second},
		{"none", 0, 0, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newClock()
			b := notice.New(c.now, logr.Discard())
			_, changed := b.RecordAnswer(c.answer(0), notice.Statements{Backoff: row.backoff})
			is.New(t).True(!changed)
			for _, at := range []struct {
				pass     time.Duration
				excluded bool
			}{
				{row.least - 1, row.backoff > 0},
				{row.most + 1 - row.least + 1, false},
			} {
				c.advance(at.pass)
				is.New(t).Equal(b.ExclusionReason("e", time.Time{}) != "", at.excluded)
			}
		})
	}
}

// TestExpiredBackoffsRemoved guards against a view that grows with expired back-offs.
func TestExpiredBackoffsRemoved(t *testing.T) {
	c := newClock()
	b := notice.New(c.now, logr.Discard())
	for i := range 10 {
		a := c.answer(0)
		a.Instance = string(rune('a' + i))
		b.RecordAnswer(a, notice.Statements{Backoff: time.Second})
		c.advance(2 * time.Second)
	}
	is.New(t).Equal(len(b.View().BackedOff()), 1)
}

// TestLeavingSurvivesNewerLimits guards against an endpoint that no longer counts as leaving after
// a newer rate limit from an instance that doesn't know of the leaving.
func TestLeavingSurvivesNewerLimits(t *testing.T) {
	c := newClock()
	leaving, _ := notice.New(c.now, logr.Discard()).RecordAnswer(c.answer(0), notice.Statements{Leaving: true})
	unaware := notice.New(c.now, logr.Discard())
	unaware.RecordAnswer(c.answer(0), rateLimit(2))
	c.advance(time.Minute)
	limited, _ := unaware.RecordAnswer(c.answer(0), rateLimit(3))
	for _, order := range [][]notice.Notice{{leaving, limited}, {limited, leaving}} {
		b := notice.New(c.now, logr.Discard())
		changes := 0
		b.OnChange(func(notice.Notice) { changes++ })
		for _, n := range append(order, order...) {
			b.ApplyNotice(n)
		}
		is.New(t).True(b.View().IsLeaving("e", time.Time{}))
		assertLimit(t, b, 3)
		is.New(t).Equal(changes, 2)
	}
}

// TestBackoffEndsWithRestart guards against a back-off that is applied to the next incarnation of
// an endpoint.
func TestBackoffEndsWithRestart(t *testing.T) {
	c := newClock()
	b := notice.New(c.now, logr.Discard())
	first := c.answer(0)
	first.StartedAt = c.time
	b.RecordAnswer(first, notice.Statements{Backoff: 10 * time.Second})
	is.New(t).True(b.ExclusionReason("e", first.StartedAt) != "")
	next := c.time.Add(time.Second)
	b.ApplyNotice(notice.Notice{
		Instance:  "e",
		StartedAt: next,
		Limited:   true,
		Rate:      2,
		Revision:  1,
	})
	is.New(t).Equal(b.ExclusionReason("e", next), "")
	assertLimit(t, b, 2)
}

func BenchmarkRecordAnswer(b *testing.B) {
	c := newClock()
	registry := notice.New(c.now, logr.Discard())
	for i := range 100 {
		a := c.answer(0)
		a.Instance = string(rune('A' + i))
		registry.RecordAnswer(a, rateLimit(2))
	}
	a := c.answer(0)
	a.Instance = "other"
	for b.Loop() {
		registry.RecordAnswer(a, notice.Statements{})
	}
}
