// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/route"
)

// newBusy returns a scheduler for a pool with the given number of engines and, on average, the
// given number of running requests on each.
func newBusy(b *testing.B, size, running int) *pool.Scheduler {
	b.Helper()
	s := pool.NewScheduler(pool.Settings{
		Self: "n0",
	}, logr.Discard())
	snap := &catalog.Snapshot{
		Table: route.New(1, nil, []route.Service{
			{Name: "engines", Engine: emulatedModel()},
		}, nil, false, route.Limits{}),
		Endpoints: make(map[string]catalog.Endpoint),
	}
	for i := range size {
		name := fmt.Sprintf("e%04d", i)
		snap.Endpoints[name] = catalog.Endpoint{
			Instance: name,
			Service:  "engines",
			Slots:    emulatedSlots,
		}
	}
	s.Update(snap)
	for i := range size * running {
		if _, err := s.Place(b.Context(), prompt(fmt.Sprint("r", i), shortPrompt, time.Minute)); err != nil {
			b.Fatal(err)
		}
	}
	return s
}

// BenchmarkPlace measures one placement, of a short and of a long prompt, in pools of several
// sizes.
func BenchmarkPlace(b *testing.B) {
	const running = 6
	for _, row := range []struct {
		name   string
		tokens int
	}{
		{"short", shortPrompt},
		{"long", 190_000},
	} {
		for _, size := range []int{64, 150, 1000, 2000} {
			b.Run(fmt.Sprint(row.name, "/", size), func(b *testing.B) {
				s := newBusy(b, size, running)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := s.Place(b.Context(), prompt("one", row.tokens, time.Minute)); err != nil {
						b.Fatal(err)
					}
					s.End("one", "engines", pool.Abandoned, "")
				}
			})
		}
	}
}
