// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"math"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/linkmast/linkmast/catalog/catalogpb"
)

// FuzzUpdate guards against an instance that ends because of a message from the instance that it follows, or from
// one that follows it.
func FuzzUpdate(f *testing.F) {
	for _, n := range []int64{0, 1, 3, math.MaxInt64, math.MinInt64} {
		for _, m := range []*catalogpb.Update{
			update(Feed(n), n, parts(n), []*catalogpb.Record{{Key: "k", Value: []byte("v"), Offset: n, Base: n}}),
			update(Feed(n), n, parts(n), []*catalogpb.Record{{Key: "k", Value: []byte("v"), Offset: n, Base: n, Packed: true}}),
			{Kind: &catalogpb.Update_Age{Age: &catalogpb.Age{Seq: n, AgeUs: n, AnsweredUs: n, Hops: int32(n), Known: true}}},
		} {
			data, err := proto.Marshal(m)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
		}
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		c := New(Settings{}, plainStore{}, nil, logr.Discard())
		c.apply(Configurations, []Record{record(0, 1)}, 2, allParts, fromStore)
		c.confirmByStore(time.Now())
		m := &catalogpb.Update{}
		if err := proto.Unmarshal(data, m); err == nil {
			stream := &followStream{
				catalog: c,
				sent:    make(map[int64]time.Time),
			}
			// A message may end the stream.
			_ = stream.applyUpdate(m)
		}
		ping := &catalogpb.Ping{}
		if err := proto.Unmarshal(data, ping); err == nil {
			stream := &followerStream{
				catalog: c,
				stream:  &recordingStream{},
			}
			_ = stream.answer(ping)
		}
	})
}
