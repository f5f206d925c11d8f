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

// The seed of the drawn cases is fixed, so that every run has the same verdict;
// -rapid.seed=0 draws others.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestLenderStaysWithinQuota checks, for any sequence of asks, that starts stay
// within burst + rate·t and that what runs stays within the concurrency.
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
				t.Fatalf("%d run, the limit is %d", total, b.Concurrency)
			}
			if most := float64(burst(b.Rate)) + b.Rate*now.Sub(start).Seconds(); float64(lent) > most+1e-6 {
				t.Fatalf("%d starts lent, at most %.1f are allowed", lent, most)
			}
		}
	})
}

// fakeOwners joins borrowers with one lender, which can be out of reach.
type fakeOwners struct {
	lender    *Lender
	instances int

	mu          sync.Mutex
	unreachable bool
}

var errUnreachable = errors.New("cut off")

func (k *fakeOwners) Borrow(_ context.Context, a LoanRequest, b Quota) (Loan, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.unreachable {
		return Loan{}, errUnreachable
	}
	return k.lender.Lend(a, b, time.Now()), nil
}

func (k *fakeOwners) InstanceCount() int { return k.instances }

func (k *fakeOwners) setUnreachable(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unreachable = cut
}

// requestContinuously asks for a start on each of n nodes every millisecond for a while, and
// returns how many were allowed.
func requestContinuously(t *testing.T, k *fakeOwners, b Quota, within time.Duration) int {
	t.Helper()
	var borrowers []*Borrower
	for i := range k.instances {
		w := NewBorrower(fmt.Sprintf("n%d", i), k)
		defer w.Close()
		borrowers = append(borrowers, w)
	}
	allowed := 0
	for range int(within / (10 * time.Millisecond)) {
		for _, w := range borrowers {
			if back, refusal := w.Acquire(t.Context(), "club", b); refusal == nil {
				allowed++
				back()
			} else if refusal.RetryAfter <= 0 {
				t.Fatal("a refusal must say when to come back")
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return allowed
}

// TestRateHoldsAcrossInstances proves that a customer's rate holds however many
// nodes its requests come in at, and that it can be used up.
func TestRateHoldsAcrossInstances(t *testing.T) {
	for _, c := range []struct {
		name  string
		nodes int
		cut   bool
		least int
		most  int
	}{
		{"one node", 1, false, 45, 60},
		{"eight nodes", 8, false, 45, 60},
		// Cut off, each node has a burst of one and its share of the rate.
		{"eight nodes cut off", 8, true, 40, 60},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := &fakeOwners{
					lender:    NewLender(0),
					instances: c.nodes,
				}
				k.setUnreachable(c.cut)
				// 5 a second for 10 s, and a burst of 5.
				got := requestContinuously(t, k, Quota{Rate: 5}, 10*time.Second)
				if got < c.least || got > c.most {
					t.Errorf("%d requests were allowed, want %d to %d", got, c.least, c.most)
				}
			})
		})
	}
}

// TestLoanExpiresDuringSuspension has an instance spend what it borrowed while it can't reach the lender,
// with the machine suspended before that or not. What was lent has lapsed in a suspension, as
// it has for the lender: what is in use already is all of the instance's share.
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
				k := &fakeOwners{
					lender:    NewLender(time.Minute),
					instances: 100,
				}
				w := NewBorrower("n0", k)
				defer w.Close()
				take := func() (func(), *Refusal) {
					return w.Acquire(t.Context(), "club", Quota{
						Concurrency: 10,
					})
				}
				held, refusal := take()
				is.True(refusal == nil)
				defer held()
				for range 11 { // often enough that several starts are borrowed at once
					time.Sleep(5 * time.Millisecond)
					back, lacks := take()
					is.True(lacks == nil)
					back()
				}
				k.setUnreachable(true)
				m.Suspend(row.suspended)
				_, refusal = take()
				is.Equal(refusal != nil, row.refused)
			})
		})
	}
}

// TestConcurrencyHoldsAcrossInstances proves that requests in flight stay within
// the limit over all nodes, that what a lost node borrowed comes back, and that
// a node that is cut off goes on with a share.
func TestConcurrencyHoldsAcrossInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k := &fakeOwners{
			lender:    NewLender(0),
			instances: 3,
		}
		a, b := NewBorrower("a", k), NewBorrower("b", k)
		defer b.Close()
		bounds := Quota{
			Concurrency: 6,
		}
		take := func(w *Borrower) (int, []func()) {
			var back []func()
			for {
				f, refusal := w.Acquire(t.Context(), "club", bounds)
				if refusal != nil {
					is.True(refusal.Concurrency)
					return len(back), back
				}
				back = append(back, f)
			}
		}
		n, _ := take(a)
		is.Equal(n, 6)
		n, _ = take(b)
		is.Equal(n, 0)
		time.Sleep(time.Minute) // a renews what it uses
		n, _ = take(b)
		is.Equal(n, 0)
		a.Close() // a dies with its six
		time.Sleep(DefaultValid + time.Second)
		n, backs := take(b)
		is.Equal(n, 6)
		for _, f := range backs {
			f()
		}
		k.setUnreachable(true)
		time.Sleep(DefaultValid + time.Second)
		n, _ = take(b)
		is.Equal(n, 2) // a third of six
	})
}
