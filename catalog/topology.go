// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/linkmast/linkmast/internal/rendezvous"
)

// orderKey is the rendezvous key of the order of the instances.
const orderKey = "catalog"

// relayFanOut is the number of instances that each relay is meant to serve. With two readers, a
// tree of two levels reaches 2,000 instances and one of three levels 60,000.
const relayFanOut = 32

// minCapacityShare is the share of the greatest capacity from which an instance counts as
// capable of working for others: as a reader, a relay or the owner of a pool.
const minCapacityShare = 0.5

// Limits on the number of followers. They spread the followers when many relays are lost at
// once.
const (
	// followerLimitFactor is the limit of an instance with enough capacity for a relay, as a
	// multiple of a relay's intended number of followers.
	followerLimitFactor = 2
	// weakFollowerLimit is the limit of an instance with too little capacity for a relay, which
	// is followed only if no other upstream is available. It is low because such an instance
	// sends each change to every follower.
	weakFollowerLimit = 4
)

// topology assigns roles to the instances by an order that all of them compute alike. The first
// instances are readers. The relays, which include the readers, serve the other instances; a
// relay that is not a reader follows one. The zero value contains no instances.
type topology struct {
	// positions maps each known instance to its position in the order, counted from zero.
	// Instances with enough capacity for a relay come first.
	positions map[string]int
	// self is the position of this instance.
	self int
	// readers and relays are the numbers of readers and of relays. The first instances in the
	// order are the relays, which serve followers; the first of these are also the readers, which
	// read the store.
	readers int
	relays  int
	// upstreams are the other instances in the order in which this one tries to follow them.
	// upstreams[:preferred] are the relays, or the readers if this instance is a relay.
	upstreams []Peer
	preferred int
	// all are the known instances in order, of which all[:capable] have enough capacity for a
	// relay. total is the number of all instances, including the unknown ones.
	all     []Peer
	capable int
	total   int
	// primaryFollowers returns the instances whose first choice of an upstream is this one. The
	// result is computed on first use, because most instances have none and a topology is often
	// replaced soon.
	primaryFollowers func() []Peer
	// followerLimit is how many followers this instance accepts.
	followerLimit int
}

// newTopology computes the topology for self, which peers may or may not contain. If total
// exceeds the number of known instances, the unknown ones are assumed to come last in the order.
func newTopology(self Peer, peers map[string]Peer, minReaders, total int) *topology {
	all := make([]Peer, 0, len(peers)+1)
	for id, p := range peers {
		if id != self.ID {
			all = append(all, p)
		}
	}
	all = append(all, self)
	capable := Order(orderKey, all)
	r := &topology{
		positions: make(map[string]int, len(all)),
		all:       all,
		capable:   capable,
		total:     max(total, len(all)),
	}
	for i, p := range all {
		r.positions[p.ID] = i
	}
	r.self = r.positionOfSelf(self)
	wanted := (r.total + relayFanOut - 1) / relayFanOut
	r.readers = min(max(minReaders, (wanted+relayFanOut-1)/relayFanOut), len(all))
	r.relays = max(min(wanted, capable), r.readers)
	r.followerLimit = r.followerLimitFor(capable)
	r.upstreams, r.preferred = r.upstreamsOf(all, self)
	r.primaryFollowers = sync.OnceValue(func() []Peer { return r.primaryFollowersOf(self) })
	return r
}

// positionOfSelf returns the position of this instance. If some instances are unknown and this
// one is the last of the known ones, a hash places it among the unknown ones. Otherwise all such
// instances would have similar delays.
func (t *topology) positionOfSelf(self Peer) int {
	position := t.positions[self.ID]
	unknown := t.total - len(t.all)
	if unknown > 0 && position == len(t.all)-1 {
		position += int(xxhash.Sum64String(self.ID) % uint64(unknown+1))
	}
	return position
}

// Rank returns how many of the other known instances have a higher rendezvous score than this
// one for a task, and the number of instances including this one. Unlike Order, it doesn't put
// instances with enough capacity first.
func (c *Catalog) Rank(task string) (before, of int) {
	known := c.Snapshot()
	if known == nil {
		return 0, 1
	}
	score := func(p Peer) float64 { return rendezvous.Score(task, p.ID, p.Capacity) }
	own := score(c.settings.Self)
	for id, p := range known.Peers {
		switch {
		case id == c.settings.Self.ID:
			continue
		case score(p) > own:
			before++
		}
		of++
	}
	return before, of + 1
}

// peerWeight returns the inputs of rendezvous hashing for an instance.
func peerWeight(p Peer) (id string, weight int) {
	return p.ID, p.Capacity
}

// Order sorts all by their suitability for a task and returns how many of them have enough
// capacity to work for others. Those come first. Within both groups, rendezvous hashing with
// the task's name determines the order. Without the groups, a large number of small instances
// would win many tasks.
func Order(task string, all []Peer) int {
	rendezvous.Sort(task, all, peerWeight)
	greatest := 0
	for _, p := range all {
		greatest = max(greatest, p.Capacity)
	}
	tooSmall := func(p Peer) int {
		if float64(p.Capacity) >= minCapacityShare*float64(greatest) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(all, func(a, b Peer) int { return tooSmall(a) - tooSmall(b) })
	n := 0
	for _, p := range all {
		n += 1 - tooSmall(p)
	}
	return n
}

// followerLimitFor returns how many followers this instance accepts, given the number of
// instances with enough capacity.
func (t *topology) followerLimitFor(capable int) int {
	if t.self >= max(capable, t.readers) {
		return weakFollowerLimit
	}
	return followerLimitFactor * max(relayFanOut, t.total/t.relays)
}

// upstreamsOf returns the instances among all that p tries to follow, in order, and how many of
// them are preferred. The preferred ones are the relays, or the readers if p is a relay itself.
// Those in the failure domain of p come first, and each instance orders them differently to
// spread the load. The other instances come last.
func (t *topology) upstreamsOf(all []Peer, p Peer) (upstreams []Peer, preferred int) {
	count := t.preferredCount(p)
	candidates := slices.Clone(all[:count])
	rendezvous.Sort(p.ID, candidates, peerWeight)
	slices.SortStableFunc(candidates, func(a, b Peer) int { return domainDistance(a, p) - domainDistance(b, p) })
	isSelf := func(o Peer) bool { return o.ID == p.ID }
	candidates = slices.DeleteFunc(candidates, isSelf)
	rest := slices.DeleteFunc(slices.Clone(all[count:]), isSelf)
	return append(candidates, rest...), len(candidates)
}

// quickAttempts returns how many attempts are made in quick succession, without waiting for an
// upstream whose data is stale: one for each preferred upstream and for each of the early
// readers, which read the store first when the readers fail.
func (t *topology) quickAttempts() int {
	return min(t.preferred+earlyReaders, len(t.upstreams))
}

// The pattern of attempts after the quick ones.
const (
	// One in patientEvery attempts goes to a preferred upstream and waits there, because
	// preferred upstreams learn first that the store is back. The other attempts go mostly to the
	// early readers, which have data if the store rejects the readers.
	patientEvery = 3
	// One in restEvery of those other attempts goes to an instance beyond the early readers,
	// since that instance may be the only one with fresh data.
	restEvery = 8
)

// upstreamFor returns the instance to follow at an attempt, counted from zero, and whether to
// let it hold the request while its data is stale. The topology must have at least one
// upstream.
func (t *topology) upstreamFor(attempt int) (p Peer, patient bool) {
	if attempt < t.quickAttempts() {
		return t.upstreams[attempt], false
	}
	k := attempt - t.quickAttempts()
	preferred, others := t.upstreams[:t.preferred], t.upstreams[t.preferred:]
	if len(others) == 0 {
		return preferred[k%len(preferred)], true
	}
	if len(preferred) > 0 && k%patientEvery == 0 {
		return preferred[k/patientEvery%len(preferred)], true
	}
	i := k - k/patientEvery
	first := min(earlyReaders, len(others))
	if rest := others[first:]; len(rest) > 0 && i%restEvery == 0 {
		return rest[i/restEvery%len(rest)], false
	}
	return others[i%first], false
}

// domainDistance returns 0 for instances in the same failure domain and 1 otherwise.
func domainDistance(a, b Peer) int {
	if a.FailureDomain == b.FailureDomain {
		return 0
	}
	return 1
}

// primaryFollowersOf returns the instances whose first choice of an upstream is self, which
// must be this instance.
func (t *topology) primaryFollowersOf(self Peer) []Peer {
	if t.self >= t.relays {
		return nil
	}
	near := make(map[string][]Peer)
	for _, relay := range t.all[:t.relays] {
		near[relay.FailureDomain] = append(near[relay.FailureDomain], relay)
	}
	var out []Peer
	for _, p := range t.all {
		if p.ID != self.ID && t.primaryUpstream(p, near) == self.ID {
			out = append(out, p)
		}
	}
	return out
}

// primaryUpstream returns the ID of the first upstream in the list that upstreamsOf returns for
// p, without computing the list. near contains the relays by failure domain; all relays are
// compared only if the domain of p has none.
func (t *topology) primaryUpstream(p Peer, near map[string][]Peer) string {
	candidates := near[p.FailureDomain]
	if t.preferredCount(p) < t.relays {
		// p is a relay itself.
		return closest(p, t.all[:t.readers])
	}
	if len(candidates) == 0 {
		candidates = t.all[:t.relays]
	}
	return closest(p, candidates)
}

// closest returns the ID of the instance among others that comes first in p's own order, in
// which instances of its failure domain come first. It returns "" if others contains only p.
func closest(p Peer, others []Peer) string {
	best, highest, nearest := "", 0.0, false
	for _, o := range others {
		if o.ID == p.ID {
			continue
		}
		near, score := domainDistance(o, p) == 0, rendezvous.Score(p.ID, o.ID, o.Capacity)
		if best == "" || near && !nearest || near == nearest && score > highest {
			best, highest, nearest = o.ID, score, near
		}
	}
	return best
}

// preferredCount returns how many instances at the start of the order are preferred upstreams
// of p, which may be unknown: the readers if p is a relay, otherwise the relays.
func (t *topology) preferredCount(p Peer) int {
	if position, known := t.positions[p.ID]; known && position < t.relays {
		return t.readers
	}
	return t.relays
}

// Limits on the number of instances that a joining instance receives.
const (
	// maxBootstrapUpstreams is the limit for an instance that can't be a relay. It tries all of
	// them in quick succession.
	maxBootstrapUpstreams = 8
	// maxBootstrapPeers is the limit for an instance that may become a relay, and for a seed:
	// all relays of 2,000 instances.
	maxBootstrapPeers = 64
)

// bootstrapPeers returns the known instances to send to the joining instance p. A seed receives
// the start of the order like a possible relay, so that it can serve other joining instances.
func (t *topology) bootstrapPeers(p Peer, seed bool) []Peer {
	if seed || t.isCapable(p) {
		return t.all[:min(maxBootstrapPeers, len(t.all))]
	}
	upstreams, _ := t.upstreamsOf(t.all[:t.relays], p)
	return upstreams[:min(maxBootstrapUpstreams, len(upstreams))]
}

// isCapable reports whether p, which may be unknown, has enough capacity to work for others.
func (t *topology) isCapable(p Peer) bool {
	greatest := 0
	for _, o := range t.all {
		greatest = max(greatest, o.Capacity)
	}
	return float64(p.Capacity) >= minCapacityShare*float64(greatest)
}

// isReader reports whether this instance is one of the readers.
func (t *topology) isReader() bool {
	return t.self < t.readers
}

// precedes reports whether an instance comes before this one in the order. Unknown instances
// come last.
func (t *topology) precedes(id string) bool {
	position, known := t.positions[id]
	return known && position < t.self
}
