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

// TestRequestsUnderFaults proves, for each fault, that every request finishes or
// fails within its time with the whole of its own answer or the truth about
// what ran, and that all memory comes back.
func TestRequestsUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		strike func(v *virtualFleet)
		heal   func(v *virtualFleet)
		// least is how many of the 24 requests must be answered.
		least int
	}{
		{"nothing", func(*virtualFleet) {}, nil, 24},
		{"engine killed", func(v *virtualFleet) {
			v.engines["e1:1"].SetFaults(standin.Faults{Dead: true})
		}, nil, 14},
		{"engine frozen", func(v *virtualFleet) {
			v.engines["e1:1"].SetFaults(standin.Faults{Frozen: true})
		}, func(v *virtualFleet) {
			v.engines["e1:1"].SetFaults(standin.Faults{})
		}, 14},
		{"node killed", func(v *virtualFleet) { v.kill("n1") }, nil, 14},
		{"node frozen, then awake", func(v *virtualFleet) { v.freeze("n1") }, func(v *virtualFleet) { v.thaw("n1") }, 12},
		{"node cut from the others", func(v *virtualFleet) {
			v.setCut("n1|n2", true)
			v.setCut("n1|n3", true)
		}, func(v *virtualFleet) {
			v.setCut("n1|n2", false)
			v.setCut("n1|n3", false)
		}, 12},
		{"node cut from an engine", func(v *virtualFleet) { v.setCut("n1|e1:1", true) }, nil, 20},
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
		{"streams cut", func(v *virtualFleet) {
			for _, e := range v.engines {
				e.SetFaults(standin.Faults{CutAfter: 7})
			}
		}, nil, 0},
		{"chunks crossed", func(v *virtualFleet) {
			v.engines["e1:1"].SetFaults(standin.Faults{CrossChunks: 3})
		}, nil, 20},
		{"chunks doubled", func(v *virtualFleet) {
			v.engines["e1:1"].SetFaults(standin.Faults{DoubleChunks: 10})
		}, nil, 24},
		{"chunks missing", func(v *virtualFleet) {
			v.engines["e1:1"].SetFaults(standin.Faults{DropChunks: 3})
		}, nil, 20},
		{"ends missing", func(v *virtualFleet) {
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
				e.SetFaults(standin.Faults{Slow: 20})
			}
		}, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtualFleet(t, smallFleet())
				defer v.stop()
				const deadline = 20 * time.Second
				answers := v.sendBurst(t, 24, 4_000, 50, deadline, func() { c.strike(v) })
				if whole := checkAnswers(t, v, answers, deadline); whole < c.least {
					t.Errorf("%d of 24 requests were answered, want %d", whole, c.least)
					for _, a := range answers {
						if own, _ := a.checkBody(t); !own {
							t.Logf("%s %d %v %s", a.id, a.status, a.broken, a.body[:min(len(a.body), 300)])
						}
					}
				}
				if c.heal != nil {
					c.heal(v)
				}
				checkMemoryReleased(t, v)
			})
		})
	}
}

// TestStreamsSurviveOwnerLoss proves that long streams run to their end whatever
// happens to the nodes that own their endpoints, as long as the node that
// dispatched them is there.
func TestStreamsSurviveOwnerLoss(t *testing.T) {
	for _, c := range []struct {
		name   string
		strike func(v *virtualFleet)
	}{
		{"nothing", func(*virtualFleet) {}},
		{"one killed", func(v *virtualFleet) { v.kill("n2") }},
		{"both killed", func(v *virtualFleet) {
			v.kill("n2")
			v.kill("n3")
		}},
		{"one frozen", func(v *virtualFleet) { v.freeze("n3") }},
		{"cut from the dispatcher", func(v *virtualFleet) {
			v.setCut("n1|n2", true)
			time.Sleep(2 * time.Second)
			v.setCut("n1|n2", false)
		}},
		{"one after the other stops", func(v *virtualFleet) {
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
						if own, _ := a.checkBody(t); !own {
							t.Errorf("not whole: %d, broken %v, ...%s", a.status, a.broken, a.body[max(0, len(a.body)-200):])
						}
					})
				}
				time.Sleep(2 * time.Second)
				c.strike(v)
				all.Wait()
				checkMemoryReleased(t, v)
			})
		})
	}
}

// TestNodesCutFromEachOther proves that nodes that reach the endpoints but no other
// node serve every request, each on its own.
func TestNodesCutFromEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtualFleet(t, smallFleet())
		defer v.stop()
		v.setCut("n1|n2", true)
		v.setCut("n1|n3", true)
		v.setCut("n2|n3", true)
		time.Sleep(20 * time.Second)
		answers := v.sendBurst(t, 24, 4_000, 50, 20*time.Second, func() {})
		if whole := checkAnswers(t, v, answers, 20*time.Second); whole < 24 {
			t.Errorf("%d of 24 requests were answered", whole)
		}
		checkMemoryReleased(t, v)
	})
}

// TestUnreachableDeadline proves that a request whose deadline can't be met is answered at
// once, with a time to come back.
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

// TestNeverFits proves that a request that no group of engines can ever hold
// is refused at once.
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

// TestFrozenEngineIsDetected proves that an endpoint that goes silent is noticed between tokens
// and before the first one, long before the deadline.
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
