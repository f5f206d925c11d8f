// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/policy"
)

// View is an immutable snapshot of the instances and endpoints that an instance knows.
type View struct {
	// Nodes are the available instances, by id: those that are not leaving, down or stopping. They
	// include the instance itself unless it is stopping.
	Nodes map[string]instances.Instance
	// Listed are all listed instances, by id.
	Listed map[string]instances.Instance
	// Endpoints are the listed endpoint instances, by address.
	Endpoints map[string]instances.Instance
	// Complete is true once the list has been read.
	Complete bool

	byRegion map[string][]hashed
	all      []hashed
}

// hashed is an instance id with its hash.
type hashed struct {
	id   string
	hash uint64
}

// newView returns a view with an index of the available instances by region.
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

// RegionalOwner returns the instance that owns a key in a region, such as an endpoint: one of the
// region's available instances, or one of all if the region has none. It returns false if no
// instance is available.
func (v *View) RegionalOwner(key, region string) (instances.Instance, bool) {
	among := v.byRegion[region]
	if len(among) == 0 {
		among = v.all
	}
	return v.pick(key, among)
}

// GlobalOwner returns the instance that owns a key across all regions, such as a customer's quota.
// It returns false if no instance is available.
func (v *View) GlobalOwner(key string) (instances.Instance, bool) {
	return v.pick(key, v.all)
}

// WatchTargets returns up to n available instances of a region that the instance self should watch,
// without itself. If the region has more, rendezvous hashing selects n of them, so that each is
// watched by about the same number of instances.
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

// Ranked returns up to n available instances in the order of rendezvous hashing for a key: the
// global owner first, then the instances that would own the key if those before them were
// unavailable.
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

// pick returns the instance that wins rendezvous hashing for a key.
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
