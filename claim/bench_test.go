// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package claim

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/linkmast/linkmast/claim/claimpb"
	"github.com/linkmast/linkmast/logsvc"
)

var validUntil = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// encodedRecord returns an encoded record with n claims, numbered from the given number.
func encodedRecord(b *testing.B, from, n int) []byte {
	b.Helper()
	rec := &claimpb.Record{}
	for i := range n {
		rec.Entries = append(rec.Entries, encode(Claim{
			Key:        KeyOf("customer", fmt.Sprint(from+i)),
			Request:    fmt.Sprintf("1q2w3e4r5t6y7-%x", from+i),
			Instance:   "node-1234",
			ValidUntil: validUntil,
		}, false))
	}
	data, err := proto.Marshal(rec)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func BenchmarkSlopeApply(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1_000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			data := encodedRecord(b, 0, n)
			for b.Loop() {
				NewRegistry().Apply(logsvc.Batch{
					Earliest: 1,
					Next:     2,
					Records: []logsvc.Record{
						{
							Offset: 1,
							Data:   data,
						},
					},
				})
			}
			b.ReportMetric(float64(len(data)), "record-bytes")
		})
	}
}

func BenchmarkSlopeRegistryMemory(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			registry := NewRegistry()
			const step = 500
			for i := range n / step {
				registry.Apply(logsvc.Batch{
					Earliest: 1,
					Next:     int64(i + 2),
					Records: []logsvc.Record{
						{
							Offset: int64(i + 1),
							Data:   encodedRecord(b, i*step, step),
						},
					},
				})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				registry.Winner(Key{})
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "held-bytes")
			runtime.KeepAlive(registry)
		})
	}
}
