// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/entry"
	"github.com/linkmast/linkmast/standin"
)

// TestRequestsUnderFaults checks under each fault that every request ends by its
// deadline, and that the engines release all memory. A request must end with its
// complete answer, an aborted connection, or an error that reports correctly
// whether it ran.
func TestRequestsUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		inject func(v *virtualFleet)
		repair func(v *virtualFleet)
		// minAnswered is how many of the 24 requests must be answered.
		minAnswered int
	}{
		{"no fault", func(*virtualFleet) {}, nil, 24},
		{"engine killed", func(v *virtualFleet) {
			v.engines["e1:1"].SetFaults(standin.Faults{Dead: true})
		}, nil, 14},
		{"engine frozen", func(v *virtualFleet) {
			v.engines["e1:1"].SetFaults(standin.Faults{Frozen: true})
		}, func(v *virtualFleet) {
			v.engines["e1:1"].SetFaults(standin.Faults{})
		}, 14},
		{"node killed", func(v *virtualFleet) { v.kill("n1") }, nil, 14},
		{"node frozen, then thawed", func(v *virtualFleet) { v.freeze("n1") }, func(v *virtualFleet) { v.thaw("n1") }, 12},
		{"node disconnected from the others", func(v *virtualFleet) {
			v.setCut("n1|n2", true)
			v.setCut("n1|n3", true)
		}, func(v *virtualFleet) {
			v.setCut("n1|n2", false)
			v.setCut("n1|n3", false)
		}, 12},
		{"node disconnected from an engine", func(v *virtualFleet) { v.setCut("n1|e1:1", true) }, nil, 20},
		{"platform down", func(v *virtualFleet) { v.setCut("platform", true) }, func(v *virtualFleet) {
			v.setCut("platform", false)
		}, 24},
		{"cancels lost", func(v *virtualFleet) {
			for _, e := range v.engines {
				e.SetFaults(standin.Faults{LoseCancel: 2})
			}
			v.kill("n2")
		}, nil, 12},
		{"node and engine killed together", func(v *virtualFleet) {
			v.kill("n1")
			v.engines["e2:1"].SetFaults(standin.Faults{Dead: true})
		}, nil, 8},
		{"two nodes killed", func(v *virtualFleet) {
			v.kill("n1")
			v.kill("n2")
		}, nil, 4},
		{"node killed during an outage of the platform", func(v *virtualFleet) {
			v.setCut("platform", true)
			v.kill("n3")
		}, nil, 12},
		{"streams broken off", func(v *virtualFleet) {
			for _, e := range v.engines {
				e.SetFaults(standin.Faults{CutAfter: 7})
			}
		}, nil, 0},
		{"chunks of other attempts", func(v *virtualFleet) {
			v.engines["e1:1"].SetFaults(standin.Faults{CrossChunks: 3})
		}, nil, 20},
		{"chunks duplicated", func(v *virtualFleet) {
			v.engines["e1:1"].SetFaults(standin.Faults{DoubleChunks: 10})
		}, nil, 24},
		{"chunks missing", func(v *virtualFleet) {
			v.engines["e1:1"].SetFaults(standin.Faults{DropChunks: 3})
		}, nil, 20},
		{"end markers missing", func(v *virtualFleet) {
			v.engines["e1:1"].SetFaults(standin.Faults{DropEnd: 3})
		}, nil, 20},
		{"refused before the start", func(v *virtualFleet) {
			v.engines["e1:1"].SetFaults(standin.Faults{RefuseBefore: 3})
		}, nil, 24},
		{"refused after the start", func(v *virtualFleet) {
			v.engines["e1:1"].SetFaults(standin.Faults{RefuseAfter: 3})
		}, nil, 22},
		{"answers lost", func(v *virtualFleet) {
			v.engines["e1:1"].SetFaults(standin.Faults{LoseAnswer: 3})
		}, nil, 22},
		{"slow engines", func(v *virtualFleet) {
			for _, e := range v.engines {
				e.SetFaults(standin.Faults{Slowdown: 20})
			}
		}, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtualFleet(t, smallFleet())
				defer v.stop()
				const deadline = 20 * time.Second
				answers := v.sendBurst(t, 24, 4_000, 50, deadline, func() { c.inject(v) })
				if answered := checkAnswers(t, v, answers, deadline); answered < c.minAnswered {
					t.Errorf("%d of 24 requests were answered, want at least %d", answered, c.minAnswered)
					for _, a := range answers {
						if correct, _ := a.checkBody(t); !correct {
							t.Logf("%s %d %v %s", a.id, a.status, a.broken, a.body[:min(len(a.body), 300)])
						}
					}
				}
				if c.repair != nil {
					c.repair(v)
				}
				checkMemoryReleased(t, v)
			})
		})
	}
}

// TestStreamsSurviveOwnerLoss guards against streams that break off because the
// owners of their endpoints fail, although the node that dispatched the streams
// still runs.
func TestStreamsSurviveOwnerLoss(t *testing.T) {
	for _, c := range []struct {
		name   string
		inject func(v *virtualFleet)
	}{
		{"no fault", func(*virtualFleet) {}},
		{"one killed", func(v *virtualFleet) { v.kill("n2") }},
		{"both killed", func(v *virtualFleet) {
			v.kill("n2")
			v.kill("n3")
		}},
		{"one frozen", func(v *virtualFleet) { v.freeze("n3") }},
		{"disconnected from the dispatching node", func(v *virtualFleet) {
			v.setCut("n1|n2", true)
			time.Sleep(2 * time.Second)
			v.setCut("n1|n2", false)
		}},
		{"one stops after the other", func(v *virtualFleet) {
			v.nodes["n2"].member.Stop()
			time.Sleep(3 * time.Second)
			v.nodes["n3"].member.Stop()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtualFleet(t, smallFleet())
				defer v.stop()
				var all sync.WaitGroup
				for i := range 8 {
					all.Go(func() {
						a := &exchange{
							prompt: fmt.Sprintf("long %d", i),
							tokens: 1000,
							stream: true,
						}
						a.response = v.send(context.Background(), "n1", "/v1/completions", completionBody(a.prompt, a.tokens, true), nil)
						if correct, _ := a.checkBody(t); !correct {
							t.Errorf("stream is not complete: status %d, broken %v, ...%s", a.status, a.broken, a.body[max(0, len(a.body)-200):])
						}
					})
				}
				time.Sleep(2 * time.Second)
				c.inject(v)
				all.Wait()
				checkMemoryReleased(t, v)
			})
		})
	}
}

// TestNodesCutFromEachOther guards against unanswered requests while each node reaches all
// endpoints but no other node.
func TestNodesCutFromEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtualFleet(t, smallFleet())
		defer v.stop()
		v.setCut("n1|n2", true)
		v.setCut("n1|n3", true)
		v.setCut("n2|n3", true)
		time.Sleep(20 * time.Second)
		answers := v.sendBurst(t, 24, 4_000, 50, 20*time.Second, func() {})
		if answered := checkAnswers(t, v, answers, 20*time.Second); answered < 24 {
			t.Errorf("%d of 24 requests were answered", answered)
		}
		checkMemoryReleased(t, v)
	})
}

// TestUnreachableDeadline guards against a request that waits although its deadline can't be
// met: it must be refused at once, with a time after which to retry.
func TestUnreachableDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newVirtualFleet(t, smallFleet())
		defer v.stop()
		a := v.send(t.Context(), "n1", "/v1/completions", completionBody(prompt("late", 200_000), 50, true), map[string]string{
			entry.HeaderDeadline: "3s", // the prefill alone takes 5 s
		})
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.Equal(a.ran, "not_run")
		is.True(strings.Contains(a.body, "deadline_unreachable"))
		is.True(strings.Contains(a.body, "retry_after_seconds"))
		is.True(a.took < 50*time.Millisecond)
	})
}

// TestNeverFits guards against a request that waits although no group of engines has enough
// memory for it.
func TestNeverFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := smallFleet()
		s.engines = 2
		v := newVirtualFleet(t, s)
		defer v.stop()
		a := v.send(t.Context(), "n1", "/v1/completions", completionBody(prompt("huge", 1_000_000), 50, false), nil)
		is.Equal(a.status, http.StatusUnprocessableEntity)
		is.True(strings.Contains(a.body, "never_fits"))
		is.Equal(a.took, time.Duration(0))
	})
}

// TestFrozenEngineIsDetected guards against requests that wait for a frozen engine until their
// deadline, before or after the first token.
func TestFrozenEngineIsDetected(t *testing.T) {
	for _, tokens := range []int{100, 80_000} {
		t.Run(fmt.Sprintf("prompt of %d tokens", tokens), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtualFleet(t, smallFleet())
				defer v.stop()
				answers := v.sendBurst(t, 12, tokens, 200, 5*time.Minute, func() {
					v.engines["e1:1"].SetFaults(standin.Faults{Frozen: true})
				})
				checkAnswers(t, v, answers, 40*time.Second)
				v.engines["e1:1"].SetFaults(standin.Faults{})
				checkMemoryReleased(t, v)
			})
		})
	}
}
