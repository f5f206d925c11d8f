// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/route"
)

// TestPlacementLogLine guards against a log line of a placement that lacks the helpers of a joint
// prefill, the engine time that the request takes, or the price of that time.
func TestPlacementLogLine(t *testing.T) {
	is := is.New(t)
	var lines []string
	s := pool.NewScheduler(pool.Settings{
		Self: "n0",
	}, funcr.NewJSON(func(line string) { lines = append(lines, line) }, funcr.Options{}))
	s.Update(&catalog.Snapshot{
		Table: route.New(1, nil, []route.Service{
			{Name: "engines", Engine: model()},
		}, nil, false, route.Limits{}),
		Endpoints: map[string]catalog.Endpoint{
			"e0": {
				Instance: "e0",
				Service:  "engines",
				Slots:    4,
			},
			"e1": {
				Instance: "e1",
				Service:  "engines",
				Slots:    4,
			},
		},
	})
	// The prompt does not fit into the memory of one engine.
	g, err := s.Place(t.Context(), prompt("long", 150_000, 10*time.Second))
	is.NoErr(err)
	is.Equal(len(g.Shares), 1)
	is.Equal(len(lines), 1)
	is.True(strings.Contains(lines[0], `"readers":["`+g.Shares[0].Instance+`"]`))
	is.True(strings.Contains(lines[0], `"price":0`))
	is.True(strings.Contains(lines[0], `"work_ms":`))
}
