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
	// reservationTTL is how long memory is set aside without being renewed. It is
	// what a dead instance keeps from others, and what an order that is
	// carried out late takes; below the two seconds that count.
	reservationTTL = 1900 * time.Millisecond
	// renewInterval leaves time for three lost renewals.
	renewInterval = 450 * time.Millisecond
	// reserveTimeout bounds one order: several round trips.
	reserveTimeout = 250 * time.Millisecond
)

// maxReserveAttempts is how often an order is given.
const maxReserveAttempts = 2

// reservations is the memory that is set aside for an attempt.
type reservations struct {
	memory Memory
	items  []reservation
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// reservation is one reservation.
type reservation struct {
	address string
	name    string
	tokens  int
}

// reserve sets aside the memory that the grant names, all or nothing, and keeps
// it until it is freed.
func (t *attempt) reserve(ctx context.Context) (*reservations, error) {
	h := &reservations{
		memory: t.relay.parts.Memory,
		cancel: func() {},
	}
	// The grant is shared with those who keep account of it.
	t.grant.Shares = slices.Clone(t.grant.Shares)
	for i, r := range t.grant.Shares {
		if r.Reserved == 0 {
			continue
		}
		t.grant.Shares[i].Reservation = t.request.ID
		h.items = append(h.items, reservation{
			address: r.Address,
			name:    t.request.ID,
			tokens:  r.Reserved,
		})
	}
	if len(h.items) == 0 {
		return h, nil
	}
	if err := h.reserveAll(ctx); err != nil {
		h.freeAll()
		return nil, err
	}
	var renew context.Context
	renew, h.cancel = context.WithCancel(context.WithoutCancel(ctx))
	h.done.Go(func() { h.renew(renew) })
	return h, nil
}

// reserveAll gives the order for each reservation.
func (h *reservations) reserveAll(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, r := range h.items {
		g.Go(func() error { return h.reserveOne(ctx, r) })
	}
	return g.Wait()
}

// reserveOne gives the order for a reservation.
func (h *reservations) reserveOne(ctx context.Context, r reservation) error {
	var err error
	for range maxReserveAttempts {
		within, cancel := context.WithTimeout(ctx, reserveTimeout)
		err = h.memory.Reserve(within, r.address, r.name, r.tokens, reservationTTL)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// renew keeps the reservations.
func (h *reservations) renew(ctx context.Context) {
	tick := time.NewTicker(renewInterval)
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
			h.done.Go(func() { _ = h.reserveOne(ctx, r) })
		}
	}
}

// free gives the memory back.
func (h *reservations) free() {
	h.cancel()
	if len(h.items) == 0 {
		return
	}
	go func() {
		// No renewal may come after the order that ends the reservation.
		h.done.Wait()
		h.freeAll()
	}()
}

// freeAll gives the orders that end the reservations, all at once: given one by one, the
// memory of sixteen engines of which some don't answer came back after seconds, and the
// request waited as long for its next place. One that gets lost costs the memory until
// it lapses.
func (h *reservations) freeAll() {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	var orders sync.WaitGroup
	for _, r := range h.items {
		orders.Go(func() { _ = h.memory.Free(ctx, r.address, r.name) })
	}
	orders.Wait()
}
