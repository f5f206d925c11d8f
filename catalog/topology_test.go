// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// instanceSet returns instances in five failure domains. Those in capable have enough capacity
// for a relay.
func instanceSet(capable, weak int) map[string]Peer {
	out := make(map[string]Peer)
	for i := range capable + weak {
		p := Peer{
			ID:            fmt.Sprint("n", i),
			FailureDomain: fmt.Sprint("d", i%5),
			Capacity:      100,
		}
		if i < capable {
			p.Capacity = 800
		}
		out[p.ID] = p
	}
	return out
}

// TestTopology checks the numbers of readers and relays at several fleet sizes and, up to 2,000
// instances, that no relay exceeds its limit if all instances follow their first choice.
func TestTopology(t *testing.T) {
	for _, row := range []struct {
		capable, weak int
		readers       int
		relays        int
	}{
		{1, 0, 1, 1},
		{2, 4, 2, 2},
		{22, 0, 2, 2},
		{15, 280, 2, 10},
		{1, 294, 2, 2},
		{60, 1140, 2, 38},
		{10_000, 0, 10, 313},
	} {
		t.Run(fmt.Sprint(row.capable, "+", row.weak), func(t *testing.T) {
			is := is.New(t)
			peers := instanceSet(row.capable, row.weak)
			if len(peers) > 2000 {
				r := newTopology(peers["n0"], peers, 2, 0)
				is.Equal(r.readers, row.readers)
				is.Equal(r.relays, row.relays)
				return
			}
			followers := make(map[string]int)
			for _, p := range peers {
				r := newTopology(p, peers, 2, 0)
				is.Equal(r.readers, row.readers)
				is.Equal(r.relays, row.relays)
				is.Equal(len(r.upstreams), len(peers)-1)
				if len(r.upstreams) > 0 && !r.isReader() {
					followers[r.upstreams[0].ID]++
				}
			}
			for id, n := range followers {
				r := newTopology(peers[id], peers, 2, 0)
				is.True(r.self < r.relays)
				is.True(n <= r.followerLimit)
				if row.capable >= row.relays {
					is.Equal(peers[id].Capacity, 800) // weak instances have no followers
				}
			}
		})
	}
}

// TestUpstreamOrder checks that an instance tries its preferred upstreams often enough and
// every other instance eventually.
func TestUpstreamOrder(t *testing.T) {
	for _, row := range []struct{ capable, weak int }{{2, 0}, {22, 0}, {15, 280}, {1, 3}} {
		t.Run(fmt.Sprint(row.capable, "+", row.weak), func(t *testing.T) {
			is := is.New(t)
			peers := instanceSet(row.capable, row.weak)
			for id, p := range peers {
				r := newTopology(p, peers, 2, 0)
				seen := make(map[string]bool)
				patientAttempts := 0
				quick := r.quickAttempts()
				for attempt := range quick + 30*len(peers) {
					s, patient := r.upstreamFor(attempt)
					seen[s.ID] = true
					if patient {
						is.True(attempt >= quick)
						patientAttempts++
					}
				}
				is.True(!seen[id])
				is.Equal(len(seen), len(peers)-1)
				is.True(r.preferred == 0 || patientAttempts >= 30*len(peers)/patientEvery)
			}
		})
	}
}

// TestPrimaryFollowers checks that primaryFollowers is consistent with the first choice of each
// instance.
func TestPrimaryFollowers(t *testing.T) {
	is := is.New(t)
	peers := instanceSet(15, 280)
	first := make(map[string]string)
	for _, p := range peers {
		first[p.ID] = newTopology(p, peers, 2, 0).upstreams[0].ID
	}
	total := 0
	for _, p := range peers {
		for _, follower := range newTopology(p, peers, 2, 0).primaryFollowers() {
			is.Equal(first[follower.ID], p.ID)
			total++
		}
	}
	is.Equal(total, len(peers))
}

// TestPrecedes checks that exactly one of two instances precedes the other, and that no instance
// is preceded by itself or by an unknown one.
func TestPrecedes(t *testing.T) {
	is := is.New(t)
	peers := instanceSet(5, 0)
	a, b := newTopology(peers["n0"], peers, 2, 0), newTopology(peers["n1"], peers, 2, 0)
	is.True(a.precedes("n1") != b.precedes("n0"))
	is.True(!a.precedes("n0"))
	is.True(!a.precedes("unknown"))
}

// BenchmarkTopology measures the computation of the topology and of the primary followers.
func BenchmarkTopology(b *testing.B) {
	for _, n := range []int{295, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			peers := instanceSet(n/20, n-n/20)
			for b.Loop() {
				newTopology(peers["n0"], peers, 2, 0).primaryFollowers()
			}
		})
	}
}
