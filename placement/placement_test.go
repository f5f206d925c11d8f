// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/placement"
)

// model returns the model of an engine with 16 slots and 232,000 tokens of memory.
func model() *batch.Model {
	return &batch.Model{
		Slots:              16,
		Capacity:           232_000,
		StepsPerPass:       43,
		Chunk:              2048,
		Step:               1020 * time.Microsecond,
		PerSequence:        2260 * time.Nanosecond,
		PerThousandContext: 4310 * time.Nanosecond,
		PrefillPerSecond:   206_000,
		PerMillionPairs:    138 * time.Microsecond,
		JointOverhead:      75 * time.Microsecond,
	}
}

func engines(n int) []*placement.Engine {
	var out []*placement.Engine
	for i := range n {
		out = append(out, &placement.Engine{
			Instance: fmt.Sprintf("e%02d", i),
			Model:    model(),
			Slots:    16,
		})
	}
	return out
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// short and long return typical requests.
func short(id string, now time.Time) placement.Request {
	return placement.Request{
		ID:        id,
		Prompt:    5_000,
		Output:    1_300,
		Gap:       250 * time.Millisecond,
		TargetAt:  now.Add(300 * time.Millisecond),
		Worth:     1.3,
		LateWorth: 1.3 / 4,
	}
}

func long(prompt int, now time.Time) placement.Request {
	return placement.Request{
		ID:        "long",
		Prompt:    prompt,
		Output:    700,
		Gap:       time.Second,
		TargetAt:  now.Add(2500 * time.Millisecond),
		Worth:     0.8 + 1.1e-4*float64(prompt),
		LateWorth: (0.8 + 1.1e-4*float64(prompt)) / 4,
	}
}

// fill places n short requests on an engine and lets them decode.
func fill(e *placement.Engine, n int, now time.Time) {
	for i := range n {
		r := short(fmt.Sprintf("%s-%d", e.Instance, i), now)
		p, ok := placement.MakePlan([]*placement.Engine{e}, r, now)
		if !ok {
			panic("no plan for a request to fill the engine with")
		}
		p.Apply(r, now)
	}
	e.Advance(now.Add(time.Second))
}

func mustMake(t *testing.T, list []*placement.Engine, r placement.Request, now time.Time) placement.Plan {
	t.Helper()
	p, ok := placement.MakePlan(list, r, now)
	if !ok {
		t.Fatal("no plan")
	}
	return p
}

func TestShortPromptsShareEngines(t *testing.T) {
	is := is.New(t)
	list := engines(6)
	now := start
	used := make(map[string]int)
	for i := range 10 {
		now = now.Add(100 * time.Millisecond)
		r := short(fmt.Sprint(i), now)
		p := mustMake(t, list, r, now)
		is.Equal(p.OthersLoss, 0.0)
		is.Equal(p.OwnLoss, 0.0)
		p.Apply(r, now)
		used[p.Engine.Instance]++
	}
	is.Equal(len(used), 1) // the other engines stay free for long prompts
}

func TestLongPromptAvoidsStreams(t *testing.T) {
	is := is.New(t)
	list := engines(6)
	fill(list[0], 10, start)
	fill(list[1], 10, start)
	now := start.Add(time.Second)
	p := mustMake(t, list, long(133_000, now), now)
	is.Equal(p.OthersLoss, 0.0)
	is.True(p.Engine.Instance >= "e02")
	for _, o := range p.Others {
		is.True(o.Engine.Instance >= "e02")
	}
}

func TestJointPrefillAmongStreams(t *testing.T) {
	is := is.New(t)
	list := engines(18)
	for _, e := range list {
		fill(e, 6, start)
	}
	now := start.Add(time.Second)
	p := mustMake(t, list, long(100_000, now), now)
	is.True(len(p.Others) >= 7) // one engine alone would take 1.2 s
	is.True(p.OthersLoss < 1)
}

func TestMemory(t *testing.T) {
	t.Run("spread over engines", func(t *testing.T) {
		is := is.New(t)
		p := mustMake(t, engines(4), long(400_000, start), start)
		sum := p.Memory
		is.True(p.Memory <= 232_000)
		for _, o := range p.Others {
			is.True(o.Memory <= 232_000)
			sum += o.Memory
		}
		is.Equal(sum, 400_700)
	})
	t.Run("too large for all", func(t *testing.T) {
		is := is.New(t)
		_, ok := placement.MakePlan(engines(2), long(500_000, start), start)
		is.True(!ok)
	})
	t.Run("first engine full", func(t *testing.T) {
		is := is.New(t)
		list := engines(3)
		r := long(220_000, start)
		p := mustMake(t, list[:1], r, start)
		p.Apply(r, start)
		q := mustMake(t, list, short("s", start), start)
		is.True(q.Engine != list[0])
	})
}

func TestSlots(t *testing.T) {
	is := is.New(t)
	list := engines(2)
	list[0].Slots, list[1].Slots = 1, 1
	fill(list[0], 1, start)
	now := start.Add(time.Second)
	p := mustMake(t, list, short("a", now), now)
	is.Equal(p.Engine, list[1])
	p.Apply(short("a", now), now)
	_, ok := placement.MakePlan(list, short("b", now), now)
	is.True(!ok)
	list[0].Remove("e00-0")
	is.Equal(mustMake(t, list, short("b", now), now).Engine, list[0])
}

func TestClosedAndExcluded(t *testing.T) {
	is := is.New(t)
	list := engines(3)
	list[0].Closed = true
	r := short("a", start)
	r.Exclude = []string{"e01"}
	is.Equal(mustMake(t, list, r, start).Engine, list[2])
}

// TestTimeToFirstEvent compares the prediction with a worked example: a prompt that arrives
// during a pass is prefilled in the next one.
func TestTimeToFirstEvent(t *testing.T) {
	is := is.New(t)
	list := engines(1)
	a := short("a", start)
	p := mustMake(t, list, a, start)
	prefill := model().PrefillTime(5_000, 1)
	is.Equal(p.TimeToFirstEvent, prefill)
	p.Apply(a, start)
	now := start.Add(5 * time.Millisecond)
	q := mustMake(t, list, short("b", now), now)
	// The sum of the rest of the first pass, the decode time of one request in the next pass
	// and the prefill. Prefill times are kept per token in whole nanoseconds.
	want := prefill - 5*time.Millisecond + model().PassTime(1, 5_000) + prefill
	is.True((q.TimeToFirstEvent - want).Abs() < 10*time.Microsecond)
}

func TestObserve(t *testing.T) {
	is := is.New(t)
	e := engines(1)[0]
	r := short("a", start)
	p := mustMake(t, []*placement.Engine{e}, r, start)
	p.Apply(r, start)
	late := e.Observe("a", start.Add(p.TimeToFirstEvent+30*time.Millisecond))
	is.True((late - 30*time.Millisecond).Abs() < 10*time.Microsecond)
}

func BenchmarkMakePlan(b *testing.B) {
	list := engines(64)
	for _, e := range list {
		fill(e, 12, start)
	}
	now := start.Add(time.Second)
	r := long(133_000, now)
	b.ReportAllocs()
	for b.Loop() {
		placement.MakePlan(list, r, now)
	}
}

// TestTransitTime guards against predictions that ignore the 10 ms a prompt takes to reach its
// engine.
func TestTransitTime(t *testing.T) {
	const transit = 10 * time.Millisecond
	first := func(e *placement.Engine, transit time.Duration, now time.Time) time.Duration {
		r := short("r", now)
		r.TransitTime = transit
		p := mustMake(t, []*placement.Engine{e}, r, now)
		return p.TimeToFirstEvent
	}
	t.Run("idle engine", func(t *testing.T) {
		e := engines(1)[0]
		is.New(t).Equal(first(e, transit, start)-first(e, 0, start), transit)
	})
	t.Run("pass ends before arrival", func(t *testing.T) {
		is := is.New(t)
		e := engines(1)[0]
		fill(e, 2, start)
		now := start.Add(time.Second)
		// The wait for the end of the current pass shrinks as time passes. A prompt that
		// arrives after that end has to wait for one more pass.
		longest := time.Duration(0)
		for range 100 {
			now = now.Add(time.Millisecond)
			e.Advance(now)
			longest = max(longest, first(e, transit, now)-first(e, 0, now))
		}
		is.True(longest > 2*transit)
	})
	t.Run("no prefill before arrival", func(t *testing.T) {
		is := is.New(t)
		e := engines(1)[0]
		r := short("r", start)
		r.TransitTime = transit
		p := mustMake(t, []*placement.Engine{e}, r, start)
		p.Apply(r, start)
		pending := e.PendingPrefill()
		e.Advance(start.Add(transit / 2))
		is.Equal(e.PendingPrefill(), pending)
		e.Advance(start.Add(time.Second))
		is.Equal(e.PendingPrefill(), time.Duration(0))
	})
}
