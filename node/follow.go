// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package node

import (
	"context"
	"sync"
	"time"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/member"
	"github.com/linkmast/linkmast/order"
	"github.com/linkmast/linkmast/owner"
	"github.com/linkmast/linkmast/owner/ownerpb"
)

// refreshInterval is how often the configuration and the instances are applied even without a
// change.
const refreshInterval = 15 * time.Second

// followChanges applies each change of the configuration in force and of the instances until ctx
// ends.
func (n *Node) followChanges(ctx context.Context) {
	for {
		members, configuration := n.member.Changed(), n.rollout.Changed()
		n.applyChanges()
		select {
		case <-ctx.Done():
			return
		case <-members:
		case <-configuration:
		case <-time.After(refreshInterval):
		}
	}
}

// applyChanges sets the endpoints that the instance owns, updates the entry, and closes connections
// to addresses that belong neither to a listed instance nor to a seed. It does nothing while there is
// no configuration.
func (n *Node) applyChanges() {
	v, m := n.rollout.View(), n.member.View()
	if v == nil {
		return
	}
	var mine []owner.Target
	for i := range v.File.Endpoints {
		e := &v.File.Endpoints[i]
		by, ok := m.RegionalOwner(e.ID, v.Region(e.FailureDomain))
		if !ok || by.ID != n.self.ID {
			continue
		}
		t := owner.Target{
			Endpoint: *e,
		}
		if at, listed := m.Endpoint(e.Address); listed {
			t.Instance = at.ID
			t.Leaving = at.State != instances.Live
		}
		if model, _, ok := v.Model(e.Model); ok && e.Kind == config.KindEngine {
			t.Desired = order.State{
				Model:    model.ID,
				Version:  model.Version,
				Adapters: e.Adapters,
			}
		}
		mine = append(mine, t)
	}
	n.owner.SetOwned(mine)
	n.entry.Rebuild()
	known := make(map[string]bool, len(m.Listed))
	for _, i := range m.Listed {
		known[i.Address] = true
	}
	for _, a := range n.settings.Peers {
		known[a] = true
	}
	n.pool.CloseUnless(func(a string) bool { return known[a] })
}

// watchOwners forwards summaries of endpoints to the entry until ctx ends. It forwards the summaries
// of this instance's endpoints, and opens streams to up to maxWatched other instances of the region
// for the summaries of theirs.
func (n *Node) watchOwners(ctx context.Context) {
	watches := make(map[string]context.CancelFunc)
	var all sync.WaitGroup
	defer all.Wait()
	defer func() {
		for _, cancel := range watches {
			cancel()
		}
	}()
	var seen *member.View
	tick := time.NewTicker(localInterval)
	defer tick.Stop()
	for {
		n.entry.UpdateSummaries(n.owner.Summaries())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		view := n.member.View()
		if view == seen {
			continue
		}
		seen = view
		wanted := make(map[string]bool)
		for _, i := range view.WatchTargets(n.self.ID, n.self.Region, maxWatched) {
			wanted[i.ID] = true
			if _, ok := watches[i.ID]; ok {
				continue
			}
			watch, cancel := context.WithCancel(ctx)
			watches[i.ID] = cancel
			all.Go(func() { n.watchInstance(watch, i) })
		}
		for id, cancel := range watches {
			if !wanted[id] {
				cancel()
				delete(watches, id)
			}
		}
	}
}

// maxWatched is the maximum number of owners that an instance watches. An owner that isn't watched
// sends its summaries only with replies to releases, and only if it has few.
const maxWatched = 32

// The estimated sizes of a message with summaries: a fixed part, and a part for each summary.
const (
	watchFrameBytes   = 29
	watchSummaryBytes = 28
)

// watchInterval returns the interval at which each watched owner should send changed summaries. It
// is the interval in the settings, or longer if the messages of all watched owners would exceed the
// configured bytes per second.
func (n *Node) watchInterval() time.Duration {
	set := time.Duration(n.settings.Times.Watch)
	v, m := n.rollout.View(), n.member.View()
	if v == nil {
		return set
	}
	nodes := max(len(m.Nodes), 1)
	watched := min(nodes-1, maxWatched)
	bytes := watched * (watchFrameBytes + watchSummaryBytes*len(v.File.Endpoints)/nodes)
	return max(set, time.Duration(bytes)*time.Second/time.Duration(n.settings.Times.WatchBytesPerSecond))
}

// The intervals of updating and watching summaries.
const (
	// localInterval is how often watchOwners forwards the summaries of the instance's own endpoints
	// and checks whether the instances to be watched have changed.
	localInterval = 20 * time.Millisecond
	// watchRetryDelay is the delay before a broken watch is opened again.
	watchRetryDelay = 300 * time.Millisecond
)

// watchInstance forwards the summaries of another instance's endpoints to the entry until ctx ends.
func (n *Node) watchInstance(ctx context.Context, i instances.Instance) {
	for ctx.Err() == nil {
		n.watchOnce(ctx, i)
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay):
		}
	}
}

// watchOnce forwards summaries from one stream until it ends.
func (n *Node) watchOnce(ctx context.Context, i instances.Instance) {
	c, err := n.peers.conn(i)
	if err != nil {
		return
	}
	stream, err := ownerpb.NewOwnerClient(c).Watch(ctx, &ownerpb.WatchRequest{
		Watcher:    n.self.ID,
		IntervalMs: n.watchInterval().Milliseconds(),
	})
	if err != nil {
		return
	}
	for {
		in, err := stream.Recv()
		if err != nil {
			return
		}
		n.entry.UpdateSummaries(owner.Decode(in))
	}
}
