// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/policy"
)

// View is what an instance believes at a moment. It never changes.
type View struct {
	// Nodes are the usable instances of the system, by id. The instance itself
	// is among them unless it is stopping.
	Nodes map[string]instances.Instance
	// Listed are all instances of the system on the list, by id.
	Listed map[string]instances.Instance
	// Endpoints are the endpoint instances on the list, by address.
	Endpoints map[string]instances.Instance
	// Complete is true when the list has been read at least once.
	Complete bool

	byRegion map[string][]hashed
	all      []hashed
}

// hashed is an instance with the hash of its id.
type hashed struct {
	id   string
	hash uint64
}

// newView indexes the usable nodes.
func newView(listed, usable, endpoints map[string]instances.Instance, complete bool) *View {
	v := &View{
		Nodes:     usable,
		Listed:    listed,
		Endpoints: endpoints,
		Complete:  complete,
		byRegion:  make(map[string][]hashed),
	}
	for id, n := range usable {
		h := hashed{
			id:   id,
			hash: xxhash.Sum64String(id),
		}
		v.byRegion[n.Region] = append(v.byRegion[n.Region], h)
		v.all = append(v.all, h)
	}
	return v
}

// RegionalOwner returns the instance that should own a thing of a region, such as an
// endpoint: one of the region's instances, or of any region's when that region
// has none. It is false when there is no instance at all.
func (v *View) RegionalOwner(key, region string) (instances.Instance, bool) {
	among := v.byRegion[region]
	if len(among) == 0 {
		among = v.all
	}
	return v.pick(key, among)
}

// GlobalOwner returns the instance that should keep a thing of all regions, such as
// a customer's limits.
func (v *View) GlobalOwner(key string) (instances.Instance, bool) {
	return v.pick(key, v.all)
}

// WatchTargets returns up to n instances of a region for one instance to watch,
// other than itself: all of them when they are few, else those that rendezvous
// hashing gives it, so that each is watched by about as many.
func (v *View) WatchTargets(self, region string, n int) []instances.Instance {
	h := xxhash.Sum64String(self)
	order := slices.Clone(v.byRegion[region])
	order = slices.DeleteFunc(order, func(i hashed) bool { return i.id == self })
	if len(order) > n {
		slices.SortFunc(order, func(a, b hashed) int {
			return cmp.Compare(policy.Mix(h, b.hash), policy.Mix(h, a.hash))
		})
		order = order[:n]
	}
	out := make([]instances.Instance, 0, len(order))
	for _, i := range order {
		out = append(out, v.Nodes[i.id])
	}
	return out
}

// Ranked returns up to n instances for a key, the keeper first, and each next
// one the keeper if those before it were gone.
func (v *View) Ranked(key string, n int) []instances.Instance {
	h := xxhash.Sum64String(key)
	order := slices.Clone(v.all)
	slices.SortFunc(order, func(a, b hashed) int {
		return cmp.Compare(policy.Mix(h, b.hash), policy.Mix(h, a.hash))
	})
	out := make([]instances.Instance, 0, n)
	for _, i := range order[:min(n, len(order))] {
		out = append(out, v.Nodes[i.id])
	}
	return out
}

// pick returns the winner of rendezvous hashing.
func (v *View) pick(key string, among []hashed) (instances.Instance, bool) {
	h := xxhash.Sum64String(key)
	best := -1
	var top uint64
	for i := range among {
		if m := policy.Mix(h, among[i].hash); best < 0 || m > top {
			best, top = i, m
		}
	}
	if best < 0 {
		return instances.Instance{}, false
	}
	return v.Nodes[among[best].id], true
}

// Endpoint returns the endpoint instance at an address.
func (v *View) Endpoint(address string) (instances.Instance, bool) {
	i, ok := v.Endpoints[address]
	return i, ok
}
