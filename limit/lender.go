// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package limit

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Bounds are a customer's limits. Zero means no limit.
type Bounds struct {
	// Rate bounds the starts, in requests a second.
	Rate float64
	// Concurrency bounds the requests that run at once.
	Concurrency int
}

// Ask is what a borrower wants.
type Ask struct {
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
	// Valid is how long Running holds.
	Valid time.Duration
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
	customers map[string]*account
}

// account is what was lent of one customer's allowance.
type account struct {
	bounds  Bounds
	bucket  *rate.Limiter
	running map[string]lent
}

// lent is the running allowance of one borrower.
type lent struct {
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
		customers: make(map[string]*account),
	}
}

// Lend answers an ask under the customer's bounds.
func (l *Lender) Lend(a Ask, b Bounds, now time.Time) Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.customers[a.Customer]
	if c == nil || c.bounds != b {
		c = newAccount(b, c)
		l.customers[a.Customer] = c
	}
	loan := Loan{
		Valid: l.valid,
	}
	loan.Starts, loan.RetryAfter = c.starts(a.Starts, now)
	loan.Running = c.run(a, l.valid, now)
	if loan.Running < a.Running {
		loan.RetryAfter = max(loan.RetryAfter, concurrencyRetry)
	}
	return loan
}

// newAccount returns an account under new bounds that keeps what runs.
func newAccount(b Bounds, old *account) *account {
	c := &account{
		bounds:  b,
		bucket:  rate.NewLimiter(rate.Limit(b.Rate), burst(b.Rate)),
		running: make(map[string]lent),
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

// starts takes up to n from the bucket.
func (c *account) starts(n int, now time.Time) (int, time.Duration) {
	if c.bounds.Rate <= 0 {
		return n, 0
	}
	got := 0
	for got < n && c.bucket.AllowN(now, 1) {
		got++
	}
	if got == n {
		return got, 0
	}
	missing := 1 - c.bucket.TokensAt(now)
	return got, time.Duration(missing / c.bounds.Rate * float64(time.Second))
}

// run lends running allowance beside what others hold.
func (c *account) run(a Ask, valid time.Duration, now time.Time) int {
	if c.bounds.Concurrency <= 0 {
		return a.Running
	}
	others := 0
	for who, t := range c.running {
		switch {
		case t.until.Before(now):
			delete(c.running, who)
		case who != a.Borrower:
			others += t.n
		}
	}
	n := max(min(a.Running, c.bounds.Concurrency-others), 0)
	c.running[a.Borrower] = lent{
		n:     n,
		until: now.Add(valid),
	}
	return n
}
