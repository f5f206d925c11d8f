// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Request is one request of the workload.
type Request struct {
	// Kind is the index of the request's kind in Sheet.Kinds.
	Kind int
	// At is the time of arrival since the start.
	At time.Duration
	// Prompt is the length of the prompt in tokens, and Events the number of events of the
	// answer.
	Prompt int
	Events int
	// Worth is the value of an answer that is in time, and LateWorth that of a late one.
	Worth     float64
	LateWorth float64
}

// The worth of a request, relative to a request with a prompt of mean length, is a fixed
// share plus a share in proportion to its prompt. It is limited to maxRelativeWorth.
const (
	fixedWorthShare  = 0.3
	maxRelativeWorth = 4
)

// Draw returns the requests of a seed in the order of their arrival. The same sheet and
// seed give the same requests.
func Draw(s *Sheet, seed uint64) []Request {
	var out []Request
	for i := range s.Kinds {
		// Each kind has its own generator, so that the rate of one kind doesn't affect the
		// others.
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		out = append(out, s.drawKind(i, r)...)
	}
	slices.SortStableFunc(out, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return out
}

// drawKind returns the requests of one kind, a Poisson process with a rate that varies. It draws
// arrivals at the highest rate and drops each with the probability that reduces the rate to that
// at the time of the arrival.
func (s *Sheet) drawKind(kind int, r *rand.Rand) []Request {
	k := &s.Kinds[kind]
	greatest := k.PerSecond
	for _, b := range s.Bursts {
		greatest = max(greatest, k.PerSecond*s.burstFactor(k.Name, time.Duration(b.At)))
	}
	greatest *= 1 + s.Wave.Swing
	if greatest <= 0 {
		return nil
	}
	var out []Request
	for at := 0.0; ; {
		at += r.ExpFloat64() / greatest
		t := time.Duration(at * float64(time.Second))
		if t >= time.Duration(s.Length) {
			return out
		}
		// Sizes are drawn for dropped arrivals too, so that later sizes don't depend on
		// what is dropped.
		keep := r.Float64() < k.PerSecond*s.rateFactor(k.Name, t)/greatest
		prompt := k.Prompt.draw(r)
		events := k.Events.draw(r)
		if !keep {
			continue
		}
		size := min(fixedWorthShare+(1-fixedWorthShare)*prompt/k.Prompt.Mean, maxRelativeWorth)
		out = append(out, Request{
			Kind:      kind,
			At:        t,
			Prompt:    int(math.Round(prompt)),
			Events:    int(math.Round(events)),
			Worth:     k.Worth * size,
			LateWorth: k.LateWorth * size,
		})
	}
}

// rateFactor returns the factor by which bursts and the wave multiply the rate of a kind at
// a time.
func (s *Sheet) rateFactor(kind string, at time.Duration) float64 {
	return s.burstFactor(kind, at) * s.Wave.factorAt(at)
}

// burstFactor returns the factor by which bursts multiply the rate of a kind at a time.
func (s *Sheet) burstFactor(kind string, at time.Duration) float64 {
	f := 1.0
	for _, b := range s.Bursts {
		from := time.Duration(b.At)
		if (b.Kind == "" || b.Kind == kind) && at >= from && at < from+time.Duration(b.For) {
			f *= b.Factor
		}
	}
	return f
}

// draw returns a random size from 1 to Most.
func (d *Spread) draw(r *rand.Rand) float64 {
	v := math.Log1p(d.Deviation * d.Deviation)
	size := d.Mean * math.Exp(math.Sqrt(v)*r.NormFloat64()-v/2)
	return min(max(size, 1), d.Most)
}
