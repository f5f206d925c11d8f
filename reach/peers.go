// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package reach

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Parameters of the choice of instances that forward.
const (
	// wantedGood is the number of instances known to forward from which no others are tried first.
	wantedGood = 3
	// avoidFor is how long an instance that could not forward is asked last.
	avoidFor = 3 * time.Second
	// verdictFor is how long the answer about an endpoint holds, so that not every request asks again
	// while many endpoints are down.
	verdictFor = 200 * time.Millisecond
	// trustFor is how long an instance that forwarded is preferred.
	trustFor = 10 * time.Second
)

// peerHealth records which instances could forward connections.
type peerHealth struct {
	settings Settings

	mu sync.Mutex
	// good and bad have the instances that lately could and couldn't forward, by ID.
	good map[string]goodPeer
	bad  map[string]time.Time
	// noPathAt is when those that were asked last were found to reach no endpoint of a service, by
	// service.
	noPathAt map[string]time.Time
	// verdicts has the last answers about endpoints that could not be reached, by address.
	verdicts map[string]conclusion
}

// conclusion is what the instances that were asked said about an endpoint.
type conclusion struct {
	at     time.Time
	result forwardResult
}

// goodPeer is an instance that forwarded a connection.
type goodPeer struct {
	at time.Time
	// load is the number of connections that it forwarded then.
	load int64
}

// newPeerHealth returns a peerHealth without records.
func newPeerHealth(s Settings) *peerHealth {
	return &peerHealth{
		settings: s,
		good:     make(map[string]goodPeer),
		bad:      make(map[string]time.Time),
		noPathAt: make(map[string]time.Time),
		verdicts: make(map[string]conclusion),
	}
}

// opened records that an instance forwards a connection, and its load.
func (h *peerHealth) opened(id string, load int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.bad, id)
	h.good[id] = goodPeer{
		at:   h.settings.Now(),
		load: load,
	}
}

// record records the answer of an instance that doesn't forward a connection. One that reaches
// other endpoints remains a good choice for these.
func (h *peerHealth) record(r forwardResult) {
	if r.err == nil || r.verdict == unreachable {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.good, r.peer.ID)
	h.bad[r.peer.ID] = h.settings.Now()
}

// concluded records what the instances that were asked said about an endpoint of a service.
func (h *peerHealth) concluded(address, service string, r forwardResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.settings.Now()
	delete(h.noPathAt, service)
	if r.err != nil && r.verdict == noPath {
		h.noPathAt[service] = now
	}
	delete(h.verdicts, address)
	if r.err == nil || r.verdict == unknown {
		return
	}
	maps.DeleteFunc(h.verdicts, func(_ string, c conclusion) bool { return now.Sub(c.at) > verdictFor })
	h.verdicts[address] = conclusion{
		at:     now,
		result: r,
	}
}

// recent returns the last answer about an endpoint that could not be reached, or false if there is
// none or it is too old.
func (h *peerHealth) recent(address string) (forwardResult, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := h.verdicts[address]
	return c.result, ok && h.settings.Now().Sub(c.at) <= verdictFor
}

// noneReaches reports whether none of the instances that were asked last reached a service, less than
// probeInterval ago.
func (h *peerHealth) noneReaches(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, found := h.noPathAt[service]
	return found && h.settings.Now().Sub(at) < probeInterval
}

// classes of instances, in the order in which they are asked.
const (
	classGood = iota
	classNear
	classFar
	classBad
)

// choose returns the instances to ask in order, at most n. It prefers those that forwarded lately
// and have the least load, then those of its own failure domain. The second one is of another
// failure domain than the first, as the instances of one may be cut off together.
func (h *peerHealth) choose(peers []Peer, n int) []Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget()
	list := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.ID == h.settings.Self })
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	good := 0
	for _, p := range list {
		if _, ok := h.good[p.ID]; ok {
			good++
		}
	}
	slices.SortStableFunc(list, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(h.class(a), h.class(b)), cmp.Compare(h.good[a.ID].load, h.good[b.ID].load))
	})
	if good > 0 && good < wantedGood && len(list) > good && h.class(list[good]) < classBad {
		// Trying one more instance spreads the load over several.
		list[0], list[good] = list[good], list[0]
	}
	if len(list) > 1 {
		other := slices.IndexFunc(list[1:], func(p Peer) bool {
			return p.FailureDomain != list[0].FailureDomain && h.class(p) != classBad
		})
		if other > 0 && h.class(list[1]) != classGood {
			list[1], list[1+other] = list[1+other], list[1]
		}
	}
	return list[:min(n, len(list))]
}

// class returns the class of an instance. The caller holds h.mu.
func (h *peerHealth) class(p Peer) int {
	if _, ok := h.good[p.ID]; ok {
		return classGood
	}
	if _, ok := h.bad[p.ID]; ok {
		return classBad
	}
	if p.FailureDomain == h.settings.FailureDomain {
		return classNear
	}
	return classFar
}

// forget removes outdated records. The caller holds h.mu.
func (h *peerHealth) forget() {
	now := h.settings.Now()
	for id, g := range h.good {
		if now.Sub(g.at) > trustFor {
			delete(h.good, id)
		}
	}
	for id, at := range h.bad {
		if now.Sub(at) > avoidFor {
			delete(h.bad, id)
		}
	}
}
