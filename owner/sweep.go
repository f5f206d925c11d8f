// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package owner

import (
	"context"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/order"
)

// failuresToEject is the number of failed status calls in a row after which an endpoint is ejected.
const failuresToEject = 2

// maxParallelSweeps bounds the endpoints that are swept concurrently.
const maxParallelSweeps = 32

// loop sweeps at regular intervals, and when woken, until ctx ends.
func (o *Owner) loop(ctx context.Context) {
	defer close(o.Done)
	for {
		o.Sweep(ctx)
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		case <-time.After(o.settings.SweepInterval):
		}
	}
}

// Sweep compares once what each owned endpoint runs with its leases.
func (o *Owner) Sweep(ctx context.Context) {
	o.mu.Lock()
	owned := make([]*endpoint, 0, len(o.owned))
	for _, e := range o.owned {
		owned = append(owned, e)
	}
	o.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(maxParallelSweeps)
	for _, e := range owned {
		g.Go(func() error {
			o.sweep(ctx, e)
			return nil
		})
	}
	// The goroutines return no errors.
	_ = g.Wait()
}

// sweep compares what one endpoint runs with its leases.
func (o *Owner) sweep(ctx context.Context, e *endpoint) {
	o.mu.Lock()
	target := e.target.Endpoint
	o.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, o.settings.CallTimeout)
	defer cancel()
	if target.Kind == config.KindPlain {
		o.recordStatus(e, engine.Status{}, o.endpoints.Plain(target.Address).Probe(call))
		o.resolveDoubt(ctx, e, &target, nil)
		return
	}
	client := o.endpoints.Engine(target.Address)
	s, err := client.Status(call, false)
	if err == nil && o.inDoubt(e, s.Digest) {
		s, err = client.Status(call, true)
	}
	o.recordStatus(e, s, err)
	if err != nil {
		// Holders are asked about leases even if the endpoint doesn't answer: a dead endpoint holds
		// no memory, but its leases remain in the ledger.
		o.resolveDoubt(ctx, e, &target, nil)
		return
	}
	running := make(map[string]engine.Held, len(s.Running))
	for _, h := range s.Running {
		running[h.ID] = h
	}
	o.resolveDoubt(ctx, e, &target, running)
	o.reconcile(ctx, e, &s, client)
}

// orderTimeout bounds the calls for one order.
const orderTimeout = 3 * time.Second

// reconcile lets the reconciler bring an engine to its desired state, unless the endpoint is
// leaving or no model is desired.
func (o *Owner) reconcile(ctx context.Context, e *endpoint, s *engine.Status, client engine.Client) {
	if o.reconciler == nil {
		return
	}
	o.mu.Lock()
	t := order.Target{
		Endpoint: e.target.Endpoint.ID,
		Want:     e.target.Desired,
		Checks:   e.target.Endpoint.ChecksOrders,
		Demand:   len(e.queue),
	}
	leaving := e.target.Leaving
	o.mu.Unlock()
	if leaving || t.Want.Model == "" {
		return
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o.reconciler.Reconcile(call, t, order.State{
		Model:    s.Model,
		Version:  s.Version,
		Adapters: s.Adapters,
	}, client)
}

// inDoubt reports whether the running attempts differ from the leases, or a lease needs
// confirmation, so that the list of running attempts is needed.
func (o *Owner) inDoubt(e *endpoint, digest uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if digest != engine.Digest(maps.Keys(e.leases)) {
		return true
	}
	now := steady.Now()
	for _, l := range e.leases {
		if now.Sub(l.confirmed) > o.settings.ConfirmAfter {
			return true
		}
	}
	return false
}

// recordStatus records a status of the endpoint, or a failure to get one, which ejects the endpoint
// after failuresToEject in a row.
func (o *Owner) recordStatus(e *endpoint, s engine.Status, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := e.target.Endpoint.ID
	if err != nil {
		e.fails++
		if e.fails >= failuresToEject && !e.ejected {
			e.ejected = true
			e.refuseAll(RefusedEjected, "the endpoint does not answer")
			o.log.Info("endpoint ejected", "endpoint", id, "cause", err.Error())
		}
		return
	}
	if e.ejected {
		o.log.Info("endpoint answers again", "endpoint", id)
	}
	e.fails = 0
	e.ejected = false
	e.reported = true
	e.instance = s.Instance
	o.pump(e, steady.Now())
}

// attemptsInDoubt returns the attempts to ask the holders about, by holder, and updates the ledger
// with the memory of attempts that have no lease.
func (o *Owner) attemptsInDoubt(e *endpoint, running map[string]engine.Held) map[string][]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := steady.Now()
	toAsk := make(map[string][]string)
	foreign := int64(0)
	for id, h := range running {
		if _, ok := e.leases[id]; ok {
			continue
		}
		foreign += h.Bytes
		if _, ok := e.unleased[id]; !ok {
			e.unleased[id] = now
		}
		if h.Age > o.settings.SweepInterval {
			toAsk[h.Holder] = append(toAsk[h.Holder], id)
		}
	}
	e.ledger.HeldByOthers = foreign
	for id := range e.unleased {
		if _, ok := running[id]; !ok {
			delete(e.unleased, id)
		}
	}
	for id, l := range e.leases {
		_, runs := running[id]
		unused := !runs && now.Sub(l.granted) > o.settings.StartWithin+o.settings.SweepInterval
		if unused || now.Sub(l.confirmed) > o.settings.ConfirmAfter {
			toAsk[l.holder] = append(toAsk[l.holder], id)
		}
	}
	return toAsk
}

// resolveDoubt asks the holders about the attempts in doubt, and cancels the orphans.
func (o *Owner) resolveDoubt(ctx context.Context, e *endpoint, target *config.Endpoint, running map[string]engine.Held) {
	for holder, ids := range o.attemptsInDoubt(e, running) {
		call, cancel := context.WithTimeout(ctx, o.settings.CallTimeout)
		held, err := o.holders.Held(call, holder, ids)
		cancel()
		orphans := o.findOrphans(e, holder, ids, held, err, running)
		if len(orphans) == 0 {
			continue
		}
		client := o.endpoints.Engine(target.Address)
		for _, id := range orphans {
			call, cancel := context.WithTimeout(ctx, o.settings.CallTimeout)
			err := client.Cancel(call, id)
			cancel()
			o.log.Info("orphan cancelled", "endpoint", target.ID, "attempt", id, "holder", holder,
				"reached", err == nil)
		}
	}
}

// findOrphans evaluates a holder's answer, held or err, to the question which of the attempts in ids
// it has. It confirms the attempts that the holder has. An attempt is an orphan if the holder doesn't
// have it, or if the holder has not answered for OrphanAfter. findOrphans ends the leases of orphans,
// and returns the orphans that run at the endpoint, which must be cancelled.
func (o *Owner) findOrphans(e *endpoint, holder string, ids, held []string, err error, running map[string]engine.Held) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := steady.Now()
	has := make(map[string]bool, len(held))
	for _, id := range held {
		has[id] = true
	}
	var orphans []string
	for _, id := range ids {
		l, leased := e.leases[id]
		switch {
		case err == nil && has[id]:
			o.confirm(e, holder, id, running, now)
			continue
		case err != nil && leased:
			if l.silentSince.IsZero() {
				l.silentSince = now
			}
			if now.Sub(l.silentSince) < o.settings.OrphanAfter {
				continue
			}
		case err != nil:
			if now.Sub(e.unleased[id]) < o.settings.OrphanAfter {
				continue
			}
		}
		if _, runs := running[id]; runs {
			orphans = append(orphans, id)
		}
		if leased {
			o.endLease(e, id)
		}
	}
	return orphans
}

// confirm records that a holder has an attempt. It creates a lease for an attempt that runs without
// one.
func (o *Owner) confirm(e *endpoint, holder, id string, running map[string]engine.Held, now time.Time) {
	if l, ok := e.leases[id]; ok {
		l.confirmed = now
		l.silentSince = time.Time{}
		return
	}
	h, ok := running[id]
	if !ok {
		return
	}
	e.leases[id] = &lease{
		holder:    holder,
		granted:   now,
		confirmed: now,
	}
	e.ledger.Adopt(id, h.Bytes, now)
	e.ledger.HeldByOthers -= h.Bytes
	delete(e.unleased, id)
}
