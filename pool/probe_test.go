// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFailedTrialIsNotTheLast guards against endpoints that get nothing any more once the one
// request that tries them, after they were set aside, has failed.
func TestFailedTrialIsNotTheLast(t *testing.T) {
	for _, o := range []Outcome{Failed, Unreachable} {
		t.Run(o.String(), func(t *testing.T) {
			w := newRateLimitHarness(t, 1, 2, rateModel())
			s := w.instances[0]
			end := func(entry string, fails bool) (tried bool) {
				w.asked++
				id := fmt.Sprint("r", w.asked)
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
				end(fmt.Sprint("n", 1+i%2), true)
			}
			is.New(t).True(!end("n1", true)) // set aside
			trials := 0
			for range 30 {
				w.run(time.Second, func(int) {})
				if end("n1", trials < 2) {
					trials++
				}
			}
			t.Logf("%d requests after it was set aside", trials)
			is.New(t).True(trials > 2)
		})
	}
}
