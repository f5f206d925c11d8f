// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/pool/poolpb"
	"github.com/linkmast/linkmast/quarantine"
)

// Client sends the placement requests of this instance to the owners of the pools. It implements
// Placer. The instances are ordered by rendezvous hashing for each pool. The owner is the first one
// that is reachable; the next reachable one is its standby and receives the same reports, so that
// it can take over.
type Client struct {
	self   catalog.Peer
	local  *Scheduler
	dialer Dialer
	log    logr.Logger

	mu       sync.Mutex
	snapshot *catalog.Snapshot
	// ownerOrder has the order of owners of each pool, by service: all instances, of which the first
	// reachable one is the owner. It contains only the services whose pool has an owner, and
	// noEnginesPool if no service has engines.
	ownerOrder map[string][]string
	// plainOwned has the services without engines whose pool has an owner. unannounced lists the
	// services among them whose running attempts have not been reported to the owners yet.
	plainOwned  map[string]bool
	unannounced []string
	// followed is the first part of ownerOrder by service: the instances that placement requests
	// and reports are sent to. It may contain this instance.
	followed map[string][]string
	// deciders has the instance that decides on the requests of this instance, by service, as last
	// announced, for the pools with an owner.
	deciders map[string]string
	// links has the links to other instances by name.
	links map[string]*ownerLink
	// attempts has the running attempts of this instance by ID.
	attempts map[string]*running
	// migrations has the functions that migrate an attempt, by attempt ID.
	migrations map[string]func()
	// common is the service that pickCommon chose: crashes and notices are reported to its owners.
	// crashes has the recent crashes that this instance saw.
	common  string
	crashes []quarantine.Crash
	// wake wakes Run when links have to be checked.
	wake chan struct{}
	// ctx is the context of Run; nil until Run is called.
	ctx       context.Context
	linkGroup sync.WaitGroup
}

// running is an attempt that has been placed and has not ended.
type running struct {
	request PlacementRequest
	grant   Grant
	begun   bool
}

// NewClient returns a client for the instance self. It uses local where this instance is the owner
// or no owner answers.
func NewClient(self catalog.Peer, local *Scheduler, d Dialer, log logr.Logger) *Client {
	return &Client{
		self:       self,
		local:      local,
		dialer:     d,
		log:        log,
		ownerOrder: make(map[string][]string),
		plainOwned: make(map[string]bool),
		followed:   make(map[string][]string),
		deciders:   make(map[string]string),
		wake:       make(chan struct{}, 1),
		links:      make(map[string]*ownerLink),
		attempts:   make(map[string]*running),
		migrations: make(map[string]func()),
	}
}

// Run keeps the links to the owners open, and migrates attempts on the orders of the local
// scheduler, until ctx ends. It returns once all links have ended.
func (c *Client) Run(ctx context.Context) {
	defer c.local.onMigrations(c.self.ID, c.migrateLocally)()
	defer c.local.settings.Notices.OnChange(func(notice.Notice) { c.wakeRun() })()
	tick := time.NewTicker(relinkInterval)
	defer tick.Stop()
	for {
		c.mu.Lock()
		c.ctx = ctx
		c.relink()
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			c.linkGroup.Wait()
			return
		case <-tick.C:
		case <-c.wake:
		}
	}
}

// Update applies a snapshot of the instances and services.
func (c *Client) Update(snap *catalog.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot = snap
	clear(c.ownerOrder)
	for name, svc := range snap.Table.Services {
		if svc.Engine != nil {
			c.ownerOrder[name] = c.rankOwners(name, snap)
		}
	}
	c.common = c.pickCommon(snap)
	c.relink()
}

// Place implements Placer. It sends the request to the owners, and places it through the local
// scheduler if this instance is the owner, no owner answers or the pool has none.
func (c *Client) Place(ctx context.Context, a PlacementRequest) (Grant, error) {
	a.Avoid = c.local.UnusableEndpoints(a.Service)
	leaving, drained := c.leavingAndDrained()
	a.Exclude = append(slices.Clone(a.Exclude), leaving...)
	a.DrainedDomains = drained
	a.Backoffs = c.backoffs(a.Service)
	if !a.Retry && !a.Counted {
		c.local.CountFirst(a.Service)
	}
	fallback := false
	for range maxPlacementRounds {
		var g Grant
		var err error
		g, fallback, err = c.placeAtOwners(ctx, &a)
		if errors.Is(err, errLost) {
			continue
		}
		if !errors.Is(err, errDecideLocally) {
			return g, err
		}
		break
	}
	own := a
	own.Counted = true
	g, err := c.local.place(ctx, own, fallback)
	if err == nil {
		c.recordAttempt(a, g, nil)
	}
	return g, err
}

// errDecideLocally means that this instance has to place the request itself.
var errDecideLocally = errors.New("request has to be placed by this instance")

// maxPlacementRounds bounds how often one request is sent to the owners. Links to standbys are
// closed when the owner is back, and requests that were waiting there are then sent to the owner.
const maxPlacementRounds = 3

// placeAtOwners sends a placement request to the owners of a pool in order. The error is
// errDecideLocally if this instance has to place the request, and errLost if no owner answered and
// a session ended before its owner's answer came. Fallback is set if this instance has to place the
// request although another one may act as the owner at the same time: none of the owners before it
// is reachable from here.
func (c *Client) placeAtOwners(ctx context.Context, a *PlacementRequest) (g Grant, fallback bool, err error) {
	owners := c.owners(a.Service)
	// In a pool without an owner, each instance places its own requests, which is no fallback.
	fallback = len(owners) > 0
	lost := false
	for i, l := range owners {
		if l == nil {
			// The owners before this instance are unreachable from here, but maybe not from others.
			return Grant{}, i > 0, errDecideLocally
		}
		if !l.usable() && !l.awaitRedial(ctx) {
			continue
		}
		g, err := l.place(ctx, a)
		if errors.Is(err, errLost) {
			lost = true
			continue
		}
		if err == nil {
			c.local.Adopt(*a, g, false)
			c.recordAttempt(*a, g, l)
		}
		return g, false, err
	}
	if lost {
		return Grant{}, fallback, errLost
	}
	return Grant{}, fallback, errDecideLocally
}

// leavingAndDrained returns the endpoints that are leaving or were removed recently, and the drained
// failure domains, as far as this instance knows. The owner may know less, if it is cut off from
// the store.
func (c *Client) leavingAndDrained() (leaving, drained []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == nil {
		return nil, nil
	}
	leaving = c.snapshot.DepartedEndpoints()
	v := c.local.settings.Notices.View()
	for _, endpoint := range v.Leaving() {
		if v.IsLeaving(endpoint, c.snapshot.Endpoints[endpoint].StartedAt) {
			leaving = append(leaving, endpoint)
		}
	}
	return leaving, slices.Sorted(maps.Keys(c.snapshot.Drained))
}

// recordAttempt stores a placed attempt and reports it to all followed owners but the one that
// placed it.
func (c *Client) recordAttempt(a PlacementRequest, g Grant, placedBy *ownerLink) {
	r := &running{
		request: a,
		grant:   g,
	}
	c.mu.Lock()
	c.attempts[a.ID] = r
	m := runningMessage(r)
	c.mu.Unlock()
	c.broadcast(a.Service, m, placedBy)
}

// broadcast sends a message to all followed owners of a pool except one, which may be nil.
func (c *Client) broadcast(service string, m *poolpb.FromEntry, except *ownerLink) {
	for _, l := range c.owners(service) {
		if l != nil && l != except {
			l.enqueue(m)
		}
	}
}

// FirstEvent implements Placer.
func (c *Client) FirstEvent(id, service string) {
	c.mu.Lock()
	if r := c.attempts[id]; r != nil {
		r.begun = true
	}
	c.mu.Unlock()
	c.local.FirstEvent(id, service)
	c.broadcast(service, firstEventMessage(id, service), nil)
}

// End implements Placer.
func (c *Client) End(id, service string, o Outcome, culprit string) {
	c.mu.Lock()
	delete(c.attempts, id)
	c.mu.Unlock()
	c.local.End(id, service, o, culprit)
	c.broadcast(service, endMessage(id, service, o, culprit), nil)
}
