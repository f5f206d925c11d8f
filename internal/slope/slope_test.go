// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package slope

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRead(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(`goos: linux
BenchmarkSlopeOne/n=1-8   100   12.0 ns/op  50 file-bytes
BenchmarkSlopeOne/n=10-8  100   30.0 ns/op  50 file-bytes
BenchmarkSlopeOne/n=100-8 100  210.0 ns/op  50 file-bytes
BenchmarkOther-8          100  210.0 ns/op
ok`))
	is.NoErr(err)
	is.Equal(len(lines), 2)
	l := lines[0]
	is.Equal(l.Benchmark, "One")
	is.True(math.Abs(l.A-10) < 1e-6)
	is.True(math.Abs(l.B-2) < 1e-6)
	is.True(l.Error < 1e-6)
	is.True(math.Abs(lines[1].At(7)-50) < 1e-6)
}

func TestFitReportsError(t *testing.T) {
	is := is.New(t)
	l := Line{
		Sizes:  []float64{1, 10, 100, 1000},
		Values: []float64{1, 100, 10_000, 1_000_000}, // quadratic in n
	}
	l.Fit()
	is.True(l.Error > 0.5)
}
