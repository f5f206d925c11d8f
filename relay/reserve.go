// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Timing of reservations.
const (
	// reservationTTL is how long a reservation lasts without a renewal. It bounds how long
	// memory stays blocked after this instance crashes, or if an engine executes a call to
	// reserve after the one to free.
	reservationTTL = 1900 * time.Millisecond
	// renewInterval allows three renewals in a row to be lost.
	renewInterval = 450 * time.Millisecond
	// reserveTimeout bounds one call to an engine.
	reserveTimeout = 250 * time.Millisecond
)

// maxReserveAttempts is the maximum number of calls to make or renew one reservation.
const maxReserveAttempts = 2

// reservations holds the memory reservations of an attempt.
type reservations struct {
	memory Memory
	items  []reservation
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// reservation is memory that is reserved on one engine under a name.
type reservation struct {
	address string
	name    string
	// tokens is the number of tokens that the memory holds.
	tokens int
}

// reserve reserves the memory that the grant names, all or nothing, and renews it in the
// background until free is called. It sets the id of the reservation in the grant's shares.
func (t *attempt) reserve(ctx context.Context) (*reservations, error) {
	h := &reservations{
		memory: t.relay.parts.Memory,
		cancel: func() {},
	}
	// The slice is shared with the placer, which must not see the changes.
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

// reserveAll makes all reservations in parallel.
func (h *reservations) reserveAll(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, r := range h.items {
		g.Go(func() error { return h.reserveOne(ctx, r) })
	}
	return g.Wait()
}

// reserveOne makes or renews one reservation.
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

// renew renews the reservations until ctx is done.
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
			// A failed renewal is repeated at the next tick. If no renewal succeeds for
			// reservationTTL, the reservation can expire, and the attempt may then fail.
			h.done.Go(func() { _ = h.reserveOne(ctx, r) })
		}
	}
}

// free releases the memory in the background.
func (h *reservations) free() {
	h.cancel()
	if len(h.items) == 0 {
		return
	}
	go func() {
		// A renewal after the release would reserve the memory again.
		h.done.Wait()
		h.freeAll()
	}()
}

// freeAll releases all reservations in parallel, so that engines that do not respond do not
// delay the release on the others. A release that is lost blocks the memory until the
// reservation expires.
func (h *reservations) freeAll() {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	var orders sync.WaitGroup
	for _, r := range h.items {
		orders.Go(func() { _ = h.memory.Free(ctx, r.address, r.name) })
	}
	orders.Wait()
}
