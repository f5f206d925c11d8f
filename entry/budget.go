// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"sync"
	"time"
)

// The measures of retries.
const (
	// retryShare is how many retries each request adds to the budget.
	retryShare = 0.1
	// retryBurst bounds what the budget can hold, and is what it starts with.
	retryBurst = 20.0
	// maxDispatches bounds the attempts of one request that may have reached
	// an endpoint.
	maxDispatches = 3
	// maxLeases bounds how often one request asks for a lease.
	maxLeases = 12
)

// budget bounds retries to a share of the requests, so that the loss of many
// endpoints does not multiply the load.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget {
	return &budget{
		tokens: retryBurst,
	}
}

// earn adds a request's share.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryBurst)
}

// spend takes one retry. It is false when there is none left.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// pauses are the least waits before each further try for a lease.
const (
	minBackOff = 5 * time.Millisecond
	maxBackOff = 200 * time.Millisecond
)
