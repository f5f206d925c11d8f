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

// newBusy returns a scheduler with a pool of engines that run so many requests each.
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

// BenchmarkPlace decides on a request in pools of several sizes with some requests on
// each engine. At 64, 150 and 1,000 engines a short prompt took 23, 61 and 534 µs before
// the way to the engines was part of the model and 38, 67 and 576 µs with it, a long one
// 149, 422 and 2,819 µs, and 170, 406 and 2,706 µs. With engines played forward a short one
// takes 39, 111 and 691 µs, a long one 197, 545 and 4,096 µs (one run each, beside other work
// on the machine). With endpoints that stop being looked for among all attempts, which are
// silent here, a short one takes 35, 82 and 3,235 µs and at 2,000 engines 6,894 µs, a long one
// 159, 415, 12,195 and 26,768 µs.
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
