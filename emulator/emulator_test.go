// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/emulator"
	"github.com/linkmast/linkmast/pool"
)

// readSheet returns a sheet from the directory sheets.
func readSheet(t *testing.T, name string) *emulator.Sheet {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("sheets", name))
	if err != nil {
		t.Fatal(err)
	}
	s, err := emulator.ParseSheet(data)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// shortPromptSheet returns a sheet with six engines and one kind of short prompts, whose
// prefill takes about 34 ms and whose decode takes about 1.7 s.
func shortPromptSheet(perSecond float64, length time.Duration) *emulator.Sheet {
	return &emulator.Sheet{
		Name:   "short",
		Length: config.Duration(length),
		Delay:  config.Duration(time.Millisecond),
		Engines: emulator.Engines{
			Count:            6,
			Slots:            16,
			Capacity:         400_000,
			StepsPerPass:     34,
			Chunk:            2048,
			Step:             config.Duration(1310 * time.Microsecond),
			PrefillPerSecond: 154_000,
			PerMillionPairs:  config.Duration(162 * time.Microsecond),
		},
		Kinds: []emulator.Kind{
			{
				Name:      "short",
				PerSecond: perSecond,
				Prompt:    emulator.Spread{Mean: 5000, Most: 5000},
				Events:    emulator.Spread{Mean: 38, Most: 38},
				Target:    config.Duration(300 * time.Millisecond),
				Gap:       config.Duration(250 * time.Millisecond),
				Deadline:  config.Duration(10 * time.Second),
				Worth:     1,
				LateWorth: 0.25,
			},
		},
		Weights: emulator.Weights{Day: 1},
	}
}

// TestSheets checks that the sheets parse and that the drawn requests have the rates of the
// sheet.
func TestSheets(t *testing.T) {
	for _, name := range []string{"shifted", "shifted-short", "grown", "worst-seconds", "large", "few", "few-grown"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := readSheet(t, name+".toml")
			s.Bursts = nil
			s.Wave = emulator.Wave{}
			s.Length = config.Duration(200 * time.Second)
			counts := make([]float64, len(s.Kinds))
			for _, q := range emulator.Draw(s, 1) {
				counts[q.Kind]++
			}
			for i, k := range s.Kinds {
				want := 200 * k.PerSecond
				is.True(counts[i] > 0.85*want-10 && counts[i] < 1.15*want+10)
			}
		})
	}
}

// TestSheetErrors checks that the error of a sheet names the invalid field.
func TestSheetErrors(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(*emulator.Sheet)
	}{
		{"engines.count", func(s *emulator.Sheet) { s.Engines.Count = 0 }},
		{"target", func(s *emulator.Sheet) { s.Kinds[0].Target = 0 }},
		{"worth", func(s *emulator.Sheet) { s.Kinds[0].LateWorth = 2 * s.Kinds[0].Worth }},
		{"unknown kind", func(s *emulator.Sheet) { s.Bursts = []emulator.Burst{{Kind: "none", For: 1}} }},
		{"trouble", func(s *emulator.Sheet) { s.Faults = []emulator.Fault{{Engines: 1000}} }},
		{"wave", func(s *emulator.Sheet) { s.Wave = emulator.Wave{Swing: 0.2} }},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := readSheet(t, "few.toml")
			row.change(s)
			err := s.Check()
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), row.name))
		})
	}
}

// TestPlayRepeats checks that two plays of the same requests and seed give the same
// outcomes.
func TestPlayRepeats(t *testing.T) {
	is := is.New(t)
	s := readSheet(t, "few.toml")
	requests := emulator.Draw(s, 7)
	one, two := emulator.Play(s, requests, pool.Settings{}, 7), emulator.Play(s, requests, pool.Settings{}, 7)
	is.True(reflect.DeepEqual(one.Outcomes, two.Outcomes))
}

// lightSheet returns a sheet with so few requests that none waits for another.
func lightSheet() *emulator.Sheet {
	s := shortPromptSheet(2, 20*time.Second)
	s.Kinds[0].Prompt = emulator.Spread{Mean: 20_000, Most: 20_000}
	return s
}

// TestArithmetic compares a lone request with the cost model: a prefill of 20 000 tokens at
// 154 000 per second and 200 million pairs at 162 µs per million, and 34 steps of 1.31 ms
// between events. The delay of messages may add 2 to 15 ms to the first event.
func TestArithmetic(t *testing.T) {
	is := is.New(t)
	s := lightSheet()
	requests := emulator.Draw(s, 1)[:1]
	o := emulator.Play(s, requests, pool.Settings{}, 1).Outcomes[0]
	prefill := 20_000.0/154_000 + 200*162e-6
	is.Equal(o.Cause, emulator.CauseNone)
	is.True(o.FirstEvent.Seconds() > prefill+0.002 && o.FirstEvent.Seconds() < prefill+0.015)
	is.Equal(o.LongestPause.Round(time.Millisecond), 45*time.Millisecond)
}

// TestFaults checks that each kind of fault has its effect.
func TestFaults(t *testing.T) {
	at, long := config.Duration(5*time.Second), config.Duration(10*time.Second)
	for _, row := range []struct {
		name  string
		fault emulator.Fault
		// cause occurs with the fault and not without it.
		cause emulator.Cause
	}{
		{"stopped engines", emulator.Fault{At: at, For: long, Engines: 6}, emulator.CauseAbandoned},
		{"slow engines", emulator.Fault{At: at, For: long, Engines: 6, Slowdown: 8}, emulator.CauseLateFirstEvent},
		{"streams cut", emulator.Fault{At: at, For: long, Slowdown: 1, Cut: 1}, emulator.CauseRetried},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := lightSheet()
			requests := emulator.Draw(s, 3)
			causes := func() map[emulator.Cause]int {
				n := make(map[emulator.Cause]int)
				for _, o := range emulator.Play(s, requests, pool.Settings{}, 3).Outcomes {
					n[o.Cause]++
				}
				return n
			}
			is.Equal(causes()[row.cause], 0)
			s.Faults = []emulator.Fault{row.fault}
			is.True(causes()[row.cause] > 0)
		})
	}
}

// TestSlowdownKnown checks that less worth is lost to slow engines if the pool determines their
// slowdown.
func TestSlowdownKnown(t *testing.T) {
	for _, row := range []struct {
		name   string
		spread bool
	}{
		{"first engines", false},
		{"spread engines", true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			s := readSheet(t, "grown.toml")
			s.Faults = []emulator.Fault{{
				At:       config.Duration(8 * time.Second),
				For:      config.Duration(10 * time.Second),
				Engines:  18,
				Slowdown: 3,
				Spread:   row.spread,
			}}
			requests := emulator.Draw(s, 1)
			day := func(mode pool.SlowdownMode) float64 {
				return emulator.Play(s, requests, pool.Settings{
					SlowdownMode: mode,
				}, 1).DayShare()
			}
			known, ignored := day(pool.SlowdownQueriedOrEstimated), day(pool.SlowdownIgnored)
			t.Log("known", known, "ignored", ignored)
			is.True(known > ignored+0.02)
		})
	}
}

// TestBound checks that no play keeps more than the bound. The bound must be the whole worth up to
// the load of the sheet, and less at three times that load.
func TestBound(t *testing.T) {
	for _, row := range []struct {
		load float64
		all  bool
	}{
		{0.3, true},
		{1, true},
		{3, false},
	} {
		is := is.New(t)
		s := readSheet(t, "few.toml").Scaled(row.load)
		requests := emulator.Draw(s, 1)
		bound := emulator.Bounded(s, requests).DayShare()
		played := emulator.Play(s, requests, pool.Settings{}, 1).DayShare()
		t.Log("load", row.load, "bound", bound, "played", played)
		is.True(played <= bound)
		is.Equal(bound > 0.9999, row.all)
	}
}
