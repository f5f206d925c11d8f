// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// The times of reservations.
const (
	// holdFor is how long memory is set aside without being renewed. It is
	// what a dead instance keeps from others, and what an order that is
	// carried out late takes; below the two seconds that count.
	holdFor = 1900 * time.Millisecond
	// renewEvery leaves time for three lost renewals.
	renewEvery = 450 * time.Millisecond
	// orderTimeout bounds one order: several round trips.
	orderTimeout = 250 * time.Millisecond
)

// orderTries is how often an order is given.
const orderTries = 2

// hold is the memory that is set aside for an attempt.
type hold struct {
	memory Memory
	items  []reserved
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// reserved is one reservation.
type reserved struct {
	address string
	name    string
	tokens  int
}

// reserve sets aside the memory that the grant names, all or nothing, and keeps
// it until it is freed.
func (t *try) reserve(ctx context.Context) (*hold, error) {
	h := &hold{
		memory: t.relay.parts.Memory,
		cancel: func() {},
	}
	// The grant is shared with those who keep account of it.
	t.grant.Shares = slices.Clone(t.grant.Shares)
	for i, r := range t.grant.Shares {
		if r.Reserved == 0 {
			continue
		}
		t.grant.Shares[i].Reservation = t.ask.ID
		h.items = append(h.items, reserved{
			address: r.Address,
			name:    t.ask.ID,
			tokens:  r.Reserved,
		})
	}
	if len(h.items) == 0 {
		return h, nil
	}
	if err := h.all(ctx); err != nil {
		h.release()
		return nil, err
	}
	var renew context.Context
	renew, h.cancel = context.WithCancel(context.WithoutCancel(ctx))
	h.done.Go(func() { h.renew(renew) })
	return h, nil
}

// all gives the order for each reservation.
func (h *hold) all(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, r := range h.items {
		g.Go(func() error { return h.one(ctx, r) })
	}
	return g.Wait()
}

// one gives the order for a reservation.
func (h *hold) one(ctx context.Context, r reserved) error {
	var err error
	for range orderTries {
		within, cancel := context.WithTimeout(ctx, orderTimeout)
		err = h.memory.Reserve(within, r.address, r.name, r.tokens, holdFor)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// renew keeps the reservations.
func (h *hold) renew(ctx context.Context) {
	tick := time.NewTicker(renewEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, r := range h.items {
			// A renewal that fails is tried again at the next tick; the engine
			// ends the request if all fail.
			h.done.Go(func() { _ = h.one(ctx, r) })
		}
	}
}

// free gives the memory back.
func (h *hold) free() {
	h.cancel()
	if len(h.items) == 0 {
		return
	}
	go func() {
		// No renewal may come after the order that ends the reservation.
		h.done.Wait()
		h.release()
	}()
}

// release gives the orders that end the reservations, all at once: given one by one, the
// memory of sixteen engines of which some don't answer came back after seconds, and the
// request waited as long for its next place. One that gets lost costs the memory until
// it lapses.
func (h *hold) release() {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	var orders sync.WaitGroup
	for _, r := range h.items {
		orders.Go(func() { _ = h.memory.Free(ctx, r.address, r.name) })
	}
	orders.Wait()
}
