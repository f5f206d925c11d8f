// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/route"
)

// newPlainSchedulers returns the schedulers of some instances that know the same plain
// endpoints.
func newPlainSchedulers(instances, endpoints int) []*pool.Scheduler {
	snap := &catalog.Snapshot{
		Table:     route.New(1, nil, []route.Service{{Name: "plain"}}, nil, false, route.Limits{}),
		Endpoints: make(map[string]catalog.Endpoint),
	}
	for i := range endpoints {
		name := fmt.Sprintf("p%02d", i)
		snap.Endpoints[name] = catalog.Endpoint{
			Instance: name,
			Service:  "plain",
			Slots:    6,
		}
	}
	out := make([]*pool.Scheduler, instances)
	for i := range out {
		out[i] = pool.NewScheduler(pool.Settings{
			Self: fmt.Sprint("n", i),
		}, logr.Discard())
		out[i].Update(snap)
	}
	return out
}

// placePlain places a request and returns its endpoint.
func placePlain(t *testing.T, s *pool.Scheduler, id string) string {
	t.Helper()
	g, err := s.Place(t.Context(), pool.PlacementRequest{
		ID:       id,
		Service:  "plain",
		Target:   300 * time.Millisecond,
		Deadline: time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	return g.Instance
}

// TestPlainInstancesSpread guards against idle instances that all place their first request on
// the same plain endpoint.
func TestPlainInstancesSpread(t *testing.T) {
	is := is.New(t)
	const instances, endpoints = 300, 12
	arrivals := make(map[string]int)
	for _, s := range newPlainSchedulers(instances, endpoints) {
		arrivals[placePlain(t, s, "one")]++
	}
	is.Equal(len(arrivals), endpoints)
	for _, n := range arrivals {
		is.True(n <= 2*instances/endpoints)
	}
}

// TestPlainInstanceKeepsEndpoint checks that an idle instance always uses the same endpoint, so
// that it can reuse its connection, and uses others while it has requests there.
func TestPlainInstanceKeepsEndpoint(t *testing.T) {
	is := is.New(t)
	s := newPlainSchedulers(1, 12)[0]
	first := placePlain(t, s, "one")
	second := placePlain(t, s, "two")
	is.True(first != second)
	s.End("one", "plain", pool.Served, "")
	is.Equal(placePlain(t, s, "three"), first)
}

// TestPlainEndpointUsedAgain guards against a plain endpoint that failed and then gets no requests while
// others are idle, so that its failures are never forgotten.
func TestPlainEndpointUsedAgain(t *testing.T) {
	for _, o := range []pool.Outcome{pool.Rejected, pool.Failed} {
		t.Run(fmt.Sprint(o), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newPlainSchedulers(1, 2)[0]
				try := func(i int, o pool.Outcome) string {
					id := fmt.Sprint("r", i)
					endpoint := placePlain(t, s, id)
					s.End(id, "plain", o, "")
					return endpoint
				}
				first := try(0, o)
				for i := range 3 {
					is.True(try(1+i, pool.Served) != first) // another one while the failure is recent
				}
				time.Sleep(30 * time.Second)
				is.Equal(try(4, pool.Served), first)
			})
		})
	}
}
