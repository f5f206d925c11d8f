// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package limit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Quota are a customer's limits. Zero means no limit.
type Quota struct {
	// Rate bounds the starts, in requests a second.
	Rate float64
	// Concurrency bounds the requests that run at once.
	Concurrency int
}

// LoanRequest is what a borrower wants.
type LoanRequest struct {
	// Customer names the customer.
	Customer string
	// Borrower names the instance.
	Borrower string
	// Starts is how many requests it wants to start.
	Starts int
	// Running is how many it wants to have running in all.
	Running int
}

// Loan is what a borrower gets.
type Loan struct {
	// Starts is how many requests may start.
	Starts int
	// Running is how many may run in all.
	Running int
	// RunningValidFor is how long Running holds.
	RunningValidFor time.Duration
	// RetryAfter is when to ask again when Starts or Running is short.
	RetryAfter time.Duration
}

// DefaultValid is how long running allowance holds by default.
const DefaultValid = 15 * time.Second

// concurrencyRetry is when to ask again for running allowance.
const concurrencyRetry = time.Second

// Lender lends the allowance of the customers that the instance keeps. The
// zero value is not usable; use NewLender.
type Lender struct {
	valid time.Duration

	mu        sync.Mutex
	customers map[string]*quotaState
}

// quotaState is what was lent of one customer's allowance.
type quotaState struct {
	bounds  Quota
	bucket  *rate.Limiter
	running map[string]runningLoan
}

// runningLoan is the running allowance of one borrower.
type runningLoan struct {
	n     int
	until time.Time
}

// NewLender returns a lender whose running allowance holds for valid; zero
// means DefaultValid.
func NewLender(valid time.Duration) *Lender {
	if valid == 0 {
		valid = DefaultValid
	}
	return &Lender{
		valid:     valid,
		customers: make(map[string]*quotaState),
	}
}

// Lend answers an ask under the customer's bounds.
func (l *Lender) Lend(a LoanRequest, b Quota, now time.Time) Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.customers[a.Customer]
	if c == nil || c.bounds != b {
		c = newQuotaState(b, c)
		l.customers[a.Customer] = c
	}
	loan := Loan{
		RunningValidFor: l.valid,
	}
	loan.Starts, loan.RetryAfter = c.takeStarts(a.Starts, now)
	loan.Running = c.lendRunning(a, l.valid, now)
	if loan.Running < a.Running {
		loan.RetryAfter = max(loan.RetryAfter, concurrencyRetry)
	}
	return loan
}

// newQuotaState returns an account under new bounds that keeps what runs.
func newQuotaState(b Quota, old *quotaState) *quotaState {
	c := &quotaState{
		bounds:  b,
		bucket:  rate.NewLimiter(rate.Limit(b.Rate), burst(b.Rate)),
		running: make(map[string]runningLoan),
	}
	if old != nil {
		c.running = old.running
	}
	return c
}

// burst is one second's worth of a rate, at least one.
func burst(r float64) int {
	return max(int(math.Ceil(r)), 1)
}

// takeStarts takes up to n from the bucket.
func (q *quotaState) takeStarts(n int, now time.Time) (int, time.Duration) {
	if q.bounds.Rate <= 0 {
		return n, 0
	}
	got := 0
	for got < n && q.bucket.AllowN(now, 1) {
		got++
	}
	if got == n {
		return got, 0
	}
	missing := 1 - q.bucket.TokensAt(now)
	return got, time.Duration(missing / q.bounds.Rate * float64(time.Second))
}

// lendRunning lends running allowance beside what others hold.
func (q *quotaState) lendRunning(a LoanRequest, valid time.Duration, now time.Time) int {
	if q.bounds.Concurrency <= 0 {
		return a.Running
	}
	others := 0
	for who, t := range q.running {
		switch {
		case t.until.Before(now):
			delete(q.running, who)
		case who != a.Borrower:
			others += t.n
		}
	}
	n := max(min(a.Running, q.bounds.Concurrency-others), 0)
	q.running[a.Borrower] = runningLoan{
		n:     n,
		until: now.Add(valid),
	}
	return n
}
