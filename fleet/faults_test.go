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

// TestFaultsOfTheFleet proves, for each fault, that every request finishes or
// fails within its time with the whole of its own answer or the truth about
// what ran, and that all memory comes back.
func TestFaultsOfTheFleet(t *testing.T) {
	for _, c := range []struct {
		name   string
		strike func(v *virtual)
		heal   func(v *virtual)
		// least is how many of the 24 requests must be answered.
		least int
	}{
		{"nothing", func(*virtual) {}, nil, 24},
		{"engine killed", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{Dead: true})
		}, nil, 14},
		{"engine frozen", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{Frozen: true})
		}, func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{})
		}, 14},
		{"node killed", func(v *virtual) { v.kill("n1") }, nil, 14},
		{"node frozen, then awake", func(v *virtual) { v.freeze("n1") }, func(v *virtual) { v.thaw("n1") }, 12},
		{"node cut from the others", func(v *virtual) {
			v.separate("n1|n2", true)
			v.separate("n1|n3", true)
		}, func(v *virtual) {
			v.separate("n1|n2", false)
			v.separate("n1|n3", false)
		}, 12},
		{"node cut from an engine", func(v *virtual) { v.separate("n1|e1:1", true) }, nil, 20},
		{"platform down", func(v *virtual) { v.separate("platform", true) }, func(v *virtual) {
			v.separate("platform", false)
		}, 24},
		{"cancels lost", func(v *virtual) {
			for _, e := range v.engines {
				e.SetFaults(standin.Faults{LoseCancel: 2})
			}
			v.kill("n2")
		}, nil, 12},
		{"node and engine killed together", func(v *virtual) {
			v.kill("n1")
			v.engines["e2:1"].SetFaults(standin.Faults{Dead: true})
		}, nil, 8},
		{"two nodes killed", func(v *virtual) {
			v.kill("n1")
			v.kill("n2")
		}, nil, 4},
		{"node killed during an outage of the platform", func(v *virtual) {
			v.separate("platform", true)
			v.kill("n3")
		}, nil, 12},
		{"streams cut", func(v *virtual) {
			for _, e := range v.engines {
				e.SetFaults(standin.Faults{CutAfter: 7})
			}
		}, nil, 0},
		{"chunks crossed", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{CrossChunks: 3})
		}, nil, 20},
		{"chunks doubled", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{DoubleChunks: 10})
		}, nil, 24},
		{"chunks missing", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{DropChunks: 3})
		}, nil, 20},
		{"ends missing", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{DropEnd: 3})
		}, nil, 20},
		{"refused before the start", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{RefuseBefore: 3})
		}, nil, 24},
		{"refused after the start", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{RefuseAfter: 3})
		}, nil, 22},
		{"answers lost", func(v *virtual) {
			v.engines["e1:1"].SetFaults(standin.Faults{LoseAnswer: 3})
		}, nil, 22},
		{"slow engines", func(v *virtual) {
			for _, e := range v.engines {
				e.SetFaults(standin.Faults{Slow: 20})
			}
		}, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, small())
				defer v.stop()
				const deadline = 20 * time.Second
				answers := v.burst(t, 24, 4_000, 50, deadline, func() { c.strike(v) })
				if whole := wantTruth(t, v, answers, deadline); whole < c.least {
					t.Errorf("%d of 24 requests were answered, want %d", whole, c.least)
					for _, a := range answers {
						if own, _ := a.wholeAnswer(t); !own {
							t.Logf("%s %d %v %s", a.id, a.status, a.broken, a.body[:min(len(a.body), 300)])
						}
					}
				}
				if c.heal != nil {
					c.heal(v)
				}
				wantFree(t, v)
			})
		})
	}
}

// TestStreamsOutliveOwners proves that long streams run to their end whatever
// happens to the nodes that own their endpoints, as long as the node that
// dispatched them is there.
func TestStreamsOutliveOwners(t *testing.T) {
	for _, c := range []struct {
		name   string
		strike func(v *virtual)
	}{
		{"nothing", func(*virtual) {}},
		{"one killed", func(v *virtual) { v.kill("n2") }},
		{"both killed", func(v *virtual) {
			v.kill("n2")
			v.kill("n3")
		}},
		{"one frozen", func(v *virtual) { v.freeze("n3") }},
		{"cut from the dispatcher", func(v *virtual) {
			v.separate("n1|n2", true)
			time.Sleep(2 * time.Second)
			v.separate("n1|n2", false)
		}},
		{"one after the other stops", func(v *virtual) {
			v.nodes["n2"].member.Stop()
			time.Sleep(3 * time.Second)
			v.nodes["n3"].member.Stop()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, small())
				defer v.stop()
				var all sync.WaitGroup
				for i := range 8 {
					all.Go(func() {
						a := &asked{
							prompt: fmt.Sprintf("long %d", i),
							tokens: 1000,
							stream: true,
						}
						a.vanswer = v.send(context.Background(), "n1", "/v1/completions", completion(a.prompt, a.tokens, true), nil)
						if own, _ := a.wholeAnswer(t); !own {
							t.Errorf("not whole: %d, broken %v, ...%s", a.status, a.broken, a.body[max(0, len(a.body)-200):])
						}
					})
				}
				time.Sleep(2 * time.Second)
				c.strike(v)
				all.Wait()
				wantFree(t, v)
			})
		})
	}
}

// TestCutOffForLong proves that nodes that reach the endpoints but no other
// node serve every request, each on its own.
func TestCutOffForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, small())
		defer v.stop()
		v.separate("n1|n2", true)
		v.separate("n1|n3", true)
		v.separate("n2|n3", true)
		time.Sleep(20 * time.Second)
		answers := v.burst(t, 24, 4_000, 50, 20*time.Second, func() {})
		if whole := wantTruth(t, v, answers, 20*time.Second); whole < 24 {
			t.Errorf("%d of 24 requests were answered", whole)
		}
		wantFree(t, v)
	})
}

// TestTooLate proves that a request whose deadline can't be met is answered at
// once, with a time to come back.
func TestTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newVirtual(t, small())
		defer v.stop()
		a := v.send(t.Context(), "n1", "/v1/completions", completion(prompt("late", 200_000), 50, true), map[string]string{
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
		s := small()
		s.engines = 2
		v := newVirtual(t, s)
		defer v.stop()
		a := v.send(t.Context(), "n1", "/v1/completions", completion(prompt("huge", 1_000_000), 50, false), nil)
		is.Equal(a.status, http.StatusUnprocessableEntity)
		is.True(strings.Contains(a.body, "never_fits"))
		is.Equal(a.took, time.Duration(0))
	})
}

// TestStall proves that an endpoint that goes silent is noticed between tokens
// and before the first one, long before the deadline.
func TestStall(t *testing.T) {
	for _, tokens := range []int{100, 80_000} {
		t.Run(fmt.Sprintf("prompt of %d tokens", tokens), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, small())
				defer v.stop()
				answers := v.burst(t, 12, tokens, 200, 5*time.Minute, func() {
					v.engines["e1:1"].SetFaults(standin.Faults{Frozen: true})
				})
				wantTruth(t, v, answers, 40*time.Second)
				v.engines["e1:1"].SetFaults(standin.Faults{})
				wantFree(t, v)
			})
		})
	}
}
