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

// newTestRegistry returns an empty book. Its tests run in virtual time.
func newTestRegistry() *Registry {
	return New(time.Now, nil, logr.Discard())
}

// inVirtualTime runs a test in inVirtualTime time.
func inVirtualTime(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}

// crashedAttempt is an attempt of a request that crashed its endpoint, in ms from the test's start.
type crashedAttempt struct {
	attempt  string
	endpoint string
	startMs  int
	endMs    int
	// identity is that of the request; zero stands for the request 1.
	identity Identity
}

// reportCrashes reports runs as they end.
func reportCrashes(b *Registry, runs ...crashedAttempt) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	slices.SortStableFunc(runs, func(x, y crashedAttempt) int { return cmp.Compare(x.endMs, y.endMs) })
	for _, r := range runs {
		time.Sleep(time.Until(at(r.endMs)))
		b.ReportCrash(Crash{
			Attempt:   r.attempt,
			Endpoint:  r.endpoint,
			Identity:  max(r.identity, 1),
			StartedAt: at(r.startMs),
			EndedAt:   at(r.endMs),
		})
	}
	time.Sleep(SettleDelay)
	synctest.Wait()
}

// assertBanned checks whether the request 1 is banned.
func assertBanned(t *testing.T, b *Registry, want bool) {
	t.Helper()
	_, banned := b.BanRemaining(1)
	is.New(t).Equal(banned, want)
}

// TestConsecutiveCrashes reports crashes of attempts that follow each other, or don't, and of endpoints
// that end for another cause.
func TestConsecutiveCrashes(t *testing.T) {
	for _, row := range []struct {
		name   string
		runs   []crashedAttempt
		banned bool
	}{
		{"two", []crashedAttempt{{"a", "e1", 0, 100, 0}, {"b", "e2", 110, 200, 0}}, false},
		{"three", []crashedAttempt{{"a", "e1", 0, 100, 0}, {"b", "e2", 110, 200, 0}, {"c", "e3", 205, 300, 0}}, true},
		{"three at once", []crashedAttempt{{"a", "e1", 0, 100, 0}, {"b", "e2", 10, 100, 0}, {"c", "e3", 90, 101, 0}}, false},
		{"short ones at once", []crashedAttempt{{"a", "e1", 70, 100, 0}, {"b", "e2", 80, 101, 0}, {"c", "e3", 90, 102, 0}, {"d", "e4", 95, 103, 0}}, false},
		{"some on the same endpoint", []crashedAttempt{{"a", "e1", 0, 100, 0}, {"b", "e1", 60, 110, 0}, {"c", "e1", 70, 160, 0}}, false},
		{"two waves of many", []crashedAttempt{{"a", "e1", 0, 1000, 0}, {"b", "e2", 10, 1000, 0}, {"c", "e3", 1100, 2000, 0}, {"d", "e4", 1200, 2000, 0}, {"e", "e5", 1300, 2001, 0}}, false},
		{"three with others beside them", []crashedAttempt{{"a", "e1", 0, 100, 0}, {"x", "e4", 10, 90, 0}, {"b", "e2", 110, 200, 0}, {"y", "e5", 120, 210, 0}, {"c", "e3", 205, 300, 0}}, true},
		{"each by two copies at once", []crashedAttempt{{"a", "e1", 0, 100, 0}, {"b", "e2", 0, 100, 0}, {"c", "e3", 110, 200, 0}, {"d", "e4", 110, 200, 0}, {"e", "e5", 210, 300, 0}, {"f", "e6", 210, 300, 0}}, true},
		{"the same attempt again", []crashedAttempt{{"a", "e1", 0, 100, 0}, {"a", "e2", 200, 300, 0}, {"a", "e3", 400, 500, 0}}, false},
		{"clocks of two instances differ by the way", []crashedAttempt{{"a", "e1", 0, 100, 0}, {"b", "e2", 70, 200, 0}, {"c", "e3", 170, 300, 0}}, true},
		{"endpoints end together that ran others", []crashedAttempt{
			{"a", "e1", 0, 100, 0}, {"x", "e4", 0, 110, 2},
			{"b", "e2", 110, 200, 0}, {"y", "e5", 0, 190, 3},
			{"c", "e3", 205, 300, 0}, {"z", "e6", 0, 340, 4},
		}, false},
		{"endpoints that ran others end at other times", []crashedAttempt{
			{"a", "e1", 0, 100, 0}, {"x", "e4", 0, 160, 2},
			{"b", "e2", 110, 250, 0}, {"y", "e5", 0, 320, 3},
			{"c", "e3", 260, 400, 0}, {"z", "e6", 0, 460, 4},
		}, true},
		{"others on the same endpoint", []crashedAttempt{
			{"a", "e1", 0, 100, 0}, {"x", "e1", 0, 101, 2},
			{"b", "e2", 110, 200, 0}, {"y", "e2", 0, 201, 3},
			{"c", "e3", 205, 300, 0}, {"z", "e3", 0, 301, 4},
		}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				b := newTestRegistry()
				reportCrashes(b, row.runs...)
				assertBanned(t, b, row.banned)
			})
		})
	}
}

// TestConsecutiveCrashesOfOneRequest counts attempts of one try that crash their endpoints within milliseconds
// of each other; those of different tries are taken for one moment.
func TestConsecutiveCrashesOfOneRequest(t *testing.T) {
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
			inVirtualTime(t, func(t *testing.T) {
				b := newTestRegistry()
				for i, before := range row.before {
					began := time.Now()
					time.Sleep(2 * time.Millisecond)
					b.ReportCrash(Crash{
						Attempt:         "a" + strconv.Itoa(i),
						PreviousAttempt: before,
						Endpoint:        "e" + strconv.Itoa(i),
						Identity:        1,
						StartedAt:       began,
						EndedAt:         time.Now(),
					})
				}
				time.Sleep(SettleDelay)
				synctest.Wait()
				assertBanned(t, b, row.banned)
			})
		})
	}
}

// TestJointPrefillCrashes has a request crash both endpoints that work on each attempt. The end of the
// second is told by another request that it answered, which knows nothing of the first.
func TestJointPrefillCrashes(t *testing.T) {
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
			inVirtualTime(t, func(t *testing.T) {
				b := newTestRegistry()
				for i := range crashLimit {
					began := time.Now()
					time.Sleep(100 * time.Millisecond)
					end := Crash{
						Attempt:        "a" + strconv.Itoa(i),
						Endpoint:       "e" + strconv.Itoa(i),
						OtherEndpoints: row.others(i),
						Identity:       1,
						StartedAt:      began,
						EndedAt:        time.Now(),
					}
					b.ReportCrash(end)
					end.Attempt, end.Endpoint, end.OtherEndpoints = "x"+strconv.Itoa(i), "r"+strconv.Itoa(i), nil
					end.Identity = Identity(2 + i)
					b.ReportCrash(end)
				}
				time.Sleep(SettleDelay)
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
	crashes := []crashedAttempt{{"a", "e1", 50, 100, 0}, {"b", "e2", 180, 250, 0}, {"c", "e3", 320, 400, 0}}
	beside := []crashedAttempt{{"x", "e1", 0, 100, 2}, {"y", "e2", 110, 250, 2}, {"z", "e3", 260, 400, 2}}
	for _, row := range []struct {
		name string
		runs []crashedAttempt
	}{
		{"reported after it", slices.Concat(crashes, beside)},
		{"reported before it", slices.Concat(beside, crashes)},
	} {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				b := newTestRegistry()
				reportCrashes(b, row.runs...)
				assertBanned(t, b, true)
				_, other := b.BanRemaining(2)
				is.New(t).True(!other)
				reportCrashes(b, crashedAttempt{"w", "e4", 0, 100, 2})
				_, other = b.BanRemaining(2)
				is.New(t).True(!other)
			})
		})
	}
}

// TestReportedOutOfOrder tells a book of crashes long after they were, the last one first, as
// an owner hears of them that is new.
func TestReportedOutOfOrder(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		b := newTestRegistry()
		start := time.Now()
		time.Sleep(5 * time.Second)
		for i := range crashLimit {
			began := start.Add(time.Duration(crashLimit-i) * 100 * time.Millisecond)
			b.ReportCrash(Crash{
				Attempt:   strconv.Itoa(i),
				Endpoint:  "e" + strconv.Itoa(i),
				Identity:  1,
				StartedAt: began,
				EndedAt:   began.Add(90 * time.Millisecond),
			})
		}
		time.Sleep(SettleDelay)
		synctest.Wait()
		assertBanned(t, b, true)
	})
}

// crashThrice has the request 1 crash three endpoints.
func crashThrice(b *Registry) {
	at := time.Now().String()
	reportCrashes(b, crashedAttempt{at + "a", "e1", 0, 90, 0}, crashedAttempt{at + "b", "e2", 100, 190, 0}, crashedAttempt{at + "c", "e3", 200, 290, 0})
}

// TestAnswerClears has an attempt answered whole at some moment.
func TestAnswerClears(t *testing.T) {
	for _, row := range []struct {
		name string
		run  func(is *is.I, b *Registry)
		// banned states whether the request 1 is banned at the end.
		banned bool
	}{
		{"between crashes", func(is *is.I, b *Registry) {
			reportCrashes(b, crashedAttempt{"a", "e1", 0, 100, 0}, crashedAttempt{"b", "e2", 110, 200, 0})
			is.True(b.ReportAnswered(1))
			reportCrashes(b, crashedAttempt{"c", "e3", 0, 100, 0}, crashedAttempt{"d", "e4", 110, 200, 0})
		}, false},
		{"before the third crash counts", func(is *is.I, b *Registry) {
			reportCrashes(b, crashedAttempt{"a", "e1", 0, 100, 0}, crashedAttempt{"b", "e2", 110, 200, 0})
			b.ReportCrash(Crash{
				Attempt:   "c",
				Endpoint:  "e3",
				Identity:  1,
				StartedAt: time.Now().Add(-90 * time.Millisecond),
				EndedAt:   time.Now(),
			})
			is.True(b.ReportAnswered(1))
			time.Sleep(SettleDelay)
		}, false},
		{"after the ban, by an attempt that was under way", func(is *is.I, b *Registry) {
			crashThrice(b)
			is.True(b.ReportAnswered(1))
		}, false},
		{"another request", func(is *is.I, b *Registry) {
			crashThrice(b)
			is.True(!b.ReportAnswered(2))
		}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				b := newTestRegistry()
				row.run(is.New(t), b)
				assertBanned(t, b, row.banned)
			})
		})
	}
}

// TestBanExpires lets bans end.
func TestBanExpires(t *testing.T) {
	for _, row := range []struct {
		name string
		run  func(t *testing.T, is *is.I, b *Registry)
	}{
		{"one more crash bans for longer", func(t *testing.T, _ *is.I, b *Registry) {
			crashThrice(b)
			time.Sleep(firstBanDuration)
			assertBanned(t, b, false)
			reportCrashes(b, crashedAttempt{"late", "e4", -1000, 10, 0}) // it began before the end of the ban
			assertBanned(t, b, false)
			reportCrashes(b, crashedAttempt{"again", "e5", 0, 100, 0})
			assertBanned(t, b, true)
			time.Sleep(firstBanDuration*banGrowthFactor - time.Second)
			assertBanned(t, b, true)
		}},
		{"no ban lasts for longer than the longest", func(_ *testing.T, is *is.I, b *Registry) {
			crashThrice(b)
			left := time.Duration(0)
			for i := range 6 {
				left, _ = b.BanRemaining(1)
				is.True(left <= maxBanDuration)
				time.Sleep(left + time.Second)
				reportCrashes(b, crashedAttempt{"after " + strconv.Itoa(i), "e" + strconv.Itoa(i), 0, 100, 0})
			}
			is.True(left > firstBanDuration*banGrowthFactor)
		}},
		{"remembered for callers that come back after minutes", func(t *testing.T, _ *is.I, b *Registry) {
			crashThrice(b)
			time.Sleep(minBanRetention)
			reportCrashes(b, crashedAttempt{"again", "e4", 0, 100, 0})
			assertBanned(t, b, true)
		}},
		{"remembered no longer", func(t *testing.T, _ *is.I, b *Registry) {
			crashThrice(b)
			time.Sleep(firstBanDuration + minBanRetention + time.Second)
			reportCrashes(b, crashedAttempt{"again", "e4", 0, 100, 0})
			assertBanned(t, b, false)
		}},
		{"crashes that lie far apart", func(t *testing.T, _ *is.I, b *Registry) {
			for i := range crashLimit {
				reportCrashes(b, crashedAttempt{strconv.Itoa(i), "e" + strconv.Itoa(i), 0, 100, 0})
				time.Sleep(suspectRetention)
			}
			assertBanned(t, b, false)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) { row.run(t, is.New(t), newTestRegistry()) })
		})
	}
}

// TestVerdictsPropagate tells one book what another one decides.
func TestVerdictsPropagate(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		one, other := newTestRegistry(), newTestRegistry()
		var heard []State
		one.OnVerdict(func(v Verdict) {
			heard = append(heard, v.State)
			other.ApplyVerdict(v)
		})
		crashThrice(one)
		assertBanned(t, other, true)
		one.ReportAnswered(1)
		assertBanned(t, other, false)
		is.Equal(heard, []State{Suspected, Banned, Cleared})
		other.ApplyVerdict(Verdict{
			Identity: 3,
			State:    Suspected,
		})
		is.True(other.Suspected(3))
		is.True(other.ReportAnswered(3)) // who serves it has something to say
		is.True(!other.Suspected(3))
	})
}

// TestKnownBanNotifiedOnce tells a book of a ban that it knows.
func TestKnownBanNotifiedOnce(t *testing.T) {
	is := is.New(t)
	b := newTestRegistry()
	told := 0
	b.OnVerdict(func(Verdict) { told++ })
	for range 3 {
		b.ApplyVerdict(Verdict{
			Identity:  4,
			State:     Banned,
			Remaining: time.Minute,
			BanCount:  1,
		})
	}
	is.Equal(told, 1)
}

// TestBounds fills a book with what callers or a large failure bring.
func TestBounds(t *testing.T) {
	t.Run("suspects, those of most crashes kept", func(t *testing.T) {
		inVirtualTime(t, func(t *testing.T) {
			is := is.New(t)
			b := newTestRegistry()
			reportCrashes(b, crashedAttempt{"a", "e1", 0, 100, 0}, crashedAttempt{"b", "e2", 110, 200, 0})
			for i := range 4 * maxSuspects {
				b.ReportCrash(Crash{
					Attempt:   "x" + strconv.Itoa(i),
					Endpoint:  "x" + strconv.Itoa(i/100),
					Identity:  Identity(100 + i),
					StartedAt: time.Now().Add(-time.Second),
					EndedAt:   time.Now(),
				})
			}
			is.True(b.Stats().Suspects <= maxSuspects)
			time.Sleep(SettleDelay)
			reportCrashes(b, crashedAttempt{"c", "e3", 0, 100, 0})
			assertBanned(t, b, true)
		})
	})
	t.Run("bans, those that end last kept", func(t *testing.T) {
		inVirtualTime(t, func(t *testing.T) {
			is := is.New(t)
			b := newTestRegistry()
			b.ApplyVerdict(Verdict{
				Identity:  1,
				State:     Banned,
				Remaining: time.Hour,
				BanCount:  2,
			})
			for i := range 4 * maxBans {
				b.ApplyVerdict(Verdict{
					Identity:  Identity(100 + i),
					State:     Banned,
					Remaining: time.Minute,
					BanCount:  1,
				})
				time.Sleep(time.Millisecond)
			}
			is.True(b.Stats().Bans <= maxBans)
			is.True(len(b.Verdicts()) <= maxBans)
			assertBanned(t, b, true)
		})
	})
}

// BenchmarkReportCrash reports crashes of requests of their own to a full book, as the loss of a
// failure domain does.
func BenchmarkReportCrash(b *testing.B) {
	book := newTestRegistry()
	for i := 0; b.Loop(); i++ {
		book.ReportCrash(Crash{
			Attempt:   strconv.Itoa(i),
			Endpoint:  strconv.Itoa(i / 16 % 1000),
			Identity:  Identity(i),
			StartedAt: time.Now(),
			EndedAt:   time.Now(),
		})
	}
}

// BenchmarkAdmit gives requests leave to run while many others are banned.
func BenchmarkAdmit(b *testing.B) {
	book := newTestRegistry()
	for i := range maxBans {
		book.ApplyVerdict(Verdict{
			Identity:  Identity(i),
			State:     Banned,
			Remaining: time.Minute,
			BanCount:  1,
		})
	}
	for i := 0; b.Loop(); i++ {
		if p, _, ok := book.Admit(Identity(maxBans + i)); ok {
			p.Release()
		}
	}
}
