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

var schedules = flag.Int("schedules", 40, "random schedules of faults to run")

// The seed of the drawn schedules is fixed, so that every run has the same
// verdict; -rapid.seed=0 draws others.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}

// strike is one fault of a schedule.
type strike struct {
	// At and For are when the fault begins and how long it lasts, in
	// milliseconds.
	At, For int
	// Kind names the fault, and Target what it strikes.
	Kind   string
	Target int
}

// kinds are the faults that schedules are made of. Each begins a fault and
// returns what ends it.
var kinds = map[string]func(v *virtual, target int) func(){
	"kill node": func(v *virtual, target int) func() {
		v.kill(fmt.Sprintf("n%d", target%3+1))
		return func() {}
	},
	"freeze node": func(v *virtual, target int) func() {
		id := fmt.Sprintf("n%d", target%3+1)
		v.freeze(id)
		return func() { v.thaw(id) }
	},
	"cut nodes": func(v *virtual, target int) func() {
		pair := []string{"n1|n2", "n1|n3", "n2|n3"}[target%3]
		v.separate(pair, true)
		return func() { v.separate(pair, false) }
	},
	"cut node from engine": func(v *virtual, target int) func() {
		pair := fmt.Sprintf("n%d|e%d:1", target%3+1, target%4+1)
		v.separate(pair, true)
		return func() { v.separate(pair, false) }
	},
	"platform away": func(v *virtual, _ int) func() {
		v.separate("platform", true)
		return func() { v.separate("platform", false) }
	},
	"log loses answers": func(v *virtual, _ int) func() {
		v.platform.Log.SetFaults(standin.Faults{LoseAnswer: 3})
		return func() { v.platform.Log.SetFaults(standin.Faults{}) }
	},
	"log not read": func(v *virtual, _ int) func() {
		v.platform.Log.SetFaults(standin.Faults{ReadOutage: true})
		return func() { v.platform.Log.SetFaults(standin.Faults{}) }
	},
	"engine dies":    engineFault(standin.Faults{Dead: true}),
	"engine froze":   engineFault(standin.Faults{Frozen: true}),
	"engine loses":   engineFault(standin.Faults{LoseAnswer: 2, LoseCancel: 2, DropChunks: 2}),
	"engine lies":    engineFault(standin.Faults{CrossChunks: 2, DoubleChunks: 2, DropEnd: 1}),
	"engine refuses": engineFault(standin.Faults{RefuseBefore: 2, RefuseAfter: 2}),
	"service loses": func(v *virtual, target int) func() {
		s := v.services[fmt.Sprintf("s%d:1", target%2+1)]
		s.SetFaults(standin.Faults{LoseAnswer: 1, RefuseAfter: 1})
		return func() { s.SetFaults(standin.Faults{}) }
	},
	"service froze": func(v *virtual, target int) func() {
		s := v.services[fmt.Sprintf("s%d:1", target%2+1)]
		s.SetFaults(standin.Faults{Frozen: true})
		return func() { s.SetFaults(standin.Faults{}) }
	},
}

func engineFault(f standin.Faults) func(v *virtual, target int) func() {
	return func(v *virtual, target int) func() {
		e := v.engines[fmt.Sprintf("e%d:1", target%4+1)]
		e.SetFaults(f)
		return func() { e.SetFaults(standin.Faults{}) }
	}
}

func kindNames() []string {
	var out []string
	for k := range kinds {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// run brings the faults of a schedule about, and ends them.
func (v *virtual) run(plan []strike) {
	var all sync.WaitGroup
	for _, s := range plan {
		all.Go(func() {
			time.Sleep(time.Duration(s.At) * time.Millisecond)
			end := kinds[s.Kind](v, s.Target)
			time.Sleep(time.Duration(s.For) * time.Millisecond)
			end()
		})
	}
	all.Wait()
}

// collector collects what is wrong.
type collector struct {
	*testing.T

	mu    sync.Mutex
	wrong []string
}

// Errorf notes something that is wrong.
func (c *collector) Errorf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrong = append(c.wrong, fmt.Sprintf(format, args...))
}

// TestSchedules draws schedules of faults that may come together and twice, and
// holds all points of the brief after each.
func TestSchedules(t *testing.T) {
	if err := flag.Set("rapid.checks", fmt.Sprint(*schedules)); err != nil {
		t.Fatal(err)
	}
	defer flag.Set("rapid.checks", "100")
	step := rapid.Custom(func(t *rapid.T) strike {
		return strike{
			At:     rapid.IntRange(0, 3_000).Draw(t, "at"),
			For:    rapid.IntRange(1, 8_000).Draw(t, "for"),
			Kind:   rapid.SampledFrom(kindNames()).Draw(t, "kind"),
			Target: rapid.IntRange(0, 11).Draw(t, "target"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(step, 1, 4).Draw(rt, "plan")
		c := &collector{T: t}
		synctest.Test(t, func(t *testing.T) { schedule(t, c, plan) })
		for _, w := range c.wrong {
			rt.Errorf("%s", w)
		}
	})
}

// schedule runs one schedule beside requests of all kinds.
func schedule(t *testing.T, c *collector, plan []strike) {
	v := newVirtual(t, small())
	defer v.stop()
	const deadline = 20 * time.Second
	var all sync.WaitGroup
	all.Go(func() { v.run(plan) })
	bids := make([]vanswer, 9)
	for i := range bids {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 300 * time.Millisecond)
			bids[i] = v.once(fmt.Sprintf("n%d", i%3+1), fmt.Sprintf("key %d", i%2), fmt.Sprintf(`{"bid":%d}`, i%2), nil)
		})
	}
	onces := make([]*asked, 6)
	for i := range onces {
		onces[i] = &asked{
			prompt: fmt.Sprintf("once %d", i),
			tokens: 60,
		}
		all.Go(func() {
			time.Sleep(time.Duration(i) * 400 * time.Millisecond)
			onces[i].vanswer = v.send(context.Background(), fmt.Sprintf("n%d", i%3+1), "/v1/completions",
				completion(onces[i].prompt, 60, false), map[string]string{
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
	// Streams that outlast everything, so that only a cancel returns their
	// memory. Their callers go away in the end.
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	longs := make([]*asked, 3)
	for i := range longs {
		longs[i] = &asked{
			prompt: fmt.Sprintf("endless %d", i),
			tokens: 4_000,
			stream: true,
		}
		all.Go(func() {
			longs[i].vanswer = v.send(ctx, fmt.Sprintf("n%d", i+1), "/v1/completions",
				completion(longs[i].prompt, 4_000, true), map[string]string{
					entry.HeaderDeadline: "5m",
				})
		})
	}
	answers := v.burst(t, 18, 4_000, 50, deadline, func() {})
	all.Wait()
	hold(c, v, append(append(answers, onces...), longs...), bids, deadline)
	for _, a := range onces {
		if n := v.starts(a.prompt); n > 1 {
			c.Errorf("a completion that must not be repeated was started %d times", n)
		}
	}
	if verdict := <-published; verdict.Outcome == rollout.Accepted {
		holdConfiguration(c, v, verdict.Offset)
	}
}

// hold holds answers, memory and keys against what happened.
func hold(c *collector, v *virtual, answers []*asked, bids []vanswer, deadline time.Duration) {
	wantTruth(c, v, answers, deadline)
	for i := range 2 {
		body := fmt.Sprintf(`{"bid":%d}`, i)
		ok := false
		for k, b := range bids {
			ok = ok || k%2 == i && b.status == http.StatusOK
		}
		n := v.calls(body)
		if n > 1 {
			c.Errorf("a call with a key took effect %d times", n)
		}
		if ok && n == 0 {
			c.Errorf("a call was answered though it had no effect")
		}
	}
	wantFree(c, v)
	holdKeys(c, v, bids)
}

// holdKeys sends each call again when all is well: it must not take effect a
// second time, and its key must be free when every caller heard that the call
// had not run.
func holdKeys(c *collector, v *virtual, bids []vanswer) {
	living := ""
	for id := range v.nodes {
		v.mu.Lock()
		if !v.dead[id] {
			living = id
		}
		v.mu.Unlock()
	}
	if living == "" {
		return
	}
	time.Sleep(10 * time.Second)
	for i := range 2 {
		notRun := true
		for k, b := range bids {
			notRun = notRun && (k%2 != i || b.ran == "not_run")
		}
		body := fmt.Sprintf(`{"bid":%d}`, i)
		again := v.once(living, fmt.Sprintf("key %d", i), body, nil)
		if n := v.calls(body); n > 1 {
			c.Errorf("sent again, a call with a key took effect %d times", n)
		}
		if notRun && again.status != http.StatusOK && !v.lost() {
			c.Errorf("the key of a call that did not run is not free: %d %s", again.status, again.body)
		}
	}
}

// holdConfiguration holds an accepted generation against what is in force on
// every node that lives.
func holdConfiguration(c *collector, v *virtual, generation int64) {
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

// lost states whether a node has died; what it gave up is freed by nobody.
func (v *virtual) lost() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, dead := range v.dead {
		if dead {
			return true
		}
	}
	return false
}
