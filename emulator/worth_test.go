// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/emulator"
	"github.com/linkmast/linkmast/pool"
)

// thirdOfSheet returns 16 s of a sheet with a third of its engines and a third of its rates, which
// are multiplied by load.
func thirdOfSheet(t *testing.T, name string, load float64) *emulator.Sheet {
	t.Helper()
	data, err := os.ReadFile("sheets/" + name)
	if err != nil {
		t.Fatal(err)
	}
	s, err := emulator.ParseSheet(data)
	if err != nil {
		t.Fatal(err)
	}
	const part = 3
	s.Engines.Count /= part
	s.Length = config.Duration(16 * time.Second)
	return s.Scaled(load / part)
}

// servedShare returns the share of the requests of a kind that kept some of their worth.
func servedShare(requests []emulator.Request, r *emulator.Result, kind int) float64 {
	all, n := 0, 0
	for i, q := range requests {
		if q.Kind != kind {
			continue
		}
		all++
		if r.Outcomes[i].Worth > 0 {
			n++
		}
	}
	return float64(n) / float64(all)
}

// TestUrgentFirst plays twice the load of a sheet with three ranks, of which the shortest
// prompts have the highest. It guards against a less urgent kind that is served better than
// a more urgent one.
func TestUrgentFirst(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			s := thirdOfSheet(t, "tiers.toml", 2)
			requests := emulator.Draw(s, seed)
			r := emulator.Play(s, requests, pool.Settings{}, seed)
			for kind := range s.Kinds {
				t.Log(s.Kinds[kind].Name, "served:", servedShare(requests, r, kind), "kept:", r.KindShare(kind))
			}
			for kind := range s.Kinds[1:] {
				is.True(servedShare(requests, r, kind) > servedShare(requests, r, kind+1)-0.05)
				is.True(r.KindShare(kind) > r.KindShare(kind+1)-0.05)
			}
			is.True(r.KindShare(0) > 0.8)
		})
	}
}
