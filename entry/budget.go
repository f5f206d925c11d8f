// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"sync"
	"time"
)

// Limits on retries.
const (
	// retryShare is the number of retries that each request adds to the budget.
	retryShare = 0.1
	// retryBurst is the maximum and the initial value of the budget, in retries.
	retryBurst = 20.0
	// maxDispatches bounds the attempts of one request that may have reached an endpoint.
	maxDispatches = 3
	// maxLeases bounds the tries to get a lease for a request that is not split into shares.
	maxLeases = 12
)

// budget limits retries to a fraction of the requests, so that the loss of many endpoints does
// not multiply the load.
type budget struct {
	mu sync.Mutex
	// tokens is the number of retries left.
	tokens float64
}

func newBudget() *budget {
	return &budget{
		tokens: retryBurst,
	}
}

// earn adds retryShare to the budget, once for each request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryBurst)
}

// spend takes one retry from the budget. It returns false if none is left.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Limits on the back-off between tries, before randomization.
const (
	minBackOff = 5 * time.Millisecond
	maxBackOff = 200 * time.Millisecond
)
