// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package limit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Quota holds the limits of a customer. Zero means no limit.
type Quota struct {
	// Rate is the limit on request starts per second.
	Rate float64
	// Concurrency is the limit on concurrently running requests.
	Concurrency int
}

// LoanRequest asks the quota owner of a customer for a loan.
type LoanRequest struct {
	// Customer is the id of the customer.
	Customer string
	// Borrower is the id of the borrowing instance.
	Borrower string
	// Starts is how many requests the borrower wants to start.
	Starts int
	// Running is how many requests the borrower wants to have running in total.
	Running int
}

// Loan is the part of a quota that is lent to a borrower.
type Loan struct {
	// Starts is how many requests the borrower may start.
	Starts int
	// Running is how many requests the borrower may have running in total.
	Running int
	// RunningValidFor is how long Running is valid.
	RunningValidFor time.Duration
	// RetryAfter is the time after which to ask again if the loan is smaller than requested; zero
	// otherwise.
	RetryAfter time.Duration
}

// DefaultValid is how long lent concurrency is valid by default.
const DefaultValid = 15 * time.Second

// concurrencyRetry is the time after which to ask again if the concurrency limit is reached.
const concurrencyRetry = time.Second

// Lender lends the quotas of the customers whose quota owner is this instance. The zero value is
// not usable; use NewLender.
type Lender struct {
	valid time.Duration

	mu        sync.Mutex
	customers map[string]*quotaState
}

// quotaState tracks what has been lent of one customer's quota.
type quotaState struct {
	quota   Quota
	bucket  *rate.Limiter
	running map[string]runningLoan
}

// runningLoan is the concurrency that is lent to one borrower.
type runningLoan struct {
	n     int
	until time.Time
}

// NewLender returns a lender whose loans of concurrency are valid for the given time; zero means
// DefaultValid.
func NewLender(valid time.Duration) *Lender {
	if valid == 0 {
		valid = DefaultValid
	}
	return &Lender{
		valid:     valid,
		customers: make(map[string]*quotaState),
	}
}

// Lend grants as much of a loan request as the customer's quota allows. A quota that differs from
// the last one starts with a full token bucket.
func (l *Lender) Lend(req LoanRequest, quota Quota, now time.Time) Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.customers[req.Customer]
	if state == nil || state.quota != quota {
		state = newQuotaState(quota, state)
		l.customers[req.Customer] = state
	}
	loan := Loan{
		RunningValidFor: l.valid,
	}
	loan.Starts, loan.RetryAfter = state.takeStarts(req.Starts, now)
	loan.Running = state.lendRunning(req, l.valid, now)
	if loan.Running < req.Running {
		loan.RetryAfter = max(loan.RetryAfter, concurrencyRetry)
	}
	return loan
}

// newQuotaState returns the state of a new quota, which keeps the concurrency that was lent under
// the old one.
func newQuotaState(quota Quota, old *quotaState) *quotaState {
	state := &quotaState{
		quota:   quota,
		bucket:  rate.NewLimiter(rate.Limit(quota.Rate), burst(quota.Rate)),
		running: make(map[string]runningLoan),
	}
	if old != nil {
		state.running = old.running
	}
	return state
}

// burst returns the capacity of a token bucket: the tokens of one second, but at least one.
func burst(r float64) int {
	return max(int(math.Ceil(r)), 1)
}

// takeStarts takes up to n tokens from the bucket. It returns the number taken and, if that is less
// than n, the time until the next token.
func (q *quotaState) takeStarts(n int, now time.Time) (int, time.Duration) {
	if q.quota.Rate <= 0 {
		return n, 0
	}
	taken := 0
	for taken < n && q.bucket.AllowN(now, 1) {
		taken++
	}
	if taken == n {
		return taken, 0
	}
	missing := 1 - q.bucket.TokensAt(now)
	return taken, time.Duration(missing / q.quota.Rate * float64(time.Second))
}

// lendRunning returns the concurrency lent to the borrower: what it asks for, as far as the limit
// minus the valid loans of other borrowers allows. It replaces the borrower's previous loan.
func (q *quotaState) lendRunning(req LoanRequest, valid time.Duration, now time.Time) int {
	if q.quota.Concurrency <= 0 {
		return req.Running
	}
	others := 0
	for borrower, loan := range q.running {
		switch {
		case loan.until.Before(now):
			delete(q.running, borrower)
		case borrower != req.Borrower:
			others += loan.n
		}
	}
	n := max(min(req.Running, q.quota.Concurrency-others), 0)
	q.running[req.Borrower] = runningLoan{
		n:     n,
		until: now.Add(valid),
	}
	return n
}
