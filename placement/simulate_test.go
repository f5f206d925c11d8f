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

// origin is when the engines of these tests begin.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// readingModel is an engine that reads 100 000 tokens a second, in passes of 10 000 and
// 100 ms of steps.
func readingModel() *batch.Model {
	return &batch.Model{
		Slots:            8,
		Capacity:         10_000_000,
		StepsPerPass:     100,
		Chunk:            100,
		Step:             time.Millisecond,
		PrefillPerSecond: 100_000,
	}
}

// readingJob returns a job with some tokens to read; none means that it writes.
func readingJob(id string, tokens int) *Job {
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

// TestPlayMatchesEngine compares what is simulated with what a copy of the engine does
// step by step.
func TestPlayMatchesEngine(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(seed, 0))
			planned, played := newReading(), newReading()
			for i := range 2 + r.IntN(4) {
				tokens := 1 + r.IntN(30_000)
				joint := r.IntN(3) == 0
				for _, e := range []*Engine{planned, played} {
					j := readingJob(fmt.Sprint(i), tokens)
					j.Joint = joint
					e.Add(j, origin)
				}
			}
			var f simulation
			jobs := f.run(planned, nil, origin)
			done := readAt(played)
			for _, c := range jobs {
				if c.job.ID != "writer" {
					is.Equal(c.firstEvent, done[c.job.ID])
				}
			}
		})
	}
}

// newReading returns an engine on which one request writes.
func newReading() *Engine {
	e := &Engine{
		Model: readingModel(),
		Slots: 8,
	}
	e.Add(readingJob("writer", 0), origin)
	return e
}

// readAt lets an engine work and returns when each of its prompts has been read.
func readAt(e *Engine) map[string]time.Duration {
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

// TestReadBehind asks for a place on an engine that reads a prompt already, whose stream
// bears pauses of a second. A prompt that is read after it makes that stream wait.
func TestReadBehind(t *testing.T) {
	for _, row := range []struct {
		prompt int
		spoils bool
	}{
		{50_000, false},
		{200_000, true},
	} {
		t.Run(fmt.Sprint(row.prompt), func(t *testing.T) {
			is := is.New(t)
			m := readingModel()
			m.Chunk = 1500 // a pass reads 150 000 tokens
			e := &Engine{
				Model: m,
				Slots: 8,
			}
			e.Add(readingJob("before", 20_000), origin)
			p, ok := MakePlan([]*Engine{e}, Request{
				Prompt:    row.prompt,
				TargetAt:  origin.Add(time.Minute),
				Worth:     1,
				LateWorth: 0.25,
			}, origin.Add(time.Millisecond))
			is.True(ok)
			is.Equal(p.OthersLoss > 0, row.spoils)
		})
	}
}

// TestOwnPause gives a prompt to two engines, of which the first has another one to read
// after its part: a stream there would pause for that. The second one gets the stream.
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
			m := readingModel()
			m.Chunk = 600 // a pass reads 60 000 tokens
			var engines []*Engine
			for i, before := range []int{300_000, 0} {
				e := &Engine{
					Instance: fmt.Sprint("e", i),
					Model:    m,
					Slots:    8,
				}
				e.Add(readingJob("writer", 0), origin)
				if before > 0 {
					e.Add(readingJob("before", before), origin)
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

// TestUnconfirmedPart looks that an engine on which a joint part has been read by the
// model gets no other one before the first event has come, or is overdue: the new part
// would go before what may be left.
func TestUnconfirmedPart(t *testing.T) {
	for _, row := range []struct {
		name      string
		after     time.Duration
		confirmed bool
		used      bool
	}{
		{"just read", 10 * time.Millisecond, false, false},
		{"confirmed", 10 * time.Millisecond, true, true},
		{"overdue", 2 * confirmTimeout, false, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			e := &Engine{
				Model: readingModel(),
				Slots: 8,
			}
			j := readingJob("before", 1000)
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
			o := newEvaluation(list, now)
			cands := r.candidates(list, promptShare{
				tokens: 1000,
				time:   10 * time.Millisecond,
				joint:  true,
			}, o, nil)
			is.Equal(len(cands) == 1, row.used)
		})
	}
}

// TestExpects asks when a silent job gives a sign, and whether the engine has a reason for
// the silence.
func TestExpects(t *testing.T) {
	e := newReading()
	e.Add(readingJob("read", 5_000), origin)
	e.Advance(origin.Add(100 * time.Millisecond))
	now := origin.Add(120 * time.Millisecond)
	for _, row := range []struct {
		name    string
		id      string
		silence time.Duration
		left    time.Duration
		reason  bool
	}{
		{"reads still", "read", time.Second, 130 * time.Millisecond, true},
		{"silent for this pass", "writer", 20 * time.Millisecond, 130 * time.Millisecond, true},
		{"silent for longer", "writer", 90 * time.Millisecond, 130 * time.Millisecond, false},
		{"not there", "other", 0, 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			left, reason := e.NextEvent(row.id, row.silence, now)
			is.Equal(reason, row.reason)
			is.Equal(left, row.left)
		})
	}
}
