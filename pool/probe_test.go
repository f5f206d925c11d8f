// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestProbesContinueAfterFailure guards against endpoints that get no requests any more once a
// probe request after their ejection has failed.
func TestProbesContinueAfterFailure(t *testing.T) {
	for _, o := range []Outcome{Failed, Unreachable} {
		t.Run(o.String(), func(t *testing.T) {
			w := newRateLimitHarness(t, 1, 2, idleModel())
			s := w.instances[0]
			// send places a request and ends it: with outcome o if fails is set and e0 got it, as
			// served otherwise. It reports whether e0 got it.
			send := func(entry string, fails bool) (probed bool) {
				w.count++
				id := fmt.Sprint("r", w.count)
				x := s.submitFor(PlacementRequest{
					ID:       id,
					Service:  "s",
					Target:   300 * time.Millisecond,
					Deadline: 4 * time.Second,
				}, entry, false)
				g, r, decided := x.Decision()
				is.New(t).True(decided && r == nil)
				outcome := Served
				if fails && g.Instance == "e0" {
					outcome = o
				}
				s.EndFrom(id, "s", outcome, "", entry)
				return g.Instance == "e0"
			}
			for i := range 8 {
				send(fmt.Sprint("n", 1+i%2), true)
			}
			is.New(t).True(!send("n1", true)) // ejected
			probes := 0
			for range 30 {
				w.run(time.Second, func(int) {})
				if send("n1", probes < 2) {
					probes++
				}
			}
			t.Logf("%d requests after the ejection", probes)
			is.New(t).True(probes > 2)
		})
	}
}
