// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package slope fits straight lines to benchmark results.
//
// A benchmark that runs at several sizes names its sub-benchmarks n=1, n=10 and so on. For each
// reported value, Fit determines the coefficients of y = a + b·n that give the least sum of
// squared relative errors, so that small sizes count as much as large ones.
package slope

import (
	"bufio"
	"io"
	"math"
	"regexp"
	"strconv"
	"strings"
)

// Line is the fit of one reported value of one benchmark.
type Line struct {
	// Benchmark is the name without the prefix "Benchmark" or "BenchmarkSlope" and without the
	// size.
	Benchmark string
	// Unit is the unit of the values, such as "ns/op".
	Unit string
	// A and B are the coefficients of the fit y = A + B·n.
	A, B float64
	// Error is the largest relative error of the fit over all values except zeros.
	Error float64
	// Sizes lists the values of n.
	Sizes []float64
	// Values lists the reported values, in the order of Sizes.
	Values []float64
}

var namePattern = regexp.MustCompile(`^Benchmark(?:Slope)?(.+)/n=(\d+)(?:-\d+)?$`)

// Read parses the output of go test -bench and returns a Line for every value that is reported
// at least twice. The fit is meaningful only if these reports are for two or more sizes. Read
// skips lines that it cannot parse.
func Read(r io.Reader) ([]Line, error) {
	var order []string
	found := make(map[string]*Line)
	in := bufio.NewScanner(r)
	for in.Scan() {
		fields := strings.Fields(in.Text())
		if len(fields) < 4 {
			continue
		}
		m := namePattern.FindStringSubmatch(fields[0])
		if m == nil {
			continue
		}
		n, err := strconv.ParseFloat(m[2], 64)
		if err != nil {
			continue
		}
		for i := 2; i+1 < len(fields); i += 2 {
			y, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				continue
			}
			key := m[1] + " " + fields[i+1]
			l := found[key]
			if l == nil {
				l = &Line{
					Benchmark: m[1],
					Unit:      fields[i+1],
				}
				found[key] = l
				order = append(order, key)
			}
			l.Sizes = append(l.Sizes, n)
			l.Values = append(l.Values, y)
		}
	}
	var out []Line
	for _, key := range order {
		if l := found[key]; len(l.Sizes) > 1 {
			l.Fit()
			out = append(out, *l)
		}
	}
	return out, in.Err()
}

// Fit sets A, B and Error by least squares with weights 1/y². It ignores values of zero, and
// leaves the three fields unchanged if fewer than two distinct sizes remain.
func (l *Line) Fit() {
	var w, x, y, xx, xy float64
	for i, n := range l.Sizes {
		v := l.Values[i]
		if v == 0 {
			continue
		}
		k := 1 / (v * v)
		w += k
		x += k * n
		y += k * v
		xx += k * n * n
		xy += k * n * v
	}
	d := w*xx - x*x
	if d == 0 {
		return
	}
	l.B = (w*xy - x*y) / d
	l.A = (y - l.B*x) / w
	for i, n := range l.Sizes {
		if v := l.Values[i]; v != 0 {
			l.Error = math.Max(l.Error, math.Abs(l.A+l.B*n-v)/v)
		}
	}
}

// At returns the value of the fit at size n.
func (l *Line) At(n float64) float64 {
	return l.A + l.B*n
}
