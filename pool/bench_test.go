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

// BenchmarkPlace decides on a short request in a pool of 64 engines with twelve requests
// each: 31 to 34 µs, and 28 to 32 µs before there was a price of engines' time and a look
// at the work ahead (three runs each, beside other work on the machine).
func BenchmarkPlace(b *testing.B) {
	const size, running = 64, 12
	s := pool.NewScheduler(pool.Settings{
		Self: "n0",
	}, logr.Discard())
	snap := &catalog.Snapshot{
		Table: route.New(1, nil, []route.Service{
			{Name: "engines", Engine: emulatedModel(1)},
		}, nil, false, route.Limits{}),
		Endpoints: make(map[string]catalog.Endpoint),
	}
	for i := range size {
		name := fmt.Sprintf("e%02d", i)
		snap.Endpoints[name] = catalog.Endpoint{
			Instance: name,
			Service:  "engines",
			Slots:    emulatedSlots,
		}
	}
	s.Update(snap)
	place := func(id string) {
		if _, err := s.Place(b.Context(), prompt(id, shortPrompt, time.Minute)); err != nil {
			b.Fatal(err)
		}
	}
	for i := range size * running {
		place(fmt.Sprint("r", i))
	}
	b.ReportAllocs()
	for b.Loop() {
		place("one")
		s.End("one", "engines", pool.Abandoned, "")
	}
}
