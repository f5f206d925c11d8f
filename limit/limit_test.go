// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package limit

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/linkmast/linkmast/internal/steady/steadytest"
)

// The seed is fixed, so that every run tests the same cases; -rapid.seed=0 draws others.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestLenderStaysWithinQuota guards against loans above a quota: for any sequence of loan requests
// the starts stay within burst + rate·t and the running requests within the concurrency.
func TestLenderStaysWithinQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Quota{
			Rate:        float64(rapid.IntRange(1, 20).Draw(t, "rate")) / 2,
			Concurrency: rapid.IntRange(1, 10).Draw(t, "concurrency"),
		}
		l := NewLender(time.Minute)
		now := start
		lent := 0
		running := make(map[string]int)
		for range rapid.IntRange(1, 30).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			who := fmt.Sprintf("n%d", rapid.IntRange(0, 3).Draw(t, "who"))
			loan := l.Lend(LoanRequest{
				Customer: "club",
				Borrower: who,
				Starts:   rapid.IntRange(0, 5).Draw(t, "starts"),
				Running:  rapid.IntRange(0, 12).Draw(t, "running"),
			}, b, now)
			lent += loan.Starts
			running[who] = loan.Running
			total := 0
			for _, n := range running {
				total += n
			}
			if total > b.Concurrency {
				t.Fatalf("%d requests may run, the limit is %d", total, b.Concurrency)
			}
			if most := float64(burst(b.Rate)) + b.Rate*now.Sub(start).Seconds(); float64(lent) > most+1e-6 {
				t.Fatalf("%d starts lent, at most %.1f are allowed", lent, most)
			}
		}
	})
}

// fakeOwners connects borrowers with one lender, which may be made unreachable.
type fakeOwners struct {
	lender    *Lender
	instances int

	mu          sync.Mutex
	unreachable bool
}

var errUnreachable = errors.New("quota owner is unreachable")

func (k *fakeOwners) Borrow(_ context.Context, a LoanRequest, b Quota) (Loan, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.unreachable {
		return Loan{}, errUnreachable
	}
	return k.lender.Lend(a, b, time.Now()), nil
}

func (k *fakeOwners) InstanceCount() int { return k.instances }

func (k *fakeOwners) setUnreachable(unreachable bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unreachable = unreachable
}

// requestContinuously sends requests at all instances every 10 ms for a while, and returns how many
// were admitted.
func requestContinuously(t *testing.T, owners *fakeOwners, quota Quota, within time.Duration) int {
	t.Helper()
	var borrowers []*Borrower
	for i := range owners.instances {
		borrower := NewBorrower(fmt.Sprintf("n%d", i), owners)
		defer borrower.Close()
		borrowers = append(borrowers, borrower)
	}
	admitted := 0
	for range int(within / (10 * time.Millisecond)) {
		for _, w := range borrowers {
			if release, refusal := w.Acquire(t.Context(), "club", quota); refusal == nil {
				admitted++
				release()
			} else if refusal.RetryAfter <= 0 {
				t.Fatal("refusal without RetryAfter")
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return admitted
}

// TestRateHoldsAcrossInstances guards against admitting more requests than the quota's rate allows,
// or far fewer, when a customer's requests arrive at several instances.
func TestRateHoldsAcrossInstances(t *testing.T) {
	for _, c := range []struct {
		name        string
		instances   int
		unreachable bool
		least       int
		most        int
	}{
		{"one instance", 1, false, 45, 60},
		{"eight instances", 8, false, 45, 60},
		// Without its quota owner, each instance has a burst of one and its share of the rate.
		{"eight instances without the quota owner", 8, true, 40, 60},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := &fakeOwners{
					lender:    NewLender(0),
					instances: c.instances,
				}
				k.setUnreachable(c.unreachable)
				// The quota allows 5 requests per second for 10 s, and a burst of 5.
				got := requestContinuously(t, k, Quota{Rate: 5}, 10*time.Second)
				if got < c.least || got > c.most {
					t.Errorf("%d requests were allowed, want %d to %d", got, c.least, c.most)
				}
			})
		})
	}
}

// TestLoanExpiresDuringSuspension guards against the use of a loan that expired while the instance
// was suspended. The instance then has only its local share, which the running request uses up.
func TestLoanExpiresDuringSuspension(t *testing.T) {
	for _, row := range []struct {
		name      string
		suspended time.Duration
		refused   bool
	}{
		{"not suspended", 0, false},
		{"suspended", startsValid, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := steadytest.New(t)
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				owners := &fakeOwners{
					lender:    NewLender(time.Minute),
					instances: 100,
				}
				w := NewBorrower("n0", owners)
				defer w.Close()
				acquire := func() (func(), *Refusal) {
					return w.Acquire(t.Context(), "club", Quota{
						Concurrency: 10,
					})
				}
				release, refusal := acquire()
				is.True(refusal == nil)
				defer release()
				for range 11 { // enough for several starts to be borrowed at once
					time.Sleep(5 * time.Millisecond)
					back, denied := acquire()
					is.True(denied == nil)
					back()
				}
				owners.setUnreachable(true)
				m.Suspend(row.suspended)
				_, refusal = acquire()
				is.Equal(refusal != nil, row.refused)
			})
		})
	}
}

// TestConcurrencyHoldsAcrossInstances guards against more running requests than the quota allows
// over all instances, against lost loans of an instance that died, and against an instance that
// admits nothing without the quota owner.
func TestConcurrencyHoldsAcrossInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owners := &fakeOwners{
			lender:    NewLender(0),
			instances: 3,
		}
		a, b := NewBorrower("a", owners), NewBorrower("b", owners)
		defer b.Close()
		quota := Quota{
			Concurrency: 6,
		}
		acquireAll := func(w *Borrower) (int, []func()) {
			var releases []func()
			for {
				f, refusal := w.Acquire(t.Context(), "club", quota)
				if refusal != nil {
					is.True(refusal.Concurrency)
					return len(releases), releases
				}
				releases = append(releases, f)
			}
		}
		n, _ := acquireAll(a)
		is.Equal(n, 6)
		n, _ = acquireAll(b)
		is.Equal(n, 0)
		time.Sleep(time.Minute) // a renews its loan
		n, _ = acquireAll(b)
		is.Equal(n, 0)
		a.Close() // a dies while it holds all six
		time.Sleep(DefaultValid + time.Second)
		n, releases := acquireAll(b)
		is.Equal(n, 6)
		for _, f := range releases {
			f()
		}
		owners.setUnreachable(true)
		time.Sleep(DefaultValid + time.Second)
		n, _ = acquireAll(b)
		is.Equal(n, 2) // a third of six
	})
}
