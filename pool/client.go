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

// Client finds the owner of each pool and asks it. It implements Placer. The
// owner is the first instance in the order of rendezvous hashing that is in
// touch; the next one hears of everything too, so that it can take over.
type Client struct {
	self   catalog.Peer
	local  *Scheduler
	dialer Dialer
	log    logr.Logger

	mu       sync.Mutex
	snapshot *catalog.Snapshot
	// ownerOrder is the instances of each pool with an owner, the owner first.
	ownerOrder map[string][]string
	// plainOwned are the pools without engines that have an owner, and untold those of them
	// whose owners are to be told what runs.
	plainOwned  map[string]bool
	unannounced []string
	// followed is the part of the order that is asked.
	followed map[string][]string
	// links are the links by instance.
	links map[string]*ownerLink
	// attempts is what this instance has running, by attempt.
	attempts map[string]*running
	// migrations are what makes attempts move, by attempt.
	migrations map[string]func()
	// common names the pool with whose owners all instances have sessions, and crashes are
	// the latest that this instance saw.
	common  string
	crashes []quarantine.Crash
	// wake gets a value when a link breaks off or comes about.
	wake chan struct{}
	// ctx is that of Run; nil before.
	ctx       context.Context
	linkGroup sync.WaitGroup
}

// running is an attempt that has a place.
type running struct {
	ask   PlacementRequest
	grant Grant
	begun bool
}

// NewClient returns a client that places by local what it owns, and what no
// owner answers.
func NewClient(self catalog.Peer, local *Scheduler, d Dialer, log logr.Logger) *Client {
	return &Client{
		self:       self,
		local:      local,
		dialer:     d,
		log:        log,
		ownerOrder: make(map[string][]string),
		plainOwned: make(map[string]bool),
		followed:   make(map[string][]string),
		wake:       make(chan struct{}, 1),
		links:      make(map[string]*ownerLink),
		attempts:   make(map[string]*running),
		migrations: make(map[string]func()),
	}
}

// Run keeps the links until ctx ends.
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

// Update takes over the instances and services that are known.
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

// Place implements Placer.
func (c *Client) Place(ctx context.Context, a PlacementRequest) (Grant, error) {
	a.Avoid = c.local.UnusableEndpoints(a.Service)
	leaving, emptied := c.excludedTargets()
	a.Exclude = append(slices.Clone(a.Exclude), leaving...)
	a.DrainedDomains = emptied
	a.Backoffs = c.backoffs(a.Service)
	alone := false
	for range maxAskRounds {
		var g Grant
		var err error
		g, alone, err = c.askOwners(ctx, &a)
		if errors.Is(err, errLost) {
			continue
		}
		if !errors.Is(err, errDecideLocally) {
			return g, err
		}
		break
	}
	g, err := c.local.place(ctx, a, alone)
	if err == nil {
		c.recordAttempt(a, g, nil)
	}
	return g, err
}

// errDecideLocally means that this instance decides itself.
var errDecideLocally = errors.New("no other owner of the pool")

// maxAskRounds is how often the owners are looked at for one ask: links that were in use while
// an owner was away are closed when it is back, and the asks under way there are asked
// anew.
const maxAskRounds = 3

// askOwners asks the owners of a pool in order. The error is errDecideLocally when this instance is to
// decide, alone if others may not know that it does, and errLost when an owner was lost
// that may have been asked in vain.
func (c *Client) askOwners(ctx context.Context, a *PlacementRequest) (g Grant, alone bool, err error) {
	owners := c.owners(a.Service)
	// A pool that has no owners, like one without engines, is each instance's own.
	alone = len(owners) > 0
	lost := false
	for i, l := range owners {
		if l == nil {
			// Those before are out of touch; others may still ask them.
			return Grant{}, i > 0, errDecideLocally
		}
		if !l.usable() && !l.awaitRedial(ctx) {
			continue
		}
		g, err := l.ask(ctx, a)
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
		return Grant{}, alone, errLost
	}
	return Grant{}, alone, errDecideLocally
}

// excludedTargets returns the endpoints and the failure domains that must get nothing new, as this
// instance knows: the owner may be cut off from the store.
func (c *Client) excludedTargets() (leaving, emptied []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == nil {
		return nil, nil
	}
	leaving = c.snapshot.DepartedEndpoints()
	v := c.local.settings.Notices.View()
	for _, instance := range v.Leaving() {
		if v.IsLeaving(instance, c.snapshot.Endpoints[instance].StartedAt) {
			leaving = append(leaving, instance)
		}
	}
	return leaving, slices.Sorted(maps.Keys(c.snapshot.Drained))
}

// recordAttempt remembers an attempt and tells all but the one who placed it.
func (c *Client) recordAttempt(a PlacementRequest, g Grant, by *ownerLink) {
	r := &running{
		ask:   a,
		grant: g,
	}
	c.mu.Lock()
	c.attempts[a.ID] = r
	m := runningMessage(r)
	c.mu.Unlock()
	c.broadcast(a.Service, m, by)
}

// broadcast sends a message to the owners of a pool but one, which may be nil.
func (c *Client) broadcast(service string, m *poolpb.FromEntry, but *ownerLink) {
	for _, l := range c.owners(service) {
		if l != nil && l != but {
			l.enqueue(m)
		}
	}
}

// First implements Placer.
func (c *Client) First(id, service string) {
	c.mu.Lock()
	if r := c.attempts[id]; r != nil {
		r.begun = true
	}
	c.mu.Unlock()
	c.local.First(id, service)
	c.broadcast(service, firstMessage(id, service), nil)
}

// End implements Placer.
func (c *Client) End(id, service string, o Outcome, culprit string) {
	c.mu.Lock()
	delete(c.attempts, id)
	c.mu.Unlock()
	c.local.End(id, service, o, culprit)
	c.broadcast(service, endMessage(id, service, o, culprit), nil)
}
