// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// clock is a time that tests set.
type clock struct {
	at time.Time
}

// newClock returns a clock at some moment.
func newClock() *clock {
	return &clock{
		at: time.Unix(1_000_000, 0),
	}
}

func (c *clock) now() time.Time {
	return c.at
}

// newBook returns an empty book with the clock that it goes by.
func newBook() (*Book, *clock) {
	c := newClock()
	return New(c.now, logr.Discard()), c
}

// ms returns the moment so many ms after the clock's first one.
func ms(n int) time.Time {
	return newClock().at.Add(time.Duration(n) * time.Millisecond)
}

// run is an attempt of the request 1 that crashed its endpoint, in ms.
type run struct {
	attempt string
	began   int
	ended   int
}

// report reports a run.
func (r run) report(b *Book) {
	b.Report(Crash{
		Attempt:  r.attempt,
		Identity: 1,
		Began:    ms(r.began),
		Ended:    ms(r.ended),
	})
}

// assertBanned checks whether the request 1 is banned.
func assertBanned(t *testing.T, b *Book, want bool) {
	t.Helper()
	_, banned := b.Barred(1)
	is.New(t).Equal(banned, want)
}

// TestInARow reports crashes of attempts that follow each other, or don't.
func TestInARow(t *testing.T) {
	for _, row := range []struct {
		name   string
		runs   []run
		banned bool
	}{
		{"two", []run{{"a", 0, 100}, {"b", 110, 200}}, false},
		{"three", []run{{"a", 0, 100}, {"b", 110, 200}, {"c", 205, 300}}, true},
		{"three at once", []run{{"a", 0, 100}, {"b", 10, 100}, {"c", 90, 101}}, false},
		{"many at once, as endpoints stop together", []run{{"a", 0, 1000}, {"b", 10, 1000}, {"c", 500, 1001}, {"d", 700, 1001}, {"e", 900, 1002}}, false},
		{"two waves of many", []run{{"a", 0, 1000}, {"b", 10, 1000}, {"c", 1100, 2000}, {"d", 1200, 2000}, {"e", 1300, 2001}}, false},
		{"three with others beside them", []run{{"a", 0, 100}, {"x", 10, 90}, {"b", 110, 200}, {"y", 120, 210}, {"c", 205, 300}}, true},
		{"reported out of order", []run{{"c", 205, 300}, {"a", 0, 100}, {"b", 110, 200}}, true},
		{"the same one again", []run{{"a", 0, 100}, {"a", 200, 300}, {"a", 400, 500}}, false},
		{"clocks of two instances differ by the way", []run{{"a", 0, 100}, {"b", 70, 200}, {"c", 170, 300}}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			b, c := newBook()
			c.at = ms(2000)
			for _, r := range row.runs {
				r.report(b)
			}
			assertBanned(t, b, row.banned)
		})
	}
}

// crashThrice has the request 1 crash three endpoints, from a moment on, and returns when the
// third has ended.
func crashThrice(b *Book, c *clock, from int) int {
	for i := range crashesTolerated {
		began := from + 100*i
		c.at = ms(began + 90)
		run{strconv.Itoa(began), began, began + 90}.report(b)
	}
	return from + 100*crashesTolerated
}

// TestServedClears has an attempt answered whole at some moment.
func TestServedClears(t *testing.T) {
	t.Run("between crashes", func(t *testing.T) {
		b, _ := newBook()
		run{"a", 0, 100}.report(b)
		run{"b", 110, 200}.report(b)
		is.New(t).True(b.Served(1))
		run{"c", 300, 400}.report(b)
		run{"d", 410, 500}.report(b)
		assertBanned(t, b, false)
	})
	t.Run("after the ban, by an attempt that was under way", func(t *testing.T) {
		b, c := newBook()
		crashThrice(b, c, 0)
		assertBanned(t, b, true)
		is.New(t).True(b.Served(1))
		assertBanned(t, b, false)
	})
	t.Run("another request", func(t *testing.T) {
		b, c := newBook()
		crashThrice(b, c, 0)
		is.New(t).True(!b.Served(2))
		assertBanned(t, b, true)
	})
}

// TestBanLapses lets bans end.
func TestBanLapses(t *testing.T) {
	first := int(banFirst.Milliseconds())
	t.Run("one more crash bans for longer", func(t *testing.T) {
		is := is.New(t)
		b, c := newBook()
		crashThrice(b, c, 0)
		c.at = ms(first + 1000)
		assertBanned(t, b, false)
		run{"late", 200, first + 900}.report(b) // it began before the end of the ban
		assertBanned(t, b, false)
		run{"again", first + 900, first + 1000}.report(b)
		left, banned := b.Barred(1)
		is.True(banned)
		is.Equal(left, banFirst*banGrowth)
	})
	t.Run("no ban lasts for longer than the longest", func(t *testing.T) {
		is := is.New(t)
		b, c := newBook()
		crashThrice(b, c, 0)
		left := time.Duration(0)
		for i := range 6 {
			left, _ = b.Barred(1)
			is.True(left <= banLongest)
			c.at = c.at.Add(left + time.Second)
			b.Report(Crash{
				Attempt:  "after " + strconv.Itoa(i),
				Identity: 1,
				Began:    c.at.Add(-100 * time.Millisecond),
				Ended:    c.at,
			})
		}
		is.True(left > banFirst*banGrowth)
	})
	t.Run("remembered no longer", func(t *testing.T) {
		b, c := newBook()
		crashThrice(b, c, 0)
		c.at = ms(2*first + 1000)
		run{"again", 2*first + 900, 2*first + 1000}.report(b)
		assertBanned(t, b, false)
	})
	t.Run("crashes that lie far apart", func(t *testing.T) {
		b, c := newBook()
		apart := int(suspectFor.Milliseconds()) + 1000
		for i := range crashesTolerated {
			c.at = ms(i*apart + 100)
			run{strconv.Itoa(i), i * apart, i*apart + 100}.report(b)
		}
		assertBanned(t, b, false)
	})
}

// TestEnter gives requests leave to run: none in a ban, after it one at a time that runs once.
func TestEnter(t *testing.T) {
	is := is.New(t)
	b, c := newBook()
	p, _, ok := b.Enter(1)
	is.True(ok && !p.Once)
	p.Leave()
	crashThrice(b, c, 0)
	_, after, ok := b.Enter(1)
	is.True(!ok)
	is.Equal(after, banFirst)
	_, _, ok = b.Enter(2)
	is.True(ok)
	c.at = c.at.Add(banFirst + time.Second)
	p, _, ok = b.Enter(1)
	is.True(ok && p.Once)
	_, after, ok = b.Enter(1)
	is.True(!ok)
	is.Equal(after, tryAfter)
	p.Leave()
	_, _, ok = b.Enter(1)
	is.True(ok)
}

// TestVerdicts tells one book what another one decides.
func TestVerdicts(t *testing.T) {
	is := is.New(t)
	one, c := newBook()
	other, otherClock := newBook()
	var heard []State
	one.OnVerdict(func(v Verdict) {
		heard = append(heard, v.State)
		other.Learn(v)
	})
	crashThrice(one, c, 0)
	otherClock.at = c.at
	assertBanned(t, other, true)
	one.Served(1)
	assertBanned(t, other, false)
	is.Equal(heard, []State{Suspected, Banned, Cleared})
	t.Run("suspected elsewhere", func(t *testing.T) {
		is := is.New(t)
		other.Learn(Verdict{
			Identity: 3,
			State:    Suspected,
		})
		is.True(other.Suspected(3))
		is.True(other.Served(3)) // who serves it has something to say
		is.True(!other.Suspected(3))
	})
	t.Run("a ban that is known", func(t *testing.T) {
		is := is.New(t)
		told := 0
		other.OnVerdict(func(Verdict) { told++ })
		for range 3 {
			other.Learn(Verdict{
				Identity: 4,
				State:    Banned,
				For:      time.Minute,
				Times:    1,
			})
		}
		is.Equal(told, 1)
	})
}

// TestBounds fills a book with what callers or a large failure bring.
func TestBounds(t *testing.T) {
	t.Run("suspects, those of most crashes kept", func(t *testing.T) {
		is := is.New(t)
		b, _ := newBook()
		run{"a", 0, 100}.report(b)
		run{"b", 110, 200}.report(b)
		for i := range 4 * maxSuspects {
			b.Report(Crash{
				Attempt:  "x" + strconv.Itoa(i),
				Identity: Identity(100 + i),
				Began:    ms(0),
				Ended:    ms(100),
			})
		}
		is.True(b.Figures().Suspects <= maxSuspects)
		run{"c", 300, 400}.report(b)
		assertBanned(t, b, true)
	})
	t.Run("bans, those that end last kept", func(t *testing.T) {
		is := is.New(t)
		b, c := newBook()
		b.Learn(Verdict{
			Identity: 1,
			State:    Banned,
			For:      time.Hour,
			Times:    2,
		})
		for i := range 4 * maxBans {
			b.Learn(Verdict{
				Identity: Identity(100 + i),
				State:    Banned,
				For:      time.Minute,
				Times:    1,
			})
			c.at = c.at.Add(time.Millisecond)
		}
		is.True(b.Figures().Bans <= maxBans)
		is.True(len(b.Verdicts()) <= maxBans)
		assertBanned(t, b, true)
	})
}

// BenchmarkReport reports crashes of requests of their own to a full book, as the loss of a
// failure domain does.
func BenchmarkReport(b *testing.B) {
	book, c := newBook()
	for i := 0; b.Loop(); i++ {
		book.Report(Crash{
			Attempt:  strconv.Itoa(i),
			Identity: Identity(i),
			Began:    c.at,
			Ended:    c.at,
		})
	}
}

// BenchmarkEnter gives requests leave to run while many others are banned.
func BenchmarkEnter(b *testing.B) {
	book, _ := newBook()
	for i := range maxBans {
		book.Learn(Verdict{
			Identity: Identity(i),
			State:    Banned,
			For:      time.Minute,
			Times:    1,
		})
	}
	for i := 0; b.Loop(); i++ {
		if p, _, ok := book.Enter(Identity(maxBans + i)); ok {
			p.Leave()
		}
	}
}
