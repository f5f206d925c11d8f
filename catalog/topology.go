// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/linkmast/linkmast/internal/rendezvous"
)

// orderKey is what the order of readers is made from.
const orderKey = "catalog"

// relayFanOut is how many instances one carrier is meant for. What 32 instances get that
// start at once, 60 KB each, takes 80 ms of a link of 200 Mbit/s. With two readers, a
// tree of two levels reaches 2,000 instances, one of three levels 60,000.
const relayFanOut = 32

// minCapacityShare is the part of the greatest capacity from which instances do work for
// others: read the store, carry followers, own pools.
const minCapacityShare = 0.5

// The bounds of followers, which make instances look elsewhere when many carriers are
// lost at once.
const (
	// followerLimitFactor is how many times the followers that it is meant for a carrier
	// takes.
	followerLimitFactor = 2
	// weakFollowerLimit is how many followers an instance takes that is not able to carry,
	// when followers find nobody else: what changes goes out four times.
	weakFollowerLimit = 4
)

// topology is how instances divide the work of handing on what the store says: the first
// ones of an order that all compute alike read the store, some more follow these, and
// carry the others. The zero value has nobody.
type topology struct {
	// positions is each instance's positions in the order, counted from zero. Instances
	// that are able to carry come before all others.
	positions map[string]int
	// self is the place of this instance.
	self int
	// readers and carriers are how many at the start of the order read the store,
	// and carry followers; the readers are carriers too.
	readers int
	relays  int
	// upstreams are the other instances in the order in which this one tries to
	// follow them, the heads first: those that are meant to be followed by it.
	upstreams []Peer
	preferred int
	// all are the instances that are known in order, of which the first able ones can
	// carry others, and total is how many there are.
	all     []Peer
	capable int
	total   int
	// primaryFollowers returns the instances that try to follow this one first. They are looked for
	// when they are first needed: most instances have none, and most orders are soon
	// replaced.
	primaryFollowers func() []Peer
	// followerLimit is how many followers this instance takes.
	followerLimit int
}

// newTopology returns the ranks as they are for self, which peers may hold or not. Total is
// how many instances there are, if peers may lack some; those that it lacks come after the
// others.
func newTopology(self Peer, peers map[string]Peer, leastReaders, total int) *topology {
	all := make([]Peer, 0, len(peers)+1)
	for id, p := range peers {
		if id != self.ID {
			all = append(all, p)
		}
	}
	all = append(all, self)
	able := Order(orderKey, all)
	r := &topology{
		positions: make(map[string]int, len(all)),
		all:       all,
		capable:   able,
		total:     max(total, len(all)),
	}
	for i, p := range all {
		r.positions[p.ID] = i
	}
	r.self = r.positionOfSelf(self)
	wanted := (r.total + relayFanOut - 1) / relayFanOut
	r.readers = min(max(leastReaders, (wanted+relayFanOut-1)/relayFanOut), len(all))
	r.relays = max(min(wanted, able), r.readers)
	r.followerLimit = r.followerLimitFor(able)
	r.upstreams, r.preferred = r.upstreamsOf(all, self)
	r.primaryFollowers = sync.OnceValue(func() []Peer { return r.primaryFollowersOf(self) })
	return r
}

// positionOfSelf returns the place of this instance. One that comes last of those that are
// known is somewhere among those that are not: a hash spreads these, so that not all do at
// once what each does after the delay of its place.
func (r *topology) positionOfSelf(self Peer) int {
	place := r.positions[self.ID]
	unknown := r.total - len(r.all)
	if unknown > 0 && place == len(r.all)-1 {
		place += int(xxhash.Sum64String(self.ID) % uint64(unknown+1))
	}
	return place
}

// Rank returns how many of the other instances that are known come before this one for a duty
// that nobody needs to be able for, and how many instances there are.
func (c *Catalog) Rank(duty string) (before, of int) {
	known := c.Snapshot()
	if known == nil {
		return 0, 1
	}
	score := func(p Peer) float64 { return rendezvous.Score(duty, p.ID, p.Capacity) }
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

// peerWeight returns what the order of an instance depends on.
func peerWeight(p Peer) (id string, weight int) {
	return p.ID, p.Capacity
}

// Order orders instances for a duty, the first one first, and returns how many of them
// are able to do work for others. These come before all others, each part by rendezvous
// hashing of the duty's name: of 15 able instances and 280 with an eighth of their
// capacity one of the latter would else be first for a fifth of all duties.
func Order(duty string, all []Peer) int {
	rendezvous.Sort(duty, all, peerWeight)
	greatest := 0
	for _, p := range all {
		greatest = max(greatest, p.Capacity)
	}
	able := func(p Peer) int {
		if float64(p.Capacity) >= minCapacityShare*float64(greatest) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(all, func(a, b Peer) int { return able(a) - able(b) })
	n := 0
	for _, p := range all {
		n += 1 - able(p)
	}
	return n
}

// followerLimitFor returns how many followers this instance takes, when so many of all
// instances are able to carry.
func (r *topology) followerLimitFor(able int) int {
	if r.self >= max(able, r.readers) {
		return weakFollowerLimit
	}
	return followerLimitFactor * max(relayFanOut, r.total/r.relays)
}

// upstreamsOf returns whom an instance tries to follow, in order: the carriers, those in
// its own failure domain first and each instance in another order, so that they share
// the work; then all others. A carrier begins with the readers. Heads is how many come
// before the others.
func (r *topology) upstreamsOf(all []Peer, p Peer) (sources []Peer, heads int) {
	first := r.preferredCount(p)
	head := slices.Clone(all[:first])
	rendezvous.Sort(p.ID, head, peerWeight)
	slices.SortStableFunc(head, func(a, b Peer) int { return domainDistance(a, p) - domainDistance(b, p) })
	isSelf := func(o Peer) bool { return o.ID == p.ID }
	head = slices.DeleteFunc(head, isSelf)
	rest := slices.DeleteFunc(slices.Clone(all[first:]), isSelf)
	return append(head, rest...), len(head)
}

// quickAttempts is how many of the first tries are made one soon after the other and
// without waiting for one that knows too little: all that are meant to be followed, and
// those of the others that read the store first when these fail.
func (r *topology) quickAttempts() int {
	return min(r.preferred+earlyReaders, len(r.upstreams))
}

// The tries after the first ones.
const (
	// patientEvery is how often a try is patient, and goes to one that is meant to be
	// followed: in an outage of the store these are told first of its return. When
	// all tries went on through 22 instances, the last ones knew of it after 3 s. The
	// tries between go to those that read first when the readers are turned away;
	// with one of four of them, these were found after 1.7 s.
	patientEvery = 3
	// restEvery is how often of these a try goes to any other instance: it may be the
	// only one in touch.
	restEvery = 8
)

// upstreamFor returns whom to follow at a try, counted from zero, and whether to wait there
// for a moment if it knows too little. There must be somebody.
func (r *topology) upstreamFor(try int) (p Peer, patient bool) {
	if try < r.quickAttempts() {
		return r.upstreams[try], false
	}
	k := try - r.quickAttempts()
	heads, others := r.upstreams[:r.preferred], r.upstreams[r.preferred:]
	if len(others) == 0 {
		return heads[k%len(heads)], true
	}
	if len(heads) > 0 && k%patientEvery == 0 {
		return heads[k/patientEvery%len(heads)], true
	}
	i := k - k/patientEvery
	first := min(earlyReaders, len(others))
	if rest := others[first:]; len(rest) > 0 && i%restEvery == 0 {
		return rest[i/restEvery%len(rest)], false
	}
	return others[i%first], false
}

// domainDistance is zero for instances in the same failure domain, and one for others.
func domainDistance(a, b Peer) int {
	if a.FailureDomain == b.FailureDomain {
		return 0
	}
	return 1
}

// primaryFollowersOf returns the instances that try to follow self, which is this one, first.
func (r *topology) primaryFollowersOf(self Peer) []Peer {
	if r.self >= r.relays {
		return nil
	}
	near := make(map[string][]Peer)
	for _, h := range r.all[:r.relays] {
		near[h.FailureDomain] = append(near[h.FailureDomain], h)
	}
	var out []Peer
	for _, p := range r.all {
		if p.ID != self.ID && r.primaryUpstream(p, near) == self.ID {
			out = append(out, p)
		}
	}
	return out
}

// primaryUpstream returns whom an instance tries to follow primaryUpstream, as sourcesOf has it. Near are the
// carriers of each failure domain: only for an instance with none of its own all of them
// are compared.
func (r *topology) primaryUpstream(p Peer, near map[string][]Peer) string {
	heads := near[p.FailureDomain]
	if r.preferredCount(p) < r.relays {
		// It is a carrier itself.
		return closest(p, r.all[:r.readers])
	}
	if len(heads) == 0 {
		heads = r.all[:r.relays]
	}
	return closest(p, heads)
}

// closest returns the first in an instance's own order of some others, those of its failure
// domain first.
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

// preferredCount returns how many of the order an instance, which may not be known, is meant to
// follow one of: the carriers, or the readers if it is a carrier itself.
func (r *topology) preferredCount(p Peer) int {
	if place, known := r.positions[p.ID]; known && place < r.relays {
		return r.readers
	}
	return r.relays
}

// The bounds of what an instance that starts is told.
const (
	// maxBootstrapUpstreams is how many instances that it can follow one is told that carries
	// nobody: as many as it tries one soon after the other.
	maxBootstrapUpstreams = 8
	// maxBootstrapPeers is how many of the order one is told that may have to carry others, or to
	// tell others whom to follow: all carriers of 2,000 instances.
	maxBootstrapPeers = 64
)

// bootstrapPeers returns the instances that one is told of that starts and knows nobody. One that
// collects tells others whom to follow.
func (r *topology) bootstrapPeers(p Peer, collects bool) []Peer {
	if collects || r.isCapable(p) {
		return r.all[:min(maxBootstrapPeers, len(r.all))]
	}
	sources, _ := r.upstreamsOf(r.all[:r.relays], p)
	return sources[:min(maxBootstrapUpstreams, len(sources))]
}

// isCapable states whether an instance, which may not be known, is able to do work for others.
func (r *topology) isCapable(p Peer) bool {
	greatest := 0
	for _, o := range r.all {
		greatest = max(greatest, o.Capacity)
	}
	return float64(p.Capacity) >= minCapacityShare*float64(greatest)
}

// isReader states whether this instance is among the first readers.
func (r *topology) isReader() bool {
	return r.self < r.readers
}

// precedes states whether an instance comes precedes this one in the order. One that is
// not known comes after all others.
func (r *topology) precedes(id string) bool {
	place, known := r.positions[id]
	return known && place < r.self
}
