// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package limit

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/linkmast/linkmast/internal/steady"
)

// QuotaOwners gives access to the quota owners of customers.
type QuotaOwners interface {
	// Borrow asks the quota owner of the request's customer for a loan. The owner may be this
	// instance.
	Borrow(ctx context.Context, req LoanRequest, quota Quota) (Loan, error)
	// InstanceCount returns the number of instances.
	InstanceCount() int
}

// The times of a Borrower.
const (
	// borrowTimeout bounds a call to a quota owner.
	borrowTimeout = 250 * time.Millisecond
	// batchTime is the time for which the starts of one loan should last at the recent rate.
	batchTime = 200 * time.Millisecond
	// startsValid is how long borrowed starts may be used.
	startsValid = time.Second
	// renewInterval is how often concurrency in use is borrowed again.
	renewInterval = DefaultValid / 3
)

// Refusal says which limit a request exceeded.
type Refusal struct {
	// Concurrency is true if the request exceeded the concurrency limit, and false if it exceeded
	// the rate limit.
	Concurrency bool
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

// Borrower borrows from the quotas of all customers for one instance. Close must be called to stop
// it.
type Borrower struct {
	// Done is closed when the borrower has stopped.
	Done chan struct{}

	self   string
	owners QuotaOwners
	cancel context.CancelFunc

	mu        sync.Mutex
	customers map[string]*holdings
}

// holdings is what an instance has borrowed of one customer's quota.
type holdings struct {
	// lock protects all fields. It is held during calls to the quota owner, so that there is only
	// one at a time.
	lock  sync.Mutex
	quota Quota
	// starts is how many more requests may start until startsUntil.
	starts      int
	startsUntil time.Time
	// running is how many requests may run at once until runningUntil, and inUse how many do.
	running      int
	runningUntil time.Time
	inUse        int
	// recent counts the starts from the time since on. They determine the size of the next batch.
	recent int
	since  time.Time
	// localShare limits the starts while the quota owner can't be reached; nil until it is needed.
	localShare *rate.Limiter
}

// NewBorrower starts a borrower for the instance with the given id.
func NewBorrower(self string, owners QuotaOwners) *Borrower {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Borrower{
		Done:      make(chan struct{}),
		self:      self,
		owners:    owners,
		cancel:    cancel,
		customers: make(map[string]*holdings),
	}
	go b.loop(ctx)
	return b
}

// Close stops the borrower and waits for it.
func (b *Borrower) Close() {
	b.cancel()
	<-b.Done
}

// Acquire admits one request under a customer's quota. It returns a function that must be called
// when the request ends, or a refusal.
func (b *Borrower) Acquire(ctx context.Context, customer string, quota Quota) (func(), *Refusal) {
	if quota == (Quota{}) {
		return func() {}, nil
	}
	h := b.holdingsOf(customer)
	h.lock.Lock()
	defer h.lock.Unlock()
	now := steady.Now()
	if h.quota != quota {
		h.quota = quota
		h.starts = 0
		h.runningUntil = time.Time{}
		h.localShare = nil
	}
	if !h.allowsOneMore(now) {
		if refusal := b.borrow(ctx, customer, h, now); refusal != nil {
			return nil, refusal
		}
	}
	h.starts--
	h.inUse++
	h.recent++
	return func() {
		h.lock.Lock()
		defer h.lock.Unlock()
		h.inUse--
	}, nil
}

func (b *Borrower) holdingsOf(customer string) *holdings {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.customers[customer]
	if h == nil {
		h = &holdings{
			since: steady.Now(),
		}
		b.customers[customer] = h
	}
	return h
}

// allowsOneMore reports whether what was borrowed admits one more request.
func (h *holdings) allowsOneMore(now time.Time) bool {
	starts := h.starts > 0 && now.Before(h.startsUntil)
	running := h.quota.Concurrency <= 0 || h.inUse < h.running && now.Before(h.runningUntil)
	return starts && running
}

// borrow asks the quota owner for what the next requests need, and uses the local share if the call
// fails. It returns a refusal if neither admits another request.
func (b *Borrower) borrow(ctx context.Context, customer string, h *holdings, now time.Time) *Refusal {
	want := h.batchSize(now)
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	loan, err := b.owners.Borrow(ctx, LoanRequest{
		Customer: customer,
		Borrower: b.self,
		Starts:   want,
		Running:  h.inUse + want,
	}, h.quota)
	if err != nil {
		return b.spendLocal(h, now)
	}
	h.starts = loan.Starts
	h.startsUntil = now.Add(startsValid)
	h.running = loan.Running
	h.runningUntil = now.Add(loan.RunningValidFor)
	if h.allowsOneMore(now) {
		return nil
	}
	return &Refusal{
		Concurrency: loan.Starts > 0,
		RetryAfter:  loan.RetryAfter,
	}
}

// batchSize returns how many starts to borrow: what the recent rate uses in batchTime, but at least
// one. It restarts the measurement of the rate after startsValid.
func (h *holdings) batchSize(now time.Time) int {
	age := now.Sub(h.since)
	n := 1
	if age > 0 {
		n = max(n, int(float64(h.recent)*batchTime.Seconds()/max(age.Seconds(), batchTime.Seconds())))
	}
	if age > startsValid {
		h.recent = 0
		h.since = now
	}
	return n
}

// spendLocal admits one request under the local share, an equal part of the quota for each
// instance, after a failed call to the quota owner.
func (b *Borrower) spendLocal(h *holdings, now time.Time) *Refusal {
	instances := max(b.owners.InstanceCount(), 1)
	share := max(h.quota.Concurrency/instances, 1)
	if h.quota.Concurrency > 0 && h.inUse >= share {
		return &Refusal{
			Concurrency: true,
			RetryAfter:  concurrencyRetry,
		}
	}
	if h.quota.Rate > 0 {
		if h.localShare == nil {
			h.localShare = rate.NewLimiter(rate.Limit(h.quota.Rate/float64(instances)), 1)
		}
		if !h.localShare.AllowN(now, 1) {
			return &Refusal{
				RetryAfter: time.Duration(float64(instances) / h.quota.Rate * float64(time.Second)),
			}
		}
	}
	h.starts = 1
	return nil
}

// loop renews the concurrency in use until ctx ends.
func (b *Borrower) loop(ctx context.Context) {
	defer close(b.Done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(renewInterval):
		}
		b.mu.Lock()
		held := make(map[string]*holdings, len(b.customers))
		for name, h := range b.customers {
			held[name] = h
		}
		b.mu.Unlock()
		for name, h := range held {
			b.renew(ctx, name, h)
		}
	}
}

// renew borrows the concurrency in use again. If the call fails, the previous loan remains.
func (b *Borrower) renew(ctx context.Context, customer string, h *holdings) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.inUse == 0 || h.quota.Concurrency <= 0 {
		return
	}
	now := steady.Now()
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	loan, err := b.owners.Borrow(ctx, LoanRequest{
		Customer: customer,
		Borrower: b.self,
		Running:  h.inUse,
	}, h.quota)
	if err != nil {
		return
	}
	h.running = loan.Running
	h.runningUntil = now.Add(loan.RunningValidFor)
}
