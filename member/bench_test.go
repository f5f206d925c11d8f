// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package member

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/member/memberpb"
)

// listOf returns a list of n instances in four regions.
func listOf(n int) instances.List {
	l := instances.List{
		Version: 1,
	}
	for i := range n {
		l.Instances = append(l.Instances, instances.Instance{
			ID:            fmt.Sprintf("node-%d", i),
			Kind:          instances.KindNode,
			Address:       fmt.Sprintf("10.0.%d.%d:8081", i>>8, i&255),
			FailureDomain: fmt.Sprintf("d%d", i%12),
			Region:        fmt.Sprintf("r%d", i%4),
			State:         instances.Live,
		})
	}
	return l
}

// unresponsive is a platform and a network that never answer.
type unresponsive struct{}

var errNoResponse = errors.New("no response")

func (unresponsive) List(context.Context, int64) (instances.List, error) {
	return instances.List{}, errNoResponse
}

func (unresponsive) Probe(context.Context, string, *memberpb.ProbeRequest) (*memberpb.ProbeReply, error) {
	return nil, errNoResponse
}

func newIdleMember(b *testing.B, n int) *Member {
	b.Helper()
	m := New(Settings{
		Self:          listOf(1).Instances[0],
		ProbeInterval: time.Hour,
		ListInterval:  time.Hour,
	}, unresponsive{}, unresponsive{}, func() int64 { return 1 }, logr.Discard())
	b.Cleanup(m.Close)
	m.applyList(listOf(n))
	return m
}

func BenchmarkSlopeRebuild(b *testing.B) {
	for _, n := range []int{10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			m := newIdleMember(b, n)
			for b.Loop() {
				m.viewInputs = viewInputs{}
				m.rebuild()
			}
		})
	}
}

func BenchmarkSlopeGlobalOwner(b *testing.B) {
	for _, n := range []int{10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			v := newIdleMember(b, n).View()
			b.ReportAllocs()
			for b.Loop() {
				v.GlobalOwner("endpoint-17")
			}
		})
	}
}

func BenchmarkSlopeProbeBytes(b *testing.B) {
	for _, n := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			m := newIdleMember(b, 100)
			for i := range n {
				m.mu.Lock()
				m.addReport(fmt.Sprintf("node-%d", i+1), "node-99", time.Now())
				m.mu.Unlock()
			}
			in := &memberpb.ProbeRequest{
				From:    "node-1",
				Reports: m.outgoingReports(),
			}
			var out *memberpb.ProbeReply
			for b.Loop() {
				out = m.Answer(in)
			}
			b.ReportMetric(float64(proto.Size(in)+proto.Size(out)), "message-bytes")
		})
	}
}

func BenchmarkSlopeMemberMemory(b *testing.B) {
	for _, n := range []int{10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m := newIdleMember(b, n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				m.View()
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "held-bytes")
		})
	}
}
