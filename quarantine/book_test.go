// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// newBook returns an empty book. Its tests run in virtual time.
func newBook() *Book {
	return New(time.Now, nil, logr.Discard())
}

// virtual runs a test in virtual time.
func virtual(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}

// run is an attempt of a request that crashed its endpoint, in ms from the test's start.
type run struct {
	attempt  string
	endpoint string
	began    int
	ended    int
	// identity is that of the request; zero stands for the request 1.
	identity Identity
}

// report reports runs as they end.
func report(b *Book, runs ...run) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	slices.SortStableFunc(runs, func(x, y run) int { return cmp.Compare(x.ended, y.ended) })
	for _, r := range runs {
		time.Sleep(time.Until(at(r.ended)))
		b.Report(Crash{
			Attempt:  r.attempt,
			Endpoint: r.endpoint,
			Identity: max(r.identity, 1),
			Began:    at(r.began),
			Ended:    at(r.ended),
		})
	}
	time.Sleep(SettleAfter)
	synctest.Wait()
}

// assertBanned checks whether the request 1 is banned.
func assertBanned(t *testing.T, b *Book, want bool) {
	t.Helper()
	_, banned := b.Barred(1)
	is.New(t).Equal(banned, want)
}

// TestInARow reports crashes of attempts that follow each other, or don't, and of endpoints
// that end for another cause.
func TestInARow(t *testing.T) {
	for _, row := range []struct {
		name   string
		runs   []run
		banned bool
	}{
		{"two", []run{{"a", "e1", 0, 100, 0}, {"b", "e2", 110, 200, 0}}, false},
		{"three", []run{{"a", "e1", 0, 100, 0}, {"b", "e2", 110, 200, 0}, {"c", "e3", 205, 300, 0}}, true},
		{"three at once", []run{{"a", "e1", 0, 100, 0}, {"b", "e2", 10, 100, 0}, {"c", "e3", 90, 101, 0}}, false},
		{"short ones at once", []run{{"a", "e1", 70, 100, 0}, {"b", "e2", 80, 101, 0}, {"c", "e3", 90, 102, 0}, {"d", "e4", 95, 103, 0}}, false},
		{"some on the same endpoint", []run{{"a", "e1", 0, 100, 0}, {"b", "e1", 60, 110, 0}, {"c", "e1", 70, 160, 0}}, false},
		{"two waves of many", []run{{"a", "e1", 0, 1000, 0}, {"b", "e2", 10, 1000, 0}, {"c", "e3", 1100, 2000, 0}, {"d", "e4", 1200, 2000, 0}, {"e", "e5", 1300, 2001, 0}}, false},
		{"three with others beside them", []run{{"a", "e1", 0, 100, 0}, {"x", "e4", 10, 90, 0}, {"b", "e2", 110, 200, 0}, {"y", "e5", 120, 210, 0}, {"c", "e3", 205, 300, 0}}, true},
		{"each by two copies at once", []run{{"a", "e1", 0, 100, 0}, {"b", "e2", 0, 100, 0}, {"c", "e3", 110, 200, 0}, {"d", "e4", 110, 200, 0}, {"e", "e5", 210, 300, 0}, {"f", "e6", 210, 300, 0}}, true},
		{"the same attempt again", []run{{"a", "e1", 0, 100, 0}, {"a", "e2", 200, 300, 0}, {"a", "e3", 400, 500, 0}}, false},
		{"clocks of two instances differ by the way", []run{{"a", "e1", 0, 100, 0}, {"b", "e2", 70, 200, 0}, {"c", "e3", 170, 300, 0}}, true},
		{"endpoints end together that ran others", []run{
			{"a", "e1", 0, 100, 0}, {"x", "e4", 0, 110, 2},
			{"b", "e2", 110, 200, 0}, {"y", "e5", 0, 190, 3},
			{"c", "e3", 205, 300, 0}, {"z", "e6", 0, 340, 4},
		}, false},
		{"endpoints that ran others end at other times", []run{
			{"a", "e1", 0, 100, 0}, {"x", "e4", 0, 160, 2},
			{"b", "e2", 110, 250, 0}, {"y", "e5", 0, 320, 3},
			{"c", "e3", 260, 400, 0}, {"z", "e6", 0, 460, 4},
		}, true},
		{"others on the same endpoint", []run{
			{"a", "e1", 0, 100, 0}, {"x", "e1", 0, 101, 2},
			{"b", "e2", 110, 200, 0}, {"y", "e2", 0, 201, 3},
			{"c", "e3", 205, 300, 0}, {"z", "e3", 0, 301, 4},
		}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			virtual(t, func(t *testing.T) {
				b := newBook()
				report(b, row.runs...)
				assertBanned(t, b, row.banned)
			})
		})
	}
}

// TestInARowOfOneTry counts attempts of one try that crash their endpoints within milliseconds
// of each other; those of different tries are taken for one moment.
func TestInARowOfOneTry(t *testing.T) {
	for _, row := range []struct {
		name   string
		before [3]string
		banned bool
	}{
		{"one try", [3]string{"", "a0", "a1"}, true},
		{"tries of their own", [3]string{"", "", ""}, false},
		{"another try", [3]string{"", "b0", "b1"}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			virtual(t, func(t *testing.T) {
				b := newBook()
				for i, before := range row.before {
					began := time.Now()
					time.Sleep(2 * time.Millisecond)
					b.Report(Crash{
						Attempt:  "a" + strconv.Itoa(i),
						Before:   before,
						Endpoint: "e" + strconv.Itoa(i),
						Identity: 1,
						Began:    began,
						Ended:    time.Now(),
					})
				}
				time.Sleep(SettleAfter)
				synctest.Wait()
				assertBanned(t, b, row.banned)
			})
		})
	}
}

// TestJointReading has a request crash both endpoints that work on each attempt. The end of the
// second is told by another request that it answered, which knows nothing of the first.
func TestJointReading(t *testing.T) {
	for _, row := range []struct {
		name   string
		others func(i int) []string
		banned bool
	}{
		{"known to read together", func(i int) []string { return []string{"r" + strconv.Itoa(i)} }, true},
		{"alone", func(int) []string { return nil }, false},
		{"another reader", func(int) []string { return []string{"r9"} }, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			virtual(t, func(t *testing.T) {
				b := newBook()
				for i := range crashesTolerated {
					began := time.Now()
					time.Sleep(100 * time.Millisecond)
					end := Crash{
						Attempt:  "a" + strconv.Itoa(i),
						Endpoint: "e" + strconv.Itoa(i),
						Others:   row.others(i),
						Identity: 1,
						Began:    began,
						Ended:    time.Now(),
					}
					b.Report(end)
					end.Attempt, end.Endpoint, end.Others = "x"+strconv.Itoa(i), "r"+strconv.Itoa(i), nil
					end.Identity = Identity(2 + i)
					b.Report(end)
				}
				time.Sleep(SettleAfter)
				synctest.Wait()
				assertBanned(t, b, row.banned)
			})
		})
	}
}

// TestOthersOnTheSameEndpoints has another request on each endpoint that one crashes, whose
// attempts were under way before: it is moved to where the next one is sent. Only the request
// that began last each time is banned, whichever is reported first.
func TestOthersOnTheSameEndpoints(t *testing.T) {
	crashes := []run{{"a", "e1", 50, 100, 0}, {"b", "e2", 180, 250, 0}, {"c", "e3", 320, 400, 0}}
	beside := []run{{"x", "e1", 0, 100, 2}, {"y", "e2", 110, 250, 2}, {"z", "e3", 260, 400, 2}}
	for _, row := range []struct {
		name string
		runs []run
	}{
		{"reported after it", slices.Concat(crashes, beside)},
		{"reported before it", slices.Concat(beside, crashes)},
	} {
		t.Run(row.name, func(t *testing.T) {
			virtual(t, func(t *testing.T) {
				b := newBook()
				report(b, row.runs...)
				assertBanned(t, b, true)
				_, other := b.Barred(2)
				is.New(t).True(!other)
				report(b, run{"w", "e4", 0, 100, 2})
				_, other = b.Barred(2)
				is.New(t).True(!other)
			})
		})
	}
}

// TestReportedOutOfOrder tells a book of crashes long after they were, the last one first, as
// an owner hears of them that is new.
func TestReportedOutOfOrder(t *testing.T) {
	virtual(t, func(t *testing.T) {
		b := newBook()
		start := time.Now()
		time.Sleep(5 * time.Second)
		for i := range crashesTolerated {
			began := start.Add(time.Duration(crashesTolerated-i) * 100 * time.Millisecond)
			b.Report(Crash{
				Attempt:  strconv.Itoa(i),
				Endpoint: "e" + strconv.Itoa(i),
				Identity: 1,
				Began:    began,
				Ended:    began.Add(90 * time.Millisecond),
			})
		}
		time.Sleep(SettleAfter)
		synctest.Wait()
		assertBanned(t, b, true)
	})
}

// crashThrice has the request 1 crash three endpoints.
func crashThrice(b *Book) {
	at := time.Now().String()
	report(b, run{at + "a", "e1", 0, 90, 0}, run{at + "b", "e2", 100, 190, 0}, run{at + "c", "e3", 200, 290, 0})
}

// TestServedClears has an attempt answered whole at some moment.
func TestServedClears(t *testing.T) {
	for _, row := range []struct {
		name string
		run  func(is *is.I, b *Book)
		// banned states whether the request 1 is banned at the end.
		banned bool
	}{
		{"between crashes", func(is *is.I, b *Book) {
			report(b, run{"a", "e1", 0, 100, 0}, run{"b", "e2", 110, 200, 0})
			is.True(b.Served(1))
			report(b, run{"c", "e3", 0, 100, 0}, run{"d", "e4", 110, 200, 0})
		}, false},
		{"before the third crash counts", func(is *is.I, b *Book) {
			report(b, run{"a", "e1", 0, 100, 0}, run{"b", "e2", 110, 200, 0})
			b.Report(Crash{
				Attempt:  "c",
				Endpoint: "e3",
				Identity: 1,
				Began:    time.Now().Add(-90 * time.Millisecond),
				Ended:    time.Now(),
			})
			is.True(b.Served(1))
			time.Sleep(SettleAfter)
		}, false},
		{"after the ban, by an attempt that was under way", func(is *is.I, b *Book) {
			crashThrice(b)
			is.True(b.Served(1))
		}, false},
		{"another request", func(is *is.I, b *Book) {
			crashThrice(b)
			is.True(!b.Served(2))
		}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			virtual(t, func(t *testing.T) {
				b := newBook()
				row.run(is.New(t), b)
				assertBanned(t, b, row.banned)
			})
		})
	}
}

// TestBanLapses lets bans end.
func TestBanLapses(t *testing.T) {
	for _, row := range []struct {
		name string
		run  func(t *testing.T, is *is.I, b *Book)
	}{
		{"one more crash bans for longer", func(t *testing.T, _ *is.I, b *Book) {
			crashThrice(b)
			time.Sleep(banFirst)
			assertBanned(t, b, false)
			report(b, run{"late", "e4", -1000, 10, 0}) // it began before the end of the ban
			assertBanned(t, b, false)
			report(b, run{"again", "e5", 0, 100, 0})
			assertBanned(t, b, true)
			time.Sleep(banFirst*banGrowth - time.Second)
			assertBanned(t, b, true)
		}},
		{"no ban lasts for longer than the longest", func(_ *testing.T, is *is.I, b *Book) {
			crashThrice(b)
			left := time.Duration(0)
			for i := range 6 {
				left, _ = b.Barred(1)
				is.True(left <= banLongest)
				time.Sleep(left + time.Second)
				report(b, run{"after " + strconv.Itoa(i), "e" + strconv.Itoa(i), 0, 100, 0})
			}
			is.True(left > banFirst*banGrowth)
		}},
		{"remembered for callers that come back after minutes", func(t *testing.T, _ *is.I, b *Book) {
			crashThrice(b)
			time.Sleep(rememberedFor)
			report(b, run{"again", "e4", 0, 100, 0})
			assertBanned(t, b, true)
		}},
		{"remembered no longer", func(t *testing.T, _ *is.I, b *Book) {
			crashThrice(b)
			time.Sleep(banFirst + rememberedFor + time.Second)
			report(b, run{"again", "e4", 0, 100, 0})
			assertBanned(t, b, false)
		}},
		{"crashes that lie far apart", func(t *testing.T, _ *is.I, b *Book) {
			for i := range crashesTolerated {
				report(b, run{strconv.Itoa(i), "e" + strconv.Itoa(i), 0, 100, 0})
				time.Sleep(suspectFor)
			}
			assertBanned(t, b, false)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			virtual(t, func(t *testing.T) { row.run(t, is.New(t), newBook()) })
		})
	}
}

// TestVerdicts tells one book what another one decides.
func TestVerdicts(t *testing.T) {
	virtual(t, func(t *testing.T) {
		is := is.New(t)
		one, other := newBook(), newBook()
		var heard []State
		one.OnVerdict(func(v Verdict) {
			heard = append(heard, v.State)
			other.Learn(v)
		})
		crashThrice(one)
		assertBanned(t, other, true)
		one.Served(1)
		assertBanned(t, other, false)
		is.Equal(heard, []State{Suspected, Banned, Cleared})
		other.Learn(Verdict{
			Identity: 3,
			State:    Suspected,
		})
		is.True(other.Suspected(3))
		is.True(other.Served(3)) // who serves it has something to say
		is.True(!other.Suspected(3))
	})
}

// TestBanToldOnce tells a book of a ban that it knows.
func TestBanToldOnce(t *testing.T) {
	is := is.New(t)
	b := newBook()
	told := 0
	b.OnVerdict(func(Verdict) { told++ })
	for range 3 {
		b.Learn(Verdict{
			Identity: 4,
			State:    Banned,
			For:      time.Minute,
			Times:    1,
		})
	}
	is.Equal(told, 1)
}

// TestBounds fills a book with what callers or a large failure bring.
func TestBounds(t *testing.T) {
	t.Run("suspects, those of most crashes kept", func(t *testing.T) {
		virtual(t, func(t *testing.T) {
			is := is.New(t)
			b := newBook()
			report(b, run{"a", "e1", 0, 100, 0}, run{"b", "e2", 110, 200, 0})
			for i := range 4 * maxSuspects {
				b.Report(Crash{
					Attempt:  "x" + strconv.Itoa(i),
					Endpoint: "x" + strconv.Itoa(i/100),
					Identity: Identity(100 + i),
					Began:    time.Now().Add(-time.Second),
					Ended:    time.Now(),
				})
			}
			is.True(b.Figures().Suspects <= maxSuspects)
			time.Sleep(SettleAfter)
			report(b, run{"c", "e3", 0, 100, 0})
			assertBanned(t, b, true)
		})
	})
	t.Run("bans, those that end last kept", func(t *testing.T) {
		virtual(t, func(t *testing.T) {
			is := is.New(t)
			b := newBook()
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
				time.Sleep(time.Millisecond)
			}
			is.True(b.Figures().Bans <= maxBans)
			is.True(len(b.Verdicts()) <= maxBans)
			assertBanned(t, b, true)
		})
	})
}

// BenchmarkReport reports crashes of requests of their own to a full book, as the loss of a
// failure domain does.
func BenchmarkReport(b *testing.B) {
	book := newBook()
	for i := 0; b.Loop(); i++ {
		book.Report(Crash{
			Attempt:  strconv.Itoa(i),
			Endpoint: strconv.Itoa(i / 16 % 1000),
			Identity: Identity(i),
			Began:    time.Now(),
			Ended:    time.Now(),
		})
	}
}

// BenchmarkEnter gives requests leave to run while many others are banned.
func BenchmarkEnter(b *testing.B) {
	book := newBook()
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
