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

// newTestRegistry returns an empty registry for tests in virtual time.
func newTestRegistry() *Registry {
	return New(time.Now, Dependencies{}, logr.Discard())
}

// inVirtualTime runs a test in virtual time.
func inVirtualTime(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}

// request returns the keys of a request without parts.
func request(id Identity) Keys {
	return Keys{
		Request: id,
	}
}

// answered reports a complete answer to a request, and whether others need to know of it.
func answered(b *Registry, id Identity) bool {
	return len(b.ReportAnswered(request(id), time.Now())) > 0
}

// crashedAttempt is an attempt that crashed its endpoint. Times are in ms from the call of
// reportCrashes.
type crashedAttempt struct {
	attempt  string
	endpoint string
	startMs  int
	endMs    int
	// identity is the identity of the request; zero stands for request 1.
	identity Identity
}

// reportCrashes reports the crashes in the order and at the times of their ends, and waits until
// they are settled.
func reportCrashes(b *Registry, crashes ...crashedAttempt) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	slices.SortStableFunc(crashes, func(x, y crashedAttempt) int { return cmp.Compare(x.endMs, y.endMs) })
	for _, r := range crashes {
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

// assertBanned checks whether request 1 is banned.
func assertBanned(t *testing.T, b *Registry, want bool) {
	t.Helper()
	is.New(t).Equal(b.BanOf(request(1)) != nil, want)
}

// TestConsecutiveCrashes guards against bans by crashes that overlap or have another cause, and
// against crashes in a row that ban nothing.
func TestConsecutiveCrashes(t *testing.T) {
	for _, row := range []struct {
		name   string
		runs   []crashedAttempt
		banned bool
	}{
		{"two crashes", []crashedAttempt{{"a", "e1", 0, 100, 0}, {"b", "e2", 110, 200, 0}}, false},
		{"three crashes", []crashedAttempt{{"a", "e1", 0, 100, 0}, {"b", "e2", 110, 200, 0}, {"c", "e3", 205, 300, 0}}, true},
		{"three concurrent crashes", []crashedAttempt{{"a", "e1", 0, 100, 0}, {"b", "e2", 10, 100, 0}, {"c", "e3", 90, 101, 0}}, false},
		{"short concurrent attempts", []crashedAttempt{{"a", "e1", 70, 100, 0}, {"b", "e2", 80, 101, 0}, {"c", "e3", 90, 102, 0}, {"d", "e4", 95, 103, 0}}, false},
		{"all on one endpoint", []crashedAttempt{{"a", "e1", 0, 100, 0}, {"b", "e1", 60, 110, 0}, {"c", "e1", 70, 160, 0}}, false},
		{"two waves of concurrent crashes", []crashedAttempt{{"a", "e1", 0, 1000, 0}, {"b", "e2", 10, 1000, 0}, {"c", "e3", 1100, 2000, 0}, {"d", "e4", 1200, 2000, 0}, {"e", "e5", 1300, 2001, 0}}, false},
		{"three with concurrent copies", []crashedAttempt{{"a", "e1", 0, 100, 0}, {"x", "e4", 10, 90, 0}, {"b", "e2", 110, 200, 0}, {"y", "e5", 120, 210, 0}, {"c", "e3", 205, 300, 0}}, true},
		{"three by two concurrent copies each", []crashedAttempt{{"a", "e1", 0, 100, 0}, {"b", "e2", 0, 100, 0}, {"c", "e3", 110, 200, 0}, {"d", "e4", 110, 200, 0}, {"e", "e5", 210, 300, 0}, {"f", "e6", 210, 300, 0}}, true},
		{"one attempt reported at several endpoints", []crashedAttempt{{"a", "e1", 0, 100, 0}, {"a", "e2", 200, 300, 0}, {"a", "e3", 400, 500, 0}}, false},
		{"reports with different delays", []crashedAttempt{{"a", "e1", 0, 100, 0}, {"b", "e2", 70, 200, 0}, {"c", "e3", 170, 300, 0}}, true},
		{"endpoints of other requests end at the same times", []crashedAttempt{
			{"a", "e1", 0, 100, 0}, {"x", "e4", 0, 110, 2},
			{"b", "e2", 110, 200, 0}, {"y", "e5", 0, 190, 3},
			{"c", "e3", 205, 300, 0}, {"z", "e6", 0, 340, 4},
		}, false},
		{"endpoints of other requests end at other times", []crashedAttempt{
			{"a", "e1", 0, 100, 0}, {"x", "e4", 0, 160, 2},
			{"b", "e2", 110, 250, 0}, {"y", "e5", 0, 320, 3},
			{"c", "e3", 260, 400, 0}, {"z", "e6", 0, 460, 4},
		}, true},
		{"other requests on the same endpoints", []crashedAttempt{
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

// incarnationCrash is an attempt that crashed an incarnation of an endpoint.
type incarnationCrash struct {
	crashedAttempt

	incarnation Incarnation
}

// TestEndsOfIncarnations guards against taking the ends of two incarnations of an endpoint for one: other
// endpoints then seem not to have ended together with one of them, or a request to have crashed fewer.
func TestEndsOfIncarnations(t *testing.T) {
	for _, row := range []struct {
		name   string
		runs   []incarnationCrash
		banned bool
	}{
		{"other endpoints end again", []incarnationCrash{
			{crashedAttempt{"w", "e2", 0, 100, 2}, 21},
			{crashedAttempt{"a", "e1", 400, 500, 1}, 11}, {crashedAttempt{"x", "e2", 410, 500, 3}, 22},
			{crashedAttempt{"b", "e3", 810, 900, 1}, 31}, {crashedAttempt{"y", "e1", 820, 900, 4}, 12},
			{crashedAttempt{"c", "e4", 1210, 1300, 1}, 41}, {crashedAttempt{"z", "e1", 1220, 1300, 5}, 13},
		}, false},
		{"an endpoint ends again under the request", []incarnationCrash{
			{crashedAttempt{"a", "e1", 0, 100, 1}, 11}, {crashedAttempt{"b", "e2", 110, 300, 1}, 21},
			{crashedAttempt{"c", "e1", 310, 500, 1}, 12},
		}, true},
		{"one end, and an outdated incarnation in a report", []incarnationCrash{
			{crashedAttempt{"a", "e1", 0, 100, 1}, 12}, {crashedAttempt{"x", "e1", 10, 101, 2}, 11},
			{crashedAttempt{"b", "e2", 110, 200, 1}, 21}, {crashedAttempt{"c", "e3", 210, 300, 1}, 31},
		}, true},
		{"endpoints that end together stay silent for later attempts", []incarnationCrash{
			{crashedAttempt{"v", "e1", 0, 100, 2}, 11}, {crashedAttempt{"w", "e2", 0, 100, 3}, 21},
			{crashedAttempt{"x", "e3", 0, 100, 4}, 31},
			{crashedAttempt{"a", "e1", 110, 300, 1}, 11}, {crashedAttempt{"b", "e2", 310, 500, 1}, 21},
			{crashedAttempt{"c", "e3", 510, 700, 1}, 31},
		}, false},
		{"unknown incarnations", []incarnationCrash{
			{crashedAttempt{"a", "e1", 0, 100, 1}, 0}, {crashedAttempt{"b", "e2", 110, 300, 1}, 0},
			{crashedAttempt{"c", "e1", 310, 500, 1}, 0},
		}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				b := newTestRegistry()
				start := time.Now()
				at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
				for _, r := range row.runs {
					time.Sleep(time.Until(at(r.endMs)))
					b.ReportCrash(Crash{
						Attempt:     r.attempt,
						Endpoint:    r.endpoint,
						Incarnation: r.incarnation,
						Identity:    r.identity,
						StartedAt:   at(r.startMs),
						EndedAt:     at(r.endMs),
					})
				}
				time.Sleep(SettleDelay)
				synctest.Wait()
				assertBanned(t, b, row.banned)
			})
		})
	}
}

// TestSurvey guards against a ban by a crash beside which other endpoints ended that ran no request,
// and against a survey that takes earlier ends, or those under the request itself, for such ones.
func TestSurvey(t *testing.T) {
	for _, row := range []struct {
		name   string
		ended  []EndedEndpoint
		banned bool
	}{
		{"no other end", nil, true},
		{"an idle endpoint", []EndedEndpoint{{"e8", 81}}, false},
		{"endpoints that the request has crashed", []EndedEndpoint{{"e1", 11}, {"e2", 21}}, true},
		{"an endpoint that ended before, under another request", []EndedEndpoint{{"e9", 91}}, true},
		{"an endpoint that ended long before and is still down", []EndedEndpoint{{"e0", 1}}, true},
		{"an endpoint that ended long before and again", []EndedEndpoint{{"e0", 2}}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				is := is.New(t)
				surveys := 0
				b := New(time.Now, Dependencies{
					Survey: func(address string, _ time.Time) []EndedEndpoint {
						surveys++
						is.Equal(address, "e3")
						time.Sleep(20 * time.Millisecond)
						return row.ended
					},
				}, logr.Discard())
				b.ReportCrash(Crash{
					Attempt:     "v",
					Endpoint:    "e0",
					Incarnation: 1,
					Identity:    2,
					StartedAt:   time.Now(),
					EndedAt:     time.Now(),
				})
				time.Sleep(2 * time.Second)
				reportCrashes(b, []crashedAttempt{
					{"a", "e1", 0, 100, 0}, {"x", "e9", 0, 160, 2}, {"b", "e2", 110, 300, 0}, {"c", "e3", 305, 500, 0},
				}...)
				time.Sleep(20 * time.Millisecond)
				synctest.Wait()
				is.Equal(surveys, 1) // none before the last crash
				assertBanned(t, b, row.banned)
			})
		})
	}
}

// TestConsecutiveCrashesOfOneRequest guards against attempts of one request, known to follow each
// other, that don't count because they crash their endpoints within milliseconds.
func TestConsecutiveCrashesOfOneRequest(t *testing.T) {
	for _, row := range []struct {
		name     string
		previous [3]string
		banned   bool
	}{
		{"one request", [3]string{"", "a0", "a1"}, true},
		{"separate requests", [3]string{"", "", ""}, false},
		{"attempts of a different request", [3]string{"", "b0", "b1"}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				b := newTestRegistry()
				for i, before := range row.previous {
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

// TestJointPrefillCrashes guards against a request that escapes a ban because each attempt crashes
// both endpoints of a joint prefill. Only another request reports the end of the second one.
func TestJointPrefillCrashes(t *testing.T) {
	for _, row := range []struct {
		name   string
		others func(i int) []string
		banned bool
	}{
		{"known joint prefill", func(i int) []string { return []string{"r" + strconv.Itoa(i)} }, true},
		{"no other endpoint known", func(int) []string { return nil }, false},
		{"a different endpoint known", func(int) []string { return []string{"r9"} }, false},
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

// TestOthersOnTheSameEndpoints guards against a ban of a harmless request that was already running
// at each endpoint before the request that crashes the endpoints arrived.
func TestOthersOnTheSameEndpoints(t *testing.T) {
	crashes := []crashedAttempt{{"a", "e1", 50, 100, 0}, {"b", "e2", 180, 250, 0}, {"c", "e3", 320, 400, 0}}
	beside := []crashedAttempt{{"x", "e1", 0, 100, 2}, {"y", "e2", 110, 250, 2}, {"z", "e3", 260, 400, 2}}
	for _, row := range []struct {
		name string
		runs []crashedAttempt
	}{
		{"harmless request reported last", slices.Concat(crashes, beside)},
		{"harmless request reported first", slices.Concat(beside, crashes)},
	} {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				b := newTestRegistry()
				reportCrashes(b, row.runs...)
				assertBanned(t, b, true)
				other := b.BanOf(request(2)) != nil
				is.New(t).True(!other)
				reportCrashes(b, crashedAttempt{"w", "e4", 0, 100, 2})
				other = b.BanOf(request(2)) != nil
				is.New(t).True(!other)
			})
		})
	}
}

// TestReportedOutOfOrder guards against crashes that don't count because they are reported late and
// in reverse order, as happens to a new owner.
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

// crashThrice reports crashes of three endpoints by request 1.
func crashThrice(b *Registry) {
	at := time.Now().String()
	reportCrashes(b, crashedAttempt{at + "a", "e1", 0, 90, 0}, crashedAttempt{at + "b", "e2", 100, 190, 0}, crashedAttempt{at + "c", "e3", 200, 290, 0})
}

// TestAnswerClears guards against crashes and bans that still count after a complete answer.
func TestAnswerClears(t *testing.T) {
	for _, row := range []struct {
		name string
		run  func(is *is.I, b *Registry)
		// banned reports whether request 1 is banned at the end.
		banned bool
	}{
		{"between crashes", func(is *is.I, b *Registry) {
			reportCrashes(b, crashedAttempt{"a", "e1", 0, 100, 0}, crashedAttempt{"b", "e2", 110, 200, 0})
			is.True(answered(b, 1))
			reportCrashes(b, crashedAttempt{"c", "e3", 0, 100, 0}, crashedAttempt{"d", "e4", 110, 200, 0})
		}, false},
		{"before the third crash is settled", func(is *is.I, b *Registry) {
			reportCrashes(b, crashedAttempt{"a", "e1", 0, 100, 0}, crashedAttempt{"b", "e2", 110, 200, 0})
			b.ReportCrash(Crash{
				Attempt:   "c",
				Endpoint:  "e3",
				Identity:  1,
				StartedAt: time.Now().Add(-90 * time.Millisecond),
				EndedAt:   time.Now(),
			})
			is.True(answered(b, 1))
			time.Sleep(SettleDelay)
		}, false},
		{"after the ban, by an attempt that was running", func(is *is.I, b *Registry) {
			crashThrice(b)
			is.True(answered(b, 1))
		}, false},
		{"another request answered", func(is *is.I, b *Registry) {
			crashThrice(b)
			is.True(!answered(b, 2))
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

// TestBanExpires guards against wrong durations of bans, of successive bans, and of their
// retention.
func TestBanExpires(t *testing.T) {
	for _, row := range []struct {
		name string
		run  func(t *testing.T, is *is.I, b *Registry)
	}{
		{"the next crash bans for longer", func(t *testing.T, _ *is.I, b *Registry) {
			crashThrice(b)
			time.Sleep(firstBanDuration)
			assertBanned(t, b, false)
			reportCrashes(b, crashedAttempt{"late", "e4", -1000, 10, 0}) // it started before the end of the ban
			assertBanned(t, b, false)
			reportCrashes(b, crashedAttempt{"again", "e5", 0, 100, 0})
			assertBanned(t, b, true)
			time.Sleep(firstBanDuration*banGrowthFactor - time.Second)
			assertBanned(t, b, true)
		}},
		{"bans are limited to the maximum", func(_ *testing.T, is *is.I, b *Registry) {
			crashThrice(b)
			left := time.Duration(0)
			for i := range 6 {
				left = b.BanOf(request(1)).Remaining
				is.True(left <= maxBanDuration)
				time.Sleep(left + time.Second)
				reportCrashes(b, crashedAttempt{"after " + strconv.Itoa(i), "e" + strconv.Itoa(i), 0, 100, 0})
			}
			is.True(left > firstBanDuration*banGrowthFactor)
		}},
		{"kept during the retention time", func(t *testing.T, _ *is.I, b *Registry) {
			crashThrice(b)
			time.Sleep(minBanRetention)
			reportCrashes(b, crashedAttempt{"again", "e4", 0, 100, 0})
			assertBanned(t, b, true)
		}},
		{"not kept after the retention time", func(t *testing.T, _ *is.I, b *Registry) {
			crashThrice(b)
			time.Sleep(firstBanDuration + minBanRetention + time.Second)
			reportCrashes(b, crashedAttempt{"again", "e4", 0, 100, 0})
			assertBanned(t, b, false)
		}},
		{"crashes far apart don't count together", func(t *testing.T, _ *is.I, b *Registry) {
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

// TestVerdictsPropagate guards against verdicts that a registry doesn't notify or another doesn't
// apply.
func TestVerdictsPropagate(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		one, other := newTestRegistry(), newTestRegistry()
		var states []State
		one.OnVerdict(func(v Verdict) {
			states = append(states, v.State)
			other.ApplyVerdict(v)
		})
		crashThrice(one)
		assertBanned(t, other, true)
		answered(one, 1)
		assertBanned(t, other, false)
		is.Equal(states, []State{Suspected, Banned, Cleared})
		other.ApplyVerdict(Verdict{
			Identity: 3,
			State:    Suspected,
		})
		is.True(other.Suspected(request(3)))
		is.True(answered(other, 3)) // the answer cleared a suspect
		is.True(!other.Suspected(request(3)))
	})
}

// TestKnownBanNotifiedOnce guards against repeated notifications of a known ban.
func TestKnownBanNotifiedOnce(t *testing.T) {
	is := is.New(t)
	b := newTestRegistry()
	notified := 0
	b.OnVerdict(func(Verdict) { notified++ })
	for range 3 {
		b.ApplyVerdict(Verdict{
			Identity:  4,
			State:     Banned,
			Remaining: time.Minute,
			BanCount:  1,
		})
	}
	is.Equal(notified, 1)
}

// TestBounds guards against registries that grow without bound, and against the eviction of the
// most important entries.
func TestBounds(t *testing.T) {
	t.Run("suspects with the most crashes are kept", func(t *testing.T) {
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
	t.Run("bans that end last are kept", func(t *testing.T) {
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

// BenchmarkReportCrash reports crashes of many different requests to a full registry, as when a
// failure domain is lost.
func BenchmarkReportCrash(b *testing.B) {
	registry := newTestRegistry()
	for i := 0; b.Loop(); i++ {
		registry.ReportCrash(Crash{
			Attempt:   strconv.Itoa(i),
			Endpoint:  strconv.Itoa(i / 16 % 1000),
			Identity:  Identity(i),
			StartedAt: time.Now(),
			EndedAt:   time.Now(),
		})
	}
}

// BenchmarkAdmit admits requests while many others are banned.
func BenchmarkAdmit(b *testing.B) {
	registry := newTestRegistry()
	for i := range maxBans {
		registry.ApplyVerdict(Verdict{
			Identity:  Identity(i),
			State:     Banned,
			Remaining: time.Minute,
			BanCount:  1,
		})
	}
	for i := 0; b.Loop(); i++ {
		if p, ban := registry.Admit(request(Identity(maxBans + i))); ban == nil {
			p.Release()
		}
	}
}
