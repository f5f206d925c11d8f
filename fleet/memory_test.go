// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/entry"
	"github.com/linkmast/linkmast/standin"
)

// TestCallerDisconnects guards against an attempt that keeps the memory of its engine after
// its caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	for _, lost := range []int{0, 1, 5} {
		t.Run(fmt.Sprintf("%d cancels lost", lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := newVirtualFleet(t, smallFleet())
				defer v.stop()
				for _, e := range v.engines {
					e.SetFaults(standin.Faults{LoseCancel: lost})
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan response, 1)
				go func() {
					done <- v.send(ctx, "n1", "/v1/completions", completionBody("gone", 1000, true), nil)
				}()
				time.Sleep(time.Second)
				is.True(v.heldBytes() > 0)
				cancel()
				<-done
				checkMemoryReleased(t, v)
			})
		})
	}
}

// TestMemoryReleasedAfterHolderLoss guards against long streams that keep the memory of
// their engines after their holder, the node that dispatched them, was lost.
func TestMemoryReleasedAfterHolderLoss(t *testing.T) {
	for _, c := range []struct {
		name   string
		inject func(v *virtualFleet)
	}{
		{"killed", func(v *virtualFleet) { v.kill("n1") }},
		{"frozen", func(v *virtualFleet) { v.freeze("n1") }},
		{"disconnected from everything", func(v *virtualFleet) { v.setCut("n1", true) }},
		{"killed, and another after it", func(v *virtualFleet) {
			v.kill("n1")
			time.Sleep(time.Second)
			v.kill("n2")
		}},
		{"killed, and cancels are lost", func(v *virtualFleet) {
			for _, e := range v.engines {
				e.SetFaults(standin.Faults{LoseCancel: 3})
			}
			v.kill("n1")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				v := newVirtualFleet(t, smallFleet())
				defer v.stop()
				ctx, cancel := context.WithCancel(t.Context())
				var all sync.WaitGroup
				for i := range 6 {
					all.Go(func() {
						v.send(ctx, "n1", "/v1/completions", completionBody(fmt.Sprintf("endless %d", i), 4_000, true), nil)
					})
				}
				time.Sleep(2 * time.Second)
				is.True(v.heldBytes() > 0)
				c.inject(v)
				checkMemoryReleased(t, v)
				cancel()
				all.Wait()
			})
		})
	}
}

// TestJointPrefill guards against wrong or missing answers to prompts that are too
// large for one engine, and against memory that stays reserved for them. Two such
// prompts compete for the same engines, in some cases while an engine or a node
// fails.
func TestJointPrefill(t *testing.T) {
	for _, c := range []struct {
		name   string
		inject func(v *virtualFleet)
		// minAnswered is how many of the two requests must be answered.
		minAnswered int
		// first is the number, from 1, of the node that gets the first of the two requests; the
		// next node gets the second.
		first int
	}{
		{"two at once", func(*virtualFleet) {}, 2, 1},
		{"an owner has just died", func(v *virtualFleet) { v.kill("n1") }, 2, 2},
		{"each engine refuses once", func(v *virtualFleet) {
			for _, e := range v.engines {
				e.SetFaults(standin.Faults{RefuseBefore: 1})
			}
		}, 0, 1},
		{"the answer to a reservation is lost", func(v *virtualFleet) {
			v.engines["e3:1"].SetFaults(standin.Faults{LoseAnswer: 1})
		}, 1, 1},
		{"the entry instance dies half-way", func(v *virtualFleet) {
			go func() {
				time.Sleep(500 * time.Millisecond)
				v.kill("n1")
			}()
		}, 1, 1},
		{"an engine dies during the prefill", func(v *virtualFleet) {
			go func() {
				time.Sleep(4 * time.Second)
				v.engines["e2:1"].SetFaults(standin.Faults{Dead: true})
			}()
		}, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtualFleet(t, smallFleet())
				defer v.stop()
				c.inject(v)
				var all sync.WaitGroup
				answers := make([]*exchange, 2)
				for i := range answers {
					a := &exchange{
						prompt: prompt(fmt.Sprintf("team %d", i), 700_000),
						tokens: 30,
					}
					answers[i] = a
					all.Go(func() {
						a.response = v.send(context.Background(), fmt.Sprintf("n%d", i+c.first), "/v1/completions",
							completionBody(a.prompt, a.tokens, false), map[string]string{
								entry.HeaderDeadline: "2m",
							})
					})
				}
				all.Wait()
				if answered := checkAnswers(t, v, answers, 2*time.Minute); answered < c.minAnswered {
					t.Errorf("%d of 2 requests were answered, want at least %d: %.200s | %.200s", answered, c.minAnswered, answers[0].body, answers[1].body)
				}
				checkMemoryReleased(t, v)
			})
		})
	}
}
