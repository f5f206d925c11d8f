// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
)

// origin is the start time of the simulated engines.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testModel returns the model of an engine that prefills 100,000 tokens a second. A pass of
// decoding requests has 100 ms of decode steps and prefills up to 10,000 tokens.
func testModel() *batch.Model {
	return &batch.Model{
		Slots:            8,
		Capacity:         10_000_000,
		StepsPerPass:     100,
		Chunk:            100,
		Step:             time.Millisecond,
		PrefillPerSecond: 100_000,
	}
}

// testJob returns a job with the given number of prompt tokens left; with zero it decodes.
func testJob(id string, tokens int) *Job {
	return &Job{
		ID:              id,
		PromptLeft:      tokens,
		PrefillPerToken: 10 * time.Microsecond,
		Gap:             time.Second,
		Stake:           1,
		PlacedAt:        origin,
		TargetAt:        origin.Add(time.Minute),
	}
}

// TestSimulationMatchesEngine compares the simulation of an engine with advancing an equal
// engine in small steps of time.
func TestSimulationMatchesEngine(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(seed, 0))
			simulated, advanced := newDecodingEngine(), newDecodingEngine()
			for i := range 2 + r.IntN(4) {
				tokens := 1 + r.IntN(30_000)
				joint := r.IntN(3) == 0
				for _, e := range []*Engine{simulated, advanced} {
					j := testJob(fmt.Sprint(i), tokens)
					j.Joint = joint
					e.Add(j, origin)
				}
			}
			var sim simulation
			jobs := sim.run(simulated, nil, origin)
			done := prefillTimes(advanced)
			for _, f := range jobs {
				if f.job.ID != "decoding" {
					is.Equal(f.firstEvent, done[f.job.ID])
				}
			}
		})
	}
}

// newDecodingEngine returns an engine with one decoding request.
func newDecodingEngine() *Engine {
	e := &Engine{
		Model: testModel(),
		Slots: 8,
	}
	e.Add(testJob("decoding", 0), origin)
	return e
}

// prefillTimes advances an engine and returns when each of its prompts is complete.
func prefillTimes(e *Engine) map[string]time.Duration {
	done := make(map[string]time.Duration)
	for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Microsecond {
		e.Advance(origin.Add(at))
		for _, j := range e.Jobs {
			if _, ok := done[j.ID]; !ok && j.PromptLeft == 0 && !j.prefilledAt.IsZero() {
				done[j.ID] = j.prefilledAt.Sub(origin)
			}
		}
	}
	return done
}

// TestPrefillBehind checks that a plan counts the pause that a new prompt causes for a stream
// which is not decoding yet. The stream allows pauses of one second.
func TestPrefillBehind(t *testing.T) {
	for _, row := range []struct {
		prompt     int
		othersLose bool
	}{
		{50_000, false},
		{200_000, true},
	} {
		t.Run(fmt.Sprint(row.prompt), func(t *testing.T) {
			is := is.New(t)
			m := testModel()
			m.Chunk = 1500 // a pass prefills up to 150,000 tokens
			e := &Engine{
				Model: m,
				Slots: 8,
			}
			e.Add(testJob("before", 20_000), origin)
			p, ok := MakePlan([]*Engine{e}, Request{
				Prompt:    row.prompt,
				TargetAt:  origin.Add(time.Minute),
				Worth:     1,
				LateWorth: 0.25,
			}, origin.Add(time.Millisecond))
			is.True(ok)
			is.Equal(p.OthersLoss > 0, row.othersLose)
		})
	}
}

// TestOwnPause checks that the request's own stream avoids an engine with a long prompt left to
// prefill if that would pause the stream for too long.
func TestOwnPause(t *testing.T) {
	for _, row := range []struct {
		gap  time.Duration
		want string
	}{
		{time.Second, "e0"},
		{500 * time.Millisecond, "e1"},
	} {
		t.Run(row.gap.String(), func(t *testing.T) {
			is := is.New(t)
			m := testModel()
			m.Chunk = 600 // a pass prefills up to 60,000 tokens
			var engines []*Engine
			for i, before := range []int{300_000, 0} {
				e := &Engine{
					Instance: fmt.Sprint("e", i),
					Model:    m,
					Slots:    8,
				}
				e.Add(testJob("decoding", 0), origin)
				if before > 0 {
					e.Add(testJob("before", before), origin)
				}
				engines = append(engines, e)
			}
			slices.Reverse(engines)
			p, ok := MakePlan(engines, Request{
				Prompt:    120_000,
				Output:    100,
				Gap:       row.gap,
				TargetAt:  origin.Add(900 * time.Millisecond),
				Worth:     1,
				LateWorth: 0.25,
			}, origin.Add(50*time.Millisecond))
			is.True(ok)
			is.Equal(len(p.Others), 1)
			is.Equal(p.Engine.Instance, row.want)
		})
	}
}

// TestUnconfirmedShare checks that an engine gets no new joint share until the first event of
// the previous one has come or is overdue. The new share would delay what may be left.
func TestUnconfirmedShare(t *testing.T) {
	for _, row := range []struct {
		name      string
		after     time.Duration
		confirmed bool
		usable    bool
	}{
		{"just completed", 10 * time.Millisecond, false, false},
		{"confirmed", 10 * time.Millisecond, true, true},
		{"overdue", 2 * confirmTimeout, false, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			e := &Engine{
				Model: testModel(),
				Slots: 8,
			}
			j := testJob("before", 1000)
			j.Joint = true
			e.Add(j, origin)
			e.Advance(origin.Add(10 * time.Millisecond))
			if row.confirmed {
				e.Observe("before", origin.Add(10*time.Millisecond))
			}
			now := origin.Add(10*time.Millisecond + row.after)
			r := Request{
				TargetAt: now.Add(time.Minute),
			}
			list := []*Engine{e}
			ev := newEvaluation(list, now)
			cands := r.candidates(list, promptShare{
				tokens: 1000,
				time:   10 * time.Millisecond,
				joint:  true,
			}, ev, nil)
			is.Equal(len(cands) == 1, row.usable)
		})
	}
}

// TestNextEvent checks the predicted time of a silent job's next event, and whether the model
// explains the silence.
func TestNextEvent(t *testing.T) {
	e := newDecodingEngine()
	e.Add(testJob("prefilling", 5_000), origin)
	e.Advance(origin.Add(100 * time.Millisecond))
	now := origin.Add(120 * time.Millisecond)
	for _, row := range []struct {
		name      string
		id        string
		silence   time.Duration
		left      time.Duration
		explained bool
	}{
		{"prompt incomplete", "prefilling", time.Second, 130 * time.Millisecond, true},
		{"silent since the pass began", "decoding", 20 * time.Millisecond, 130 * time.Millisecond, true},
		{"silent since before the pass", "decoding", 90 * time.Millisecond, 130 * time.Millisecond, false},
		{"unknown job", "other", 0, 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			left, explained := e.NextEvent(row.id, row.silence, now)
			is.Equal(explained, row.explained)
			is.Equal(left, row.left)
		})
	}
}
