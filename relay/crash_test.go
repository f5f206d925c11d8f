// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/quarantine"
	"github.com/linkmast/linkmast/route"
)

// fakeGuard is a quarantine.Guard that records reports and gives fixed answers.
type fakeGuard struct {
	suspected bool
	banned    bool

	mu      sync.Mutex
	crashes []quarantine.Crash
	served  int
	// progress has the number of parts of each report of progress, and servedParts that of each
	// report of a complete answer.
	progress    []int
	servedParts []int
}

// Admit implements quarantine.Guard.
func (l *fakeGuard) Admit(k quarantine.Keys) (quarantine.Admission, *quarantine.Ban) {
	return quarantine.Admission{
		SingleEndpoint: l.suspected,
		Release:        func() {},
	}, l.BanOf(k)
}

// BanOf implements quarantine.Guard.
func (l *fakeGuard) BanOf(k quarantine.Keys) *quarantine.Ban {
	if !l.banned {
		return nil
	}
	return &quarantine.Ban{
		Identity:  k.Request,
		Remaining: time.Minute,
	}
}

// Suspected implements quarantine.Guard.
func (l *fakeGuard) Suspected(quarantine.Keys) bool { return l.suspected }

// ReportCrash implements quarantine.Guard.
func (l *fakeGuard) ReportCrash(c quarantine.Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes = append(l.crashes, c)
}

// ReportAnswered implements quarantine.Guard.
func (l *fakeGuard) ReportAnswered(k quarantine.Keys, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served++
	l.servedParts = append(l.servedParts, len(k.Parts))
}

// ReportProgress implements quarantine.Guard.
func (l *fakeGuard) ReportProgress(parts []quarantine.Identity, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress = append(l.progress, len(parts))
}

// newCrashTest returns a relay with a guard and an attempt at endpoint e1 with e2 as a helper
// of its joint prefill. Only the endpoints in reachable accept connections.
func newCrashTest(l *fakeGuard, reachable ...string) (*Relay, *attempt) {
	r := New(Settings{}, Parts{
		Quarantine: l,
		Check: func(_ context.Context, address string) error {
			if slices.Contains(reachable, address) {
				return nil
			}
			return errors.New("refused")
		},
		Log: logr.Discard(),
	})
	return r, &attempt{
		relay: r,
		job: &job{
			history: quarantine.RequestHistory{
				Identity: 9,
			},
			route: &route.Route{
				Kind:        route.Streaming,
				MaxAttempts: 2,
			},
		},
		grant: pool.Grant{
			Address: "e1",
			Shares: []pool.PrefillShare{{
				Address: "e2",
			}},
		},
		startedAt: steady.Now(),
	}
}

// TestReportOutcome guards against missed crashes and against crashes that are reported for
// endpoints that still run.
func TestReportOutcome(t *testing.T) {
	all := []string{"e1", "e2"}
	interrupted := result{
		outcome:        pool.Failed,
		connectionLost: true,
	}
	blamed := result{
		outcome: pool.Rejected,
		culprit: "e2",
	}
	for _, row := range []struct {
		name      string
		res       result
		reachable []string
		// took is how long the attempt lasted.
		took time.Duration
		// crashed is the endpoint whose crash must be reported, with the other of e1 and e2 in
		// OtherEndpoints; empty for none.
		crashed string
		served  int
	}{
		{"interrupted, endpoint down", interrupted, []string{"e2"}, time.Second, "e1", 0},
		{"interrupted, helper down", interrupted, []string{"e1"}, time.Second, "e2", 0},
		{"interrupted, both down", interrupted, nil, time.Second, "e1", 0},
		{"interrupted, both up", interrupted, all, time.Second, "", 0},
		{"silent, endpoint down", result{outcome: pool.Silent}, []string{"e2"}, time.Second, "e1", 0},
		{"silent, both down", result{outcome: pool.Silent}, nil, time.Second, "e1", 0},
		{"silent, both up", result{outcome: pool.Silent}, all, time.Second, "", 0},
		{"unreachable", result{outcome: pool.Unreachable}, nil, time.Second, "", 0},
		{"rejected", result{outcome: pool.Rejected}, nil, time.Second, "", 0},
		{"helper ended during the attempt", blamed, []string{"e1"}, time.Second, "e2", 0},
		{"helper was down before", blamed, []string{"e1"}, 10 * time.Millisecond, "", 0},
		{"error answer", result{outcome: pool.Failed, status: http.StatusInternalServerError}, nil, time.Second, "", 0},
		{"caller disconnected", result{outcome: pool.Abandoned}, nil, time.Second, "", 0},
		{"answered", result{outcome: pool.Served, answered: true}, nil, time.Second, "", 1},
		{"error answer forwarded", result{outcome: pool.Failed, answered: true}, nil, time.Second, "", 0},
	} {
		for _, suspected := range []bool{false, true} {
			t.Run(row.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					l := &fakeGuard{
						suspected: suspected,
					}
					r, attempt := newCrashTest(l, row.reachable...)
					time.Sleep(row.took)
					r.reportOutcome(attempt, row.res)
					if suspected {
						is.Equal(len(l.crashes) > 0, row.crashed != "") // reported before the next attempt starts
					}
					synctest.Wait()
					is.Equal(l.served, row.served)
					if row.crashed == "" {
						is.Equal(len(l.crashes), 0)
						return
					}
					is.Equal(len(l.crashes), 1)
					is.Equal(l.crashes[0].Endpoint, row.crashed)
					is.Equal(l.crashes[0].OtherEndpoints, slices.DeleteFunc([]string{"e1", "e2"}, func(e string) bool { return e == row.crashed }))
					is.Equal(l.crashes[0].Identity, quarantine.Identity(9))
					is.Equal(l.crashes[0].EndedAt.Sub(l.crashes[0].StartedAt), row.took)
				})
			})
		}
	}
}

// TestPreviousAttempt guards against a wrong chain of crashes: each names the last failed
// attempt before it and skips rejected ones.
func TestPreviousAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &fakeGuard{
			suspected: true,
		}
		r, attempt := newCrashTest(l)
		interrupted := result{
			outcome:        pool.Failed,
			connectionLost: true,
		}
		away := result{
			outcome: pool.Rejected,
		}
		for i, res := range []result{interrupted, away, interrupted, away, away, interrupted} {
			attempt.request.ID = strconv.Itoa(i)
			r.reportOutcome(attempt, res)
		}
		var before []string
		for _, c := range l.crashes {
			before = append(before, c.PreviousAttempt)
		}
		is.Equal(before, []string{"", "0", "2"})
	})
}

// TestWaitSettled guards against a suspected request that runs again before it is decided
// whether its crash counts.
func TestWaitSettled(t *testing.T) {
	for _, row := range []struct {
		name      string
		suspected bool
		waits     time.Duration
	}{
		{"suspected", true, quarantine.DecisionDelay},
		{"first crash", false, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, attempt := newCrashTest(&fakeGuard{
					suspected: row.suspected,
				})
				r.reportOutcome(attempt, result{
					outcome:        pool.Failed,
					connectionLost: true,
				})
				began := time.Now()
				attempt.job.history.WaitSettled(t.Context())
				is.New(t).Equal(time.Since(began), row.waits)
				synctest.Wait()
			})
		})
	}
}

// TestBanDuringRequest guards against a 503 for a request that may have run when it is banned.
func TestBanDuringRequest(t *testing.T) {
	for _, row := range []struct {
		name   string
		ran    bool
		status int
	}{
		{"before it was sent", false, http.StatusServiceUnavailable},
		{"after an attempt", true, http.StatusBadGateway},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			r, attempt := newCrashTest(&fakeGuard{
				banned: true,
			})
			attempt.job.mayHaveRun = row.ran
			attempt.job.deadline = steady.Now().Add(time.Minute)
			ref := r.checkBan(attempt.job)
			is.Equal(ref.status, row.status)
			is.Equal(ref.after > 0, !row.ran)
		})
	}
}

// TestSingleEndpointAfterBan guards against a request that crashes a second endpoint right
// after its ban has ended.
func TestSingleEndpointAfterBan(t *testing.T) {
	is := is.New(t)
	r, attempt := newCrashTest(&fakeGuard{
		suspected: true,
	})
	j := attempt.job
	j.route.Resumable = true
	release, ref := r.enterQuarantine(j)
	is.True(ref == nil)
	defer release()
	j.out = newAnswer(nil, j)
	j.mayHaveRun, j.sends = true, 1
	j.deadline = steady.Now().Add(time.Minute)
	again, _ := r.retryOrGiveUp(t.Context(), j, attempt, result{
		outcome:        pool.Failed,
		interrupted:    true,
		connectionLost: true,
	})
	is.True(!again)
}

// TestProgressReportedOnce guards against parts of prompts whose answers the quarantine learns of too
// early, never, or twice.
func TestProgressReportedOnce(t *testing.T) {
	for _, row := range []struct {
		name        string
		events      []int
		progress    []int
		servedParts []int
	}{
		{"no stream", nil, nil, []int{2}},
		{"short stream", []int{1, 2}, nil, []int{2}},
		{"stream", []int{1, 2, 3, 4, 9}, []int{2}, []int{0}},
		{"many events at once", []int{9, 10}, []int{2}, []int{0}},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			guard := &fakeGuard{}
			l, a := newCrashTest(guard)
			a.job.history.Parts = []quarantine.Identity{1, 2}
			for _, n := range row.events {
				a.reportProgress(n)
			}
			l.reportOutcome(a, result{
				outcome:  pool.Served,
				answered: true,
			})
			is.Equal(guard.progress, row.progress)
			is.Equal(guard.servedParts, row.servedParts)
		})
	}
}
