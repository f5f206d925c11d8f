// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/emulator"
	"github.com/linkmast/linkmast/pool"
)

// TestRefusedInTime plays twice what the engines can do. It looks that no request for a
// long prompt waits for longer than it could be in time and is refused then: its caller
// has nothing of that, and others come all the time that go first.
func TestRefusedInTime(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			s := thirdOfSheet(t, "contended.toml", 2)
			requests := emulator.Draw(s, seed)
			r := emulator.Play(s, requests, pool.Settings{}, seed)
			refused := 0
			longest := make([]time.Duration, len(s.Kinds))
			for i, o := range r.Outcomes {
				k := requests[i].Kind
				longest[k] = max(longest[k], o.LongestRefusedWait)
				if o.Cause == emulator.CauseRefused {
					refused++
				}
			}
			t.Log("refused in the end:", refused, "longest held and refused:", longest)
			is.True(refused > 0) // or nothing is tested
			for k := range s.Kinds[1:] {
				is.True(longest[k+1] <= time.Duration(s.Kinds[k+1].Target)+50*time.Millisecond)
			}
		})
	}
}
