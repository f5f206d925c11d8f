// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Request is what one caller asks for.
type Request struct {
	// Kind is the index of its kind in the sheet.
	Kind int
	// At is when it comes, from the start.
	At time.Duration
	// Prompt is the length of its prompt in tokens, and Events the number of events of
	// its answer.
	Prompt int
	Events int
	// Worth is what an answer in time is worth, and Late what a late one is.
	Worth     float64
	LateWorth float64
}

// The value of a request by its size: a part that each has, and a part in proportion to
// its prompt, at most so many times the mean.
const (
	fixedWorthShare  = 0.3
	maxRelativeWorth = 4
)

// Draw returns the requests of a seed in the order in which they come. The same seed gives
// the same requests.
func Draw(s *Sheet, seed uint64) []Request {
	var out []Request
	for i := range s.Kinds {
		// Each kind has a generator of its own, so that more of one kind changes no other.
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		out = append(out, s.drawKind(i, r)...)
	}
	slices.SortStableFunc(out, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return out
}

// drawKind returns the requests of one kind: a Poisson process at the greatest rate, of
// which those are taken that the rate of their moment lets through.
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
		// All is drawn before it is decided, so that a burst changes no size.
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

// rateFactor returns what the rate of a kind is multiplied by at a moment.
func (s *Sheet) rateFactor(kind string, at time.Duration) float64 {
	return s.burstFactor(kind, at) * s.Wave.factorAt(at)
}

// burstFactor returns by how much bursts multiply the rate of a kind at a moment.
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

// draw returns a size.
func (d *Spread) draw(r *rand.Rand) float64 {
	v := math.Log1p(d.Deviation * d.Deviation)
	size := d.Mean * math.Exp(math.Sqrt(v)*r.NormFloat64()-v/2)
	return min(max(size, 1), d.Most)
}
