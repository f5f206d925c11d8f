// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/pool/poolpb"
	"github.com/linkmast/linkmast/route"
)

// discardingStream is the stream of a session to an entry instance that ignores all messages.
type discardingStream struct {
	grpc.BidiStreamingServer[poolpb.FromEntry, poolpb.FromOwner]

	ctx context.Context
}

// Context implements grpc.ServerStream.
func (s discardingStream) Context() context.Context { return s.ctx }

// Send implements grpc.BidiStreamingServer.
func (discardingStream) Send(*poolpb.FromOwner) error { return nil }

// fuzzSnapshot has a pool of engines and a plain one.
func fuzzSnapshot() *catalog.Snapshot {
	engine := &batch.Model{
		Slots:            8,
		Capacity:         200_000,
		StepsPerPass:     10,
		Step:             time.Millisecond,
		PrefillPerSecond: 1e6,
	}
	return &catalog.Snapshot{
		Table: route.New(1, nil, []route.Service{
			{Name: "engines", Engine: engine},
			{Name: "plain"},
		}, nil, false, route.Limits{}),
		Endpoints: map[string]catalog.Endpoint{
			"e1": {Instance: "e1", Service: "engines", Address: "127.0.0.1:1", FailureDomain: "d1", Slots: 8},
			"e2": {Instance: "e2", Service: "engines", Address: "127.0.0.1:2", FailureDomain: "d2", Slots: 8},
			"p1": {Instance: "p1", Service: "plain", Address: "127.0.0.1:3", FailureDomain: "d1", Slots: 8},
		},
		Complete: true,
	}
}

// FuzzFromEntry guards against an owner that ends because of a message from an entry instance.
func FuzzFromEntry(f *testing.F) {
	ask := func(service string, n int64) *poolpb.Ask {
		return &poolpb.Ask{
			Id:         "a",
			Service:    service,
			Prompt:     int32(n),
			Output:     int32(n),
			TargetUs:   n,
			DeadlineUs: n,
		}
	}
	for _, n := range []int64{0, 1, math.MinInt32, math.MaxInt32, math.MaxInt64, math.MinInt64} {
		for _, service := range []string{"engines", "plain", "unknown"} {
			for _, m := range []*poolpb.FromEntry{
				{Kind: &poolpb.FromEntry_Hello{Hello: &poolpb.Hello{Entry: "i", Process: 1, RunningUs: n}}},
				{Kind: &poolpb.FromEntry_Ask{Ask: ask(service, n)}},
				{Kind: &poolpb.FromEntry_Running{Running: &poolpb.Running{Ask: ask(service, n), Grant: &poolpb.Grant{Id: "a", Instance: "e1"}}}},
				{Kind: &poolpb.FromEntry_End{End: &poolpb.End{Id: "a", Service: service, Outcome: int32(n), Culprit: "e1"}}},
				{Kind: &poolpb.FromEntry_Suspicion{Suspicion: &poolpb.Suspicion{Id: "a", Service: service, SilenceUs: n}}},
				{Kind: &poolpb.FromEntry_Sends{Sends: &poolpb.Sends{Service: service, Instance: "i", Process: 1, RunningUs: n}}},
			} {
				data, err := proto.Marshal(m)
				if err != nil {
					f.Fatal(err)
				}
				f.Add(data)
			}
		}
	}
	ready := make(chan struct{})
	close(ready)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &poolpb.FromEntry{}
		if err := proto.Unmarshal(data, m); err != nil {
			t.Skip(err)
		}
		s := NewScheduler(Settings{
			Self: "owner",
			Retries: Budget{
				Ratio:  1,
				Extra:  10,
				Window: 10 * time.Second,
			},
		}, logr.Discard())
		s.Update(fuzzSnapshot())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		x := &session{
			server: NewServer(s, ready, make(chan struct{})),
			stream: discardingStream{
				ctx: ctx,
			},
			replaced: make(chan struct{}),
			replace:  func() {},
			pending:  make(map[string]context.CancelFunc),
			attempts: make(map[string]string),
		}
		for range 2 {
			if err := x.handle(ctx, m); err != nil {
				t.Error(err)
			}
		}
		x.end()
		s.Update(fuzzSnapshot())
	})
}
