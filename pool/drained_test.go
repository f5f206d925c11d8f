// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"context"
	"errors"
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

// drainedSnapshot returns a snapshot with two endpoints in each of the failure domains "d0" and
// "d1" for each of the services "engines" and "plain", and with the given domains drained.
func drainedSnapshot(drained ...string) *catalog.Snapshot {
	s := &catalog.Snapshot{
		Table: route.New(1, nil, []route.Service{
			{Name: "engines", Engine: model()},
			{Name: "plain"},
		}, nil, false, route.Limits{}),
		Endpoints: make(map[string]catalog.Endpoint),
		Drained:   make(map[string]time.Time),
	}
	for i := range 4 {
		for _, service := range []string{"engines", "plain"} {
			name := fmt.Sprintf("%s-%d", service, i)
			s.Endpoints[name] = catalog.Endpoint{
				Instance:      name,
				Service:       service,
				Address:       name + ":1",
				FailureDomain: fmt.Sprintf("d%d", i%2),
				Slots:         4,
			}
		}
	}
	for _, d := range drained {
		s.Drained[d] = time.Now()
	}
	return s
}

// withScheduler runs f with a scheduler in virtual time.
func withScheduler(t *testing.T, f func(ctx context.Context, is *is.I, s *pool.Scheduler)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := pool.NewScheduler(pool.Settings{
			Self: "n0",
		}, logr.Discard())
		ctx, stop := background(t, s.Run)
		defer stop()
		f(ctx, is.New(t), s)
	})
}

// assertOnly places some requests and checks that all of them, and the helpers of their
// prefills, are in the given failure domain. Drained lists the domains that are drained according
// to the entry instance.
func assertOnly(ctx context.Context, is *is.I, s *pool.Scheduler, service, domain string, drained ...string) {
	is.Helper()
	at := drainedSnapshot().Endpoints
	for i := range 6 {
		a := prompt(fmt.Sprintf("%s-%d", service, i), 90_000, 5*time.Second)
		a.Service = service
		a.DrainedDomains = drained
		g, err := s.Place(ctx, a)
		is.NoErr(err)
		is.Equal(at[g.Instance].FailureDomain, domain)
		for _, r := range g.Shares {
			is.Equal(at[r.Instance].FailureDomain, domain)
		}
		s.End(a.ID, service, pool.Served, "")
	}
}

// TestDrainedDomainGetsNoRequests checks that nothing is placed in a failure domain that is
// drained according to the owner or to the entry instance, and that requests return once it is
// undrained.
func TestDrainedDomainGetsNoRequests(t *testing.T) {
	for _, service := range []string{"engines", "plain"} {
		t.Run(service, func(t *testing.T) {
			withScheduler(t, func(ctx context.Context, is *is.I, s *pool.Scheduler) {
				s.Update(drainedSnapshot("d0"))
				assertOnly(ctx, is, s, service, "d1")
				s.Update(drainedSnapshot("d1"))
				assertOnly(ctx, is, s, service, "d0")
				s.Update(drainedSnapshot())
				assertOnly(ctx, is, s, service, "d0", "d1")
				s.Update(drainedSnapshot("unknown"))
				assertOnly(ctx, is, s, service, "d1", "d0")
			})
		})
	}
}

// TestRefusedWhileAllDrained checks that a request is refused at once, with a sufficient
// RetryAfter, if all failure domains of its service are drained.
func TestRefusedWhileAllDrained(t *testing.T) {
	for _, service := range []string{"engines", "plain"} {
		t.Run(service, func(t *testing.T) {
			withScheduler(t, func(ctx context.Context, is *is.I, s *pool.Scheduler) {
				s.Update(drainedSnapshot("d0", "d1"))
				a := prompt("a", 1000, time.Second)
				a.Service = service
				began := time.Now()
				_, err := s.Place(ctx, a)
				var r *pool.Refusal
				is.True(errors.As(err, &r))
				is.True(r.RetryAfter >= 2*time.Second)
				is.Equal(time.Since(began), time.Duration(0))
			})
		})
	}
}

// TestDrainedWhileWaiting checks that a waiting request is placed in another failure domain, which
// is undrained, once the domain of the endpoints for which it waits is drained.
func TestDrainedWhileWaiting(t *testing.T) {
	withScheduler(t, func(ctx context.Context, is *is.I, s *pool.Scheduler) {
		s.Update(drainedSnapshot("d0"))
		for i := range 2 {
			_, err := s.Place(ctx, prompt(fmt.Sprint("long-", i), 90_000, 5*time.Second))
			is.NoErr(err)
		}
		w := s.Submit(returning("waits", 90_000, 4*time.Second))
		time.Sleep(100 * time.Millisecond)
		_, _, decided := w.Decision()
		is.True(!decided)
		s.Update(drainedSnapshot("d1"))
		time.Sleep(100 * time.Millisecond)
		g, _, decided := w.Decision()
		is.True(decided)
		is.Equal(drainedSnapshot().Endpoints[g.Instance].FailureDomain, "d0")
	})
}

// TestDrainedAccordingToEntry checks that the owner respects a drained failure domain of which
// only the entry instance knows.
func TestDrainedAccordingToEntry(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	for name, e := range f.snap.Endpoints {
		e.FailureDomain = "d-" + name
		f.snap.Endpoints[name] = e
	}
	for _, n := range f.nodes {
		n.scheduler.Update(f.snap)
	}
	owner := f.owner()
	for _, n := range f.nodes {
		if n == owner {
			continue
		}
		known := *f.snap
		known.Drained = map[string]time.Time{"d-e0": time.Now()}
		n.client.Update(&known)
		for i := range 12 {
			g := n.place(t, request(fmt.Sprintf("%s-%d", n.self.ID, i)))
			is.True(g.Instance != "e0")
			n.client.End(fmt.Sprintf("%s-%d", n.self.ID, i), "engines", pool.Served, "")
		}
	}
}
