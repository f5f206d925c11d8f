// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// candidates returns n endpoints with various backlogs.
func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		id := fmt.Sprintf("e%d", i)
		out[i] = Candidate{
			Summary: Summary{
				Endpoint: id,
				Free:     int64(i%7) << 28,
				Slots:    8,
			},
			Hash:   xxhash.Sum64String(id),
			Rate:   40_000,
			Memory: 1 << 30,
			Known:  true,

			MaxRunning: 8,
		}
		out[i].Backlog[i%Priorities] = float32(i%5) / 10
		out[i].Update()
	}
	return out
}

func waiting(i int) *Work {
	lengths := []int{1_000, 3_000, 20_000, 150_000}
	n := lengths[i%len(lengths)]
	return &Work{
		ID:       fmt.Sprintf("r%d", i),
		Customer: fmt.Sprintf("c%d", i%10),
		Rank:     i % Ranks,
		MaxWait:  20 * time.Second,
		Prompt:   n,
		Output:   100,
		Bytes:    int64(n+100) << 10,
		Prefix:   uint64(i%3) * 77,
		Arrived:  start.Add(-time.Duration(i) * time.Millisecond),
		Deadline: start.Add(time.Minute),
	}
}

func BenchmarkSlopeChoose(b *testing.B) {
	for _, n := range []int{10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			cs := candidates(n)
			w := waiting(5)
			b.ReportAllocs()
			for b.Loop() {
				Choose(Weighed{}, w, 0.4, cs, start)
			}
		})
	}
}

func BenchmarkSlopeNext(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1_000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			l := NewLedger(400<<20, 40_000, 64)
			for i := range 30 {
				l.Add(waiting(4*i), fmt.Sprintf("l%d", i), 0, start)
			}
			queue := make([]*Work, n)
			for i := range queue {
				queue[i] = waiting(i)
			}
			b.ReportAllocs()
			for b.Loop() {
				Next(Weighed{}, queue, l, start)
			}
		})
	}
}
