// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package limit

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/linkmast/linkmast/internal/steady"
)

// QuotaOwners asks the keeper of a customer.
type QuotaOwners interface {
	// Borrow asks the customer's keeper, wherever it is.
	Borrow(ctx context.Context, a LoanRequest, b Quota) (Loan, error)
	// InstanceCount returns how many instances there are.
	InstanceCount() int
}

// The measures of a Borrower.
const (
	// borrowTimeout bounds the wait for a keeper.
	borrowTimeout = 250 * time.Millisecond
	// batchTime is how much of the recent rate is borrowed at once.
	batchTime = 200 * time.Millisecond
	// startsValid is how long borrowed starts may be spent.
	startsValid = time.Second
	// renewInterval is how often running allowance in use is asked for again.
	renewInterval = DefaultValid / 3
)

// Refusal says which limit was reached.
type Refusal struct {
	// Concurrency is true when it was the limit on concurrency.
	Concurrency bool
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// Borrower spends the allowance of all customers on one instance. Close ends
// it.
type Borrower struct {
	// Done is closed when the borrower has stopped.
	Done chan struct{}

	self   string
	owners QuotaOwners
	cancel context.CancelFunc

	mu        sync.Mutex
	customers map[string]*borrowed
}

// borrowed is what an instance holds of one customer's allowance.
type borrowed struct {
	// lock is held while the keeper is asked, so that one ask goes out at a
	// time.
	lock         sync.Mutex
	bounds       Quota
	starts       int
	startsUntil  time.Time
	running      int
	runningUntil time.Time
	inUse        int
	// recent counts starts since since, to size the next batch.
	recent     int
	since      time.Time
	localShare *rate.Limiter
}

// NewBorrower starts a borrower for the instance self.
func NewBorrower(self string, keepers QuotaOwners) *Borrower {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Borrower{
		Done:      make(chan struct{}),
		self:      self,
		owners:    keepers,
		cancel:    cancel,
		customers: make(map[string]*borrowed),
	}
	go b.loop(ctx)
	return b
}

// Close stops the borrower and waits for it.
func (b *Borrower) Close() {
	b.cancel()
	<-b.Done
}

// Acquire spends the allowance for one request. It returns what gives it back, or
// a refusal.
func (b *Borrower) Acquire(ctx context.Context, customer string, bounds Quota) (func(), *Refusal) {
	if bounds == (Quota{}) {
		return func() {}, nil
	}
	w := b.borrowedFor(customer)
	w.lock.Lock()
	defer w.lock.Unlock()
	now := steady.Now()
	if w.bounds != bounds {
		w.bounds = bounds
		w.starts = 0
		w.runningUntil = time.Time{}
		w.localShare = nil
	}
	if !w.allowsOneMore(now) {
		if refusal := b.borrow(ctx, customer, w, now); refusal != nil {
			return nil, refusal
		}
	}
	w.starts--
	w.inUse++
	w.recent++
	return func() {
		w.lock.Lock()
		defer w.lock.Unlock()
		w.inUse--
	}, nil
}

func (b *Borrower) borrowedFor(customer string) *borrowed {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.customers[customer]
	if w == nil {
		w = &borrowed{
			since: steady.Now(),
		}
		b.customers[customer] = w
	}
	return w
}

// allowsOneMore states whether one more request is allowed by what was borrowed.
func (w *borrowed) allowsOneMore(now time.Time) bool {
	starts := w.starts > 0 && now.Before(w.startsUntil)
	running := w.bounds.Concurrency <= 0 || w.inUse < w.running && now.Before(w.runningUntil)
	return starts && running
}

// borrow asks the keeper for what the next requests need.
func (b *Borrower) borrow(ctx context.Context, customer string, w *borrowed, now time.Time) *Refusal {
	want := w.batchSize(now)
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	loan, err := b.owners.Borrow(ctx, LoanRequest{
		Customer: customer,
		Borrower: b.self,
		Starts:   want,
		Running:  w.inUse + want,
	}, w.bounds)
	if err != nil {
		return b.spendLocal(w, now)
	}
	w.starts = loan.Starts
	w.startsUntil = now.Add(startsValid)
	w.running = loan.Running
	w.runningUntil = now.Add(loan.RunningValidFor)
	if w.allowsOneMore(now) {
		return nil
	}
	return &Refusal{
		Concurrency: loan.Starts > 0,
		RetryAfter:  loan.RetryAfter,
	}
}

// batchSize returns how many starts to borrow: one, or the recent rate's worth.
func (w *borrowed) batchSize(now time.Time) int {
	age := now.Sub(w.since)
	n := 1
	if age > 0 {
		n = max(n, int(float64(w.recent)*batchTime.Seconds()/max(age.Seconds(), batchTime.Seconds())))
	}
	if age > startsValid {
		w.recent = 0
		w.since = now
	}
	return n
}

// spendLocal spends the local share while the keeper can't be reached.
func (b *Borrower) spendLocal(w *borrowed, now time.Time) *Refusal {
	nodes := max(b.owners.InstanceCount(), 1)
	share := max(w.bounds.Concurrency/nodes, 1)
	if w.bounds.Concurrency > 0 && w.inUse >= share {
		return &Refusal{
			Concurrency: true,
			RetryAfter:  concurrencyRetry,
		}
	}
	if w.bounds.Rate > 0 {
		if w.localShare == nil {
			w.localShare = rate.NewLimiter(rate.Limit(w.bounds.Rate/float64(nodes)), 1)
		}
		if !w.localShare.AllowN(now, 1) {
			return &Refusal{
				RetryAfter: time.Duration(float64(nodes) / w.bounds.Rate * float64(time.Second)),
			}
		}
	}
	w.starts = 1
	return nil
}

// loop asks again for the running allowance that is in use.
func (b *Borrower) loop(ctx context.Context) {
	defer close(b.Done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(renewInterval):
		}
		b.mu.Lock()
		names := make(map[string]*borrowed, len(b.customers))
		for name, w := range b.customers {
			names[name] = w
		}
		b.mu.Unlock()
		for name, w := range names {
			b.renew(ctx, name, w)
		}
	}
}

func (b *Borrower) renew(ctx context.Context, customer string, w *borrowed) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.inUse == 0 || w.bounds.Concurrency <= 0 {
		return
	}
	now := steady.Now()
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	loan, err := b.owners.Borrow(ctx, LoanRequest{
		Customer: customer,
		Borrower: b.self,
		Running:  w.inUse,
	}, w.bounds)
	if err != nil {
		return
	}
	w.running = loan.Running
	w.runningUntil = now.Add(loan.RunningValidFor)
}
