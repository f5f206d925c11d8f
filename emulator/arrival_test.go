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

// TestRefusedInTime plays a sheet at twice its load. It guards against long prompts that are
// queued beyond their target and then refused.
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
			t.Log("refused:", refused, "longest wait before a refusal:", longest)
			is.True(refused > 0) // otherwise the test checks nothing
			for k := range s.Kinds[1:] {
				is.True(longest[k+1] <= time.Duration(s.Kinds[k+1].Target)+50*time.Millisecond)
			}
		})
	}
}
