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

// domains returns what is known of two endpoints in each of the failure domains "d0" and
// "d1", for each of the services "engines" and "plain".
func domains(emptied ...string) *catalog.Snapshot {
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
	for _, d := range emptied {
		s.Drained[d] = time.Now()
	}
	return s
}

// emptiedPool runs a test with a scheduler in virtual time.
func emptiedPool(t *testing.T, f func(ctx context.Context, is *is.I, s *pool.Scheduler)) {
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

// assertOnly places some requests and checks that all come to one failure domain, with
// those who read their prompts.
func assertOnly(ctx context.Context, is *is.I, s *pool.Scheduler, service, domain string, emptied ...string) {
	is.Helper()
	at := domains().Endpoints
	for i := range 6 {
		a := prompt(fmt.Sprintf("%s-%d", service, i), 90_000, 5*time.Second)
		a.Service = service
		a.DrainedDomains = emptied
		g, err := s.Place(ctx, a)
		is.NoErr(err)
		is.Equal(at[g.Instance].FailureDomain, domain)
		for _, r := range g.Shares {
			is.Equal(at[r.Instance].FailureDomain, domain)
		}
		s.End(a.ID, service, pool.Served, "")
	}
}

// TestEmptied looks that nothing is placed in an emptied failure domain, whether the owner
// knows of it or only the entry that asks, and that requests return once it is restored.
func TestEmptied(t *testing.T) {
	for _, service := range []string{"engines", "plain"} {
		t.Run(service, func(t *testing.T) {
			emptiedPool(t, func(ctx context.Context, is *is.I, s *pool.Scheduler) {
				s.Update(domains("d0"))
				assertOnly(ctx, is, s, service, "d1")
				s.Update(domains("d1"))
				assertOnly(ctx, is, s, service, "d0")
				s.Update(domains())
				assertOnly(ctx, is, s, service, "d0", "d1")
				s.Update(domains("unknown"))
				assertOnly(ctx, is, s, service, "d1", "d0")
			})
		})
	}
}

// TestAllEmptied looks that a request is refused at once, with a time to come back, when
// all failure domains of its service are emptied, and that one that waits is.
func TestAllEmptied(t *testing.T) {
	for _, service := range []string{"engines", "plain"} {
		t.Run(service, func(t *testing.T) {
			emptiedPool(t, func(ctx context.Context, is *is.I, s *pool.Scheduler) {
				s.Update(domains("d0", "d1"))
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

// TestEmptiedWhileWaiting empties the failure domain that a request waits for.
func TestEmptiedWhileWaiting(t *testing.T) {
	emptiedPool(t, func(ctx context.Context, is *is.I, s *pool.Scheduler) {
		s.Update(domains("d0"))
		for i := range 2 {
			_, err := s.Place(ctx, prompt(fmt.Sprint("long-", i), 90_000, 5*time.Second))
			is.NoErr(err)
		}
		w := s.Submit(returning("waits", 90_000, 4*time.Second))
		time.Sleep(100 * time.Millisecond)
		_, _, decided := w.Decision()
		is.True(!decided)
		s.Update(domains("d1"))
		time.Sleep(100 * time.Millisecond)
		g, _, decided := w.Decision()
		is.True(decided)
		is.Equal(domains().Endpoints[g.Instance].FailureDomain, "d0")
	})
}

// TestEmptiedKnownToEntry lets only the entry know that a failure domain is emptied.
func TestEmptiedKnownToEntry(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	for name, e := range f.snap.Endpoints {
		e.FailureDomain = "d-" + name
		f.snap.Endpoints[name] = e
	}
	for _, n := range f.nodes {
		n.scheduler.Update(f.snap)
	}
	owner := f.owner("")
	for _, n := range f.nodes {
		if n == owner {
			continue
		}
		told := *f.snap
		told.Drained = map[string]time.Time{"d-e0": time.Now()}
		n.client.Update(&told)
		for i := range 12 {
			g := n.place(t, ask(fmt.Sprintf("%s-%d", n.self.ID, i)))
			is.True(g.Instance != "e0")
			n.client.End(fmt.Sprintf("%s-%d", n.self.ID, i), "engines", pool.Served, "")
		}
	}
}
