// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/route"
)

// TestFallbackInstancesSpread guards against instances that reach no owner and together place more
// first requests on an engine than it has slots.
func TestFallbackInstancesSpread(t *testing.T) {
	is := is.New(t)
	const instances, engines, slots = 300, 150, 10
	snap := &catalog.Snapshot{
		Table: route.New(1, nil, []route.Service{{
			Name: "engines",
			Engine: &batch.Model{
				Slots:            slots,
				Capacity:         200_000,
				StepsPerPass:     68,
				Step:             time.Millisecond,
				PrefillPerSecond: 200_000,
			},
		}}, nil, false, route.Limits{}),
		Endpoints: make(map[string]catalog.Endpoint),
	}
	for i := range engines {
		name := fmt.Sprintf("e%03d", i)
		snap.Endpoints[name] = catalog.Endpoint{
			Instance: name,
			Service:  "engines",
			Slots:    slots,
		}
	}
	placements := make(map[string]int)
	for i := range instances {
		s := NewScheduler(Settings{
			Self: fmt.Sprint("n", i),
		}, logr.Discard())
		s.Update(snap)
		g, err := s.place(t.Context(), PlacementRequest{
			ID:       "one",
			Service:  "engines",
			Prompt:   5000,
			Output:   1000,
			Target:   400 * time.Millisecond,
			Gap:      250 * time.Millisecond,
			Deadline: 10 * time.Second,
		}, true)
		is.NoErr(err)
		placements[g.Instance]++
	}
	for _, n := range placements {
		is.True(n <= slots)
	}
}

// TestOwnersHaveCapacity checks that the owners of pools and their standbys are instances with much
// capacity, and that these share the pools. A weak owner would decide late under a burst.
func TestOwnersHaveCapacity(t *testing.T) {
	is := is.New(t)
	const pools, strong, weak = 60, 15, 280
	snap := &catalog.Snapshot{
		Peers: make(map[string]catalog.Peer),
	}
	for i := range strong + weak {
		p := catalog.Peer{
			ID:       fmt.Sprint("n", i),
			Capacity: 100,
		}
		if i < strong {
			p.Capacity = 800
		}
		snap.Peers[p.ID] = p
	}
	c := NewClient(snap.Peers["n20"], nil, nil, logr.Discard())
	owned := make(map[string]int)
	for i := range pools {
		for _, id := range c.rankOwners(fmt.Sprint("s", i), snap)[:followedOwners] {
			is.Equal(snap.Peers[id].Capacity, 800)
			owned[id]++
		}
	}
	is.Equal(len(owned), strong) // they share the pools
}
