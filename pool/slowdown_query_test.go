// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/route"
)

// TestWorkOfUnlikeEngines looks that what engines have to read counts by their model, and
// how much of it they do in a second by their pace.
func TestWorkOfUnlikeEngines(t *testing.T) {
	is := is.New(t)
	p := busyPool()
	p.list = append(p.list, busyPool().list...)
	p.list[1].SetSlowdown(4, moment)
	is.Equal(p.list[1].PendingPrefill(), 4*p.list[0].PendingPrefill())
	is.Equal(p.pendingPrefill(), 20*time.Second)
	is.Equal(totalSpeed(p.list), 1.25)
	is.Equal(p.countSlow(), 1)
}

// countedReports counts questions, which nothing answers. It implements SlowdownQuerier.
type countedReports struct {
	asked int
}

// QuerySlowdown implements SlowdownQuerier.
func (c *countedReports) QuerySlowdown(string, func(float64)) {
	c.asked++
}

// TestAloneDoesNotAsk looks that an instance asks engines while it decides for all, and not
// while no owner is in touch: there may be many such instances.
func TestAloneDoesNotAsk(t *testing.T) {
	for _, row := range []struct {
		name  string
		alone bool
		asked int
	}{
		{"decides for all", false, 1},
		{"alone", true, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			now := moment
			reports := &countedReports{}
			s := NewScheduler(Settings{
				SlowdownQuerier: reports,
				Now:             func() time.Time { return now },
			}, logr.Discard())
			p := s.pool("engines")
			p.upsert(catalog.Endpoint{
				Instance: "e0",
				Slots:    4,
			}, &route.Service{
				Engine: &batch.Model{
					PrefillPerSecond: 100_000,
					Capacity:         1_000_000,
				},
			})
			w := s.submit(PlacementRequest{
				ID:       "a",
				Service:  "engines",
				Prompt:   10_000,
				Target:   time.Second,
				Deadline: time.Minute,
			}, row.alone)
			is.True(len(w.granted) == 1)
			now = now.Add(300 * time.Millisecond)
			s.First("a", "engines")
			is.Equal(reports.asked, row.asked)
		})
	}
}
