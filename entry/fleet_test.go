// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/member"
	"github.com/linkmast/linkmast/policy"
)

// newTestFleet returns a fleet of n engines without summaries.
func newTestFleet(n int) *fleet {
	f := newFleet(policy.Weighed{}, "r1", "d1")
	file := &config.File{}
	for i := range n {
		file.Endpoints = append(file.Endpoints, config.Endpoint{
			ID:                     fmt.Sprintf("e%d", i+1),
			Kind:                   config.KindEngine,
			Address:                fmt.Sprintf("10.0.0.%d:1", i+1),
			FailureDomain:          "d1",
			Model:                  "m1",
			MemoryBytes:            1 << 30,
			PrefillTokensPerSecond: 40_000,
			MaxRunning:             64,
		})
	}
	f.rebuild(config.NewView(file, 1), &member.View{})
	return f
}

// TestChooseSpreadsLoad guards against simultaneous requests that all go to one endpoint, with
// and without summaries.
func TestChooseSpreadsLoad(t *testing.T) {
	for _, known := range []bool{false, true} {
		t.Run(fmt.Sprintf("known %v", known), func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(3)
			now := time.Now()
			if known {
				var s []policy.Summary
				for i := range 3 {
					s = append(s, policy.Summary{
						Endpoint: fmt.Sprintf("e%d", i+1),
						Free:     1 << 30,
						Slots:    64,
					})
				}
				f.updateSummaries(s, now)
			}
			got := make(map[string]int)
			for i := range 12 {
				w := &policy.Work{
					ID:       fmt.Sprint(i),
					Prompt:   5,
					Bytes:    1 << 20,
					Arrived:  now,
					Deadline: now.Add(time.Minute),
				}
				got[f.choose("m1", w, 0, nil, now).endpoint]++
			}
			is.Equal(got, map[string]int{"e1": 4, "e2": 4, "e3": 4})
		})
	}
}
