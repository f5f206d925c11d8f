// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package fleet

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/linkmast/linkmast/entry"
	"github.com/linkmast/linkmast/rollout"
	"github.com/linkmast/linkmast/standin"
)

var schedules = flag.Int("schedules", 40, "number of random fault schedules to run")

// The seed of the random schedules is fixed so that every run tests the same
// schedules. -rapid.seed=0 selects a random seed.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}

// plannedFault is one fault of a schedule.
type plannedFault struct {
	// At is the start of the fault and For its duration, in milliseconds.
	At, For int
	// Kind is a key of faultKinds. Target selects the component that the fault affects,
	// modulo the number of components.
	Kind   string
	Target int
}

// faultKinds holds the faults that a schedule may contain, by name. Each function
// injects its fault into the target and returns a function that ends the fault.
var faultKinds = map[string]func(v *virtualFleet, target int) func(){
	"kill node": func(v *virtualFleet, target int) func() {
		v.kill(fmt.Sprintf("n%d", target%3+1))
		return func() {}
	},
	"freeze node": func(v *virtualFleet, target int) func() {
		id := fmt.Sprintf("n%d", target%3+1)
		v.freeze(id)
		return func() { v.thaw(id) }
	},
	"cut nodes": func(v *virtualFleet, target int) func() {
		pair := []string{"n1|n2", "n1|n3", "n2|n3"}[target%3]
		v.setCut(pair, true)
		return func() { v.setCut(pair, false) }
	},
	"cut node from engine": func(v *virtualFleet, target int) func() {
		pair := fmt.Sprintf("n%d|e%d:1", target%3+1, target%4+1)
		v.setCut(pair, true)
		return func() { v.setCut(pair, false) }
	},
	"platform unreachable": func(v *virtualFleet, _ int) func() {
		v.setCut("platform", true)
		return func() { v.setCut("platform", false) }
	},
	"log loses answers": func(v *virtualFleet, _ int) func() {
		v.platform.Log.SetFaults(standin.Faults{LoseAnswer: 3})
		return func() { v.platform.Log.SetFaults(standin.Faults{}) }
	},
	"log reads fail": func(v *virtualFleet, _ int) func() {
		v.platform.Log.SetFaults(standin.Faults{ReadOutage: true})
		return func() { v.platform.Log.SetFaults(standin.Faults{}) }
	},
	"engine dies":            engineFault(standin.Faults{Dead: true}),
	"engine freezes":         engineFault(standin.Faults{Frozen: true}),
	"engine loses messages":  engineFault(standin.Faults{LoseAnswer: 2, LoseCancel: 2, DropChunks: 2}),
	"engine garbles answers": engineFault(standin.Faults{CrossChunks: 2, DoubleChunks: 2, DropEnd: 1}),
	"engine refuses":         engineFault(standin.Faults{RefuseBefore: 2, RefuseAfter: 2}),
	"service loses answers": func(v *virtualFleet, target int) func() {
		s := v.services[fmt.Sprintf("s%d:1", target%2+1)]
		s.SetFaults(standin.Faults{LoseAnswer: 1, RefuseAfter: 1})
		return func() { s.SetFaults(standin.Faults{}) }
	},
	"service freezes": func(v *virtualFleet, target int) func() {
		s := v.services[fmt.Sprintf("s%d:1", target%2+1)]
		s.SetFaults(standin.Faults{Frozen: true})
		return func() { s.SetFaults(standin.Faults{}) }
	},
}

// engineFault returns a kind of fault that sets f on one engine.
func engineFault(f standin.Faults) func(v *virtualFleet, target int) func() {
	return func(v *virtualFleet, target int) func() {
		e := v.engines[fmt.Sprintf("e%d:1", target%4+1)]
		e.SetFaults(f)
		return func() { e.SetFaults(standin.Faults{}) }
	}
}

// faultNames returns the keys of faultKinds in sorted order.
func faultNames() []string {
	var out []string
	for k := range faultKinds {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// injectFaults injects the faults of a schedule and ends each after its duration. It
// returns when all have ended.
func (v *virtualFleet) injectFaults(plan []plannedFault) {
	var all sync.WaitGroup
	for _, s := range plan {
		all.Go(func() {
			time.Sleep(time.Duration(s.At) * time.Millisecond)
			end := faultKinds[s.Kind](v, s.Target)
			time.Sleep(time.Duration(s.For) * time.Millisecond)
			end()
		})
	}
	all.Wait()
}

// errorCollector records the failures of one schedule, so that rapid can report them and
// shrink the schedule.
type errorCollector struct {
	*testing.T

	mu       sync.Mutex
	failures []string
}

// Errorf records a failure.
func (c *errorCollector) Errorf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

// TestRandomFaultSchedules guards against combinations of faults that violate an invariant
// on answers, idempotency keys, memory or the configuration in force.
func TestRandomFaultSchedules(t *testing.T) {
	if err := flag.Set("rapid.checks", fmt.Sprint(*schedules)); err != nil {
		t.Fatal(err)
	}
	defer flag.Set("rapid.checks", "100")
	fault := rapid.Custom(func(t *rapid.T) plannedFault {
		return plannedFault{
			At:     rapid.IntRange(0, 3_000).Draw(t, "at"),
			For:    rapid.IntRange(1, 8_000).Draw(t, "for"),
			Kind:   rapid.SampledFrom(faultNames()).Draw(t, "kind"),
			Target: rapid.IntRange(0, 11).Draw(t, "target"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(fault, 1, 4).Draw(rt, "plan")
		c := &errorCollector{T: t}
		synctest.Test(t, func(t *testing.T) { checkSchedule(t, c, plan) })
		for _, w := range c.failures {
			rt.Errorf("%s", w)
		}
	})
}

// checkSchedule injects the faults of one schedule while requests of all kinds and a
// publication of a configuration run, and then checks the invariants.
func checkSchedule(t *testing.T, c *errorCollector, plan []plannedFault) {
	v := newVirtualFleet(t, smallFleet())
	defer v.stop()
	const deadline = 20 * time.Second
	var all sync.WaitGroup
	all.Go(func() { v.injectFaults(plan) })
	bids := make([]response, 9)
	for i := range bids {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 300 * time.Millisecond)
			bids[i] = v.sendKeyed(fmt.Sprintf("n%d", i%3+1), fmt.Sprintf("key %d", i%2), fmt.Sprintf(`{"bid":%d}`, i%2), nil)
		})
	}
	onces := make([]*exchange, 6)
	for i := range onces {
		onces[i] = &exchange{
			prompt: fmt.Sprintf("once %d", i),
			tokens: 60,
		}
		all.Go(func() {
			time.Sleep(time.Duration(i) * 400 * time.Millisecond)
			onces[i].response = v.send(context.Background(), fmt.Sprintf("n%d", i%3+1), "/v1/completions",
				completionBody(onces[i].prompt, 60, false), map[string]string{
					entry.HeaderOnce:     "true",
					entry.HeaderDeadline: deadline.String(),
				})
		})
	}
	published := make(chan rollout.Verdict, 1)
	all.Go(func() {
		time.Sleep(1500 * time.Millisecond)
		verdict, _ := rollout.Publish(context.Background(), v.platform.Log, rollout.Publication{
			ID:       "second",
			Replaces: 1,
			Text:     []byte(v.text + "\n# second\n"),
		})
		published <- verdict
	})
	// Streams that run longer than the test, so that only a cancellation releases
	// their memory. Their callers disconnect at the deadline.
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	longs := make([]*exchange, 3)
	for i := range longs {
		longs[i] = &exchange{
			prompt: fmt.Sprintf("endless %d", i),
			tokens: 4_000,
			stream: true,
		}
		all.Go(func() {
			longs[i].response = v.send(ctx, fmt.Sprintf("n%d", i+1), "/v1/completions",
				completionBody(longs[i].prompt, 4_000, true), map[string]string{
					entry.HeaderDeadline: "5m",
				})
		})
	}
	answers := v.sendBurst(t, 18, 4_000, 50, deadline, func() {})
	all.Wait()
	checkInvariants(c, v, append(append(answers, onces...), longs...), bids, deadline)
	for _, a := range onces {
		if n := v.startCount(a.prompt); n > 1 {
			c.Errorf("a completion with the header Linkmast-Once was started %d times", n)
		}
	}
	if verdict := <-published; verdict.Outcome == rollout.Accepted {
		checkConfiguration(c, v, verdict.Offset)
	}
}

// checkInvariants checks all answers, the release of memory and the keys of the
// calls. It also checks that each call took effect at most once, and exactly once
// if it was answered.
func checkInvariants(c *errorCollector, v *virtualFleet, answers []*exchange, bids []response, deadline time.Duration) {
	checkAnswers(c, v, answers, deadline)
	for i := range 2 {
		body := fmt.Sprintf(`{"bid":%d}`, i)
		ok := false
		for k, b := range bids {
			ok = ok || k%2 == i && b.status == http.StatusOK
		}
		n := v.callCount(body)
		if n > 1 {
			c.Errorf("a call with a key took effect %d times", n)
		}
		if ok && n == 0 {
			c.Errorf("a call was answered although it had no effect")
		}
	}
	checkMemoryReleased(c, v)
	checkKeys(c, v, bids)
}

// checkKeys sends each call again 10 s after the faults have ended, unless no node is
// alive. The call must not take effect a second time. If all its callers were told that it
// did not run, its key must be free, unless a node has died.
func checkKeys(c *errorCollector, v *virtualFleet, bids []response) {
	live := ""
	for id := range v.nodes {
		v.mu.Lock()
		if !v.dead[id] {
			live = id
		}
		v.mu.Unlock()
	}
	if live == "" {
		return
	}
	time.Sleep(10 * time.Second)
	for i := range 2 {
		notRun := true
		for k, b := range bids {
			notRun = notRun && (k%2 != i || b.ran == "not_run")
		}
		body := fmt.Sprintf(`{"bid":%d}`, i)
		again := v.sendKeyed(live, fmt.Sprintf("key %d", i), body, nil)
		if n := v.callCount(body); n > 1 {
			c.Errorf("after it was sent again, a call with a key took effect %d times", n)
		}
		if notRun && again.status != http.StatusOK && !v.anyNodeDead() {
			c.Errorf("the key of a call that did not run was not freed: status %d, body %s", again.status, again.body)
		}
	}
}

// checkConfiguration checks that the accepted generation is in force on every live node
// after 18 s.
func checkConfiguration(c *errorCollector, v *virtualFleet, generation int64) {
	time.Sleep(18 * time.Second)
	for id, n := range v.nodes {
		v.mu.Lock()
		dead := v.dead[id]
		v.mu.Unlock()
		if got := n.rollout.Generation(); !dead && got != generation {
			c.Errorf("generation %d is in force on %s, want %d", got, id, generation)
		}
	}
}

// anyNodeDead reports whether a node has died. Keys that a dead node had claimed are not
// freed.
func (v *virtualFleet) anyNodeDead() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, dead := range v.dead {
		if dead {
			return true
		}
	}
	return false
}
