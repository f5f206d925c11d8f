// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/policy"
)

func BenchmarkSlopeSummaryBytes(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1_000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			summaries := make([]policy.Summary, n)
			for i := range summaries {
				summaries[i] = policy.Summary{
					Endpoint: fmt.Sprintf("engine-%d", i),
					Free:     200 << 20,
					Turnover: 3 << 20,
					Slots:    30,
				}
				for p := range policy.Priorities / 2 {
					summaries[i].Backlog[p] = 0.3
				}
			}
			size := 0
			for b.Loop() {
				size = proto.Size(Encode(summaries))
			}
			b.ReportMetric(float64(size), "message-bytes")
		})
	}
}

func BenchmarkSlopeStatusBytes(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1_000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			s := engine.Status{
				Instance: "engine-17-1",
				Model:    "m1",
			}
			for i := range n {
				s.Running = append(s.Running, engine.Held{
					ID:     fmt.Sprintf("1q2w3e4r5t6y7-%x.1", i),
					Holder: "node-1234",
					Bytes:  123_456_789,
					Age:    12345678901,
				})
			}
			var data []byte
			for b.Loop() {
				// A Status can always be encoded.
				data, _ = json.Marshal(s)
			}
			b.ReportMetric(float64(len(data)), "answer-bytes")
		})
	}
}

// unresponsive is a fleet in which nothing answers.
type unresponsive struct {
	Endpoints
}

func (unresponsive) Held(context.Context, string, []string) ([]string, error) {
	return nil, context.DeadlineExceeded
}

func BenchmarkSlopeLeaseMemory(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			o := New(Settings{
				SweepInterval: time.Hour,
			}, unresponsive{}, unresponsive{}, nil, logr.Discard())
			<-time.After(time.Millisecond)
			defer o.Close()
			e := newEndpoint()
			o.mu.Lock()
			e.setTarget(Target{
				Endpoint: config.Endpoint{
					ID:                     "e1",
					MemoryBytes:            1 << 50,
					PrefillTokensPerSecond: 1e12,
					MaxRunning:             1 << 30,
				},
			})
			e.reported = true
			o.owned["e1"] = e
			o.mu.Unlock()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			acquireLeases(b, o, n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				o.Owned()
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "held-bytes")
		})
	}
}

func acquireLeases(b *testing.B, o *Owner, n int) {
	b.Helper()
	now := time.Now()
	for i := range n {
		_, err := o.Acquire(context.Background(), Request{
			Attempt:  fmt.Sprintf("1q2w3e4r5t6y7-%x.1", i),
			Holder:   "node-1234",
			Endpoint: "e1",
			Work: policy.Work{
				Prompt:   1000,
				Bytes:    1 << 20,
				Arrived:  now,
				Deadline: now.Add(time.Hour),
			},
		}, nil)
		if err != nil {
			b.Fatal(err)
		}
	}
}
