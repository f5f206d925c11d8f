// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
)

// foreseen is when the engines of these tests begin.
var foreseen = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// readingModel is an engine that reads 100 000 tokens a second, in passes of 10 000 and
// 100 ms of steps.
func readingModel() *batch.Model {
	return &batch.Model{
		Slots:         8,
		Capacity:      10_000_000,
		Stride:        100,
		Chunk:         100,
		Step:          time.Millisecond,
		ReadPerSecond: 100_000,
	}
}

// readingJob returns a job with some tokens to read; none means that it writes.
func readingJob(id string, tokens int) *Job {
	return &Job{
		ID:       id,
		Tokens:   tokens,
		PerToken: 10 * time.Microsecond,
		Gap:      time.Second,
		Stake:    1,
		AskedAt:  foreseen,
		TargetAt: foreseen.Add(time.Minute),
	}
}

// TestPlayMatchesEngine compares what is foreseen with what a copy of the engine does
// step by step.
func TestPlayMatchesEngine(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(seed, 0))
			planned, real := newReading(), newReading()
			for i := range 2 + r.IntN(4) {
				tokens := 1 + r.IntN(30_000)
				joint := r.IntN(3) == 0
				for _, e := range []*Engine{planned, real} {
					j := readingJob(fmt.Sprint(i), tokens)
					j.Joint = joint
					e.Add(j, foreseen)
				}
			}
			var f foresight
			jobs := f.play(planned, nil, foreseen)
			done := readAt(real)
			for _, c := range jobs {
				if c.job.ID != "writer" {
					is.Equal(c.first, done[c.job.ID])
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
	e.Add(readingJob("writer", 0), foreseen)
	return e
}

// readAt lets an engine work and returns when each of its prompts has been read.
func readAt(e *Engine) map[string]time.Duration {
	done := make(map[string]time.Duration)
	for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Microsecond {
		e.Advance(foreseen.Add(at))
		for _, j := range e.Jobs {
			if _, ok := done[j.ID]; !ok && j.Tokens == 0 && !j.wroteAt.IsZero() {
				done[j.ID] = j.wroteAt.Sub(foreseen)
			}
		}
	}
	return done
}

// TestExpects asks when a silent job gives a sign, and whether the engine has a reason for
// the silence.
func TestExpects(t *testing.T) {
	e := newReading()
	e.Add(readingJob("read", 5_000), foreseen)
	e.Advance(foreseen.Add(100 * time.Millisecond))
	now := foreseen.Add(120 * time.Millisecond)
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
			left, reason := e.Expects(row.id, row.silence, now)
			is.Equal(reason, row.reason)
			is.Equal(left, row.left)
		})
	}
}
