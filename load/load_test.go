// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package load

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestProfiles checks that the embedded profiles are valid and that a fiftieth of their requests
// are of kinds with long prompts.
func TestProfiles(t *testing.T) {
	for _, name := range []string{"pinecrest", "tana"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, err := ReadProfile(name)
			is.NoErr(err)
			long := 0.0
			for i := range p.Kinds {
				if p.Kinds[i].IsLong() {
					long += p.Kinds[i].Weight
				}
			}
			is.Equal(long/p.TotalWeight(), 0.02)
			is.Equal(p.WithoutLongPrompts().TotalWeight(), p.TotalWeight()-long)
		})
	}
}

// TestArrivals checks that the seed determines the arrivals, and that their rate and mean
// length match the profile.
func TestArrivals(t *testing.T) {
	is := is.New(t)
	p, err := ReadProfile("pinecrest")
	is.NoErr(err)
	draw := func(seed uint64) []arrival {
		return p.arrivals(100, 200*time.Second, rand.New(rand.NewPCG(seed, seed)))
	}
	one, again, other := draw(1), draw(1), draw(2)
	is.Equal(one, again)
	is.True(one[0] != other[0])
	is.True(math.Abs(float64(len(one))-20_000) < 600)
	work := 0.0
	for _, a := range one {
		work += float64(a.tokens - a.kind.SharedTokens)
	}
	is.True(math.Abs(work/float64(len(one))/p.MeanPrefill()-1) < 0.1)
}

// TestReport checks that outcomes are counted in their classes.
func TestReport(t *testing.T) {
	is := is.New(t)
	r := newReport(&Profile{}, Settings{})
	r.add(&outcome{
		tokens:   1_000,
		measured: true,
		answered: true,
		first:    20 * time.Millisecond,
		total:    50 * time.Millisecond,
	})
	r.add(&outcome{
		tokens:   300_000,
		measured: true,
		refused:  true,
		code:     "busy",
		total:    time.Millisecond,
	})
	r.Finish()
	is.Equal(r.Sent, 2)
	is.Equal(r.Class("short").Answered, 1)
	is.True(math.Abs(r.Class("short").FirstP95-20) < 0.1)
	is.Equal(r.Class("huge").Refused, 1)
	is.Equal(r.Codes["busy"], 1)
}
