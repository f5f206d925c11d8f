// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/route"
)

// Sheet is what a deployment is asked for, and with what it serves.
type Sheet struct {
	// Name names the sheet in results.
	Name string `toml:"name"`
	// Length is how long requests come.
	Length config.Duration `toml:"length"`
	// Engines are the engines.
	Engines Engines `toml:"engines"`
	// Kinds are the kinds of requests.
	Kinds []Kind `toml:"kinds"`
	// Wave lets the rates of all kinds rise and fall.
	Wave Wave `toml:"wave"`
	// Bursts change the rates for a while.
	Bursts []Burst `toml:"bursts"`
	// Troubles are what happens to engines and streams.
	Troubles []Trouble `toml:"troubles"`
	// Delay is how long a message is on its way between a caller, its entry, the owner
	// of the pool and an engine.
	Delay config.Duration `toml:"delay"`
	// Weights say what counts how much.
	Weights Weights `toml:"weights"`
}

// Engines describes the engines, which are alike.
type Engines struct {
	// Count is how many there are.
	Count int `toml:"count"`
	// Slots bounds the requests that run at once on one.
	Slots int `toml:"slots"`
	// Capacity is the memory of one, in tokens.
	Capacity int `toml:"capacity"`
	// Stride is the number of steps in a pass with writers.
	Stride int `toml:"stride"`
	// Chunk bounds the tokens that are read in a step.
	Chunk int `toml:"chunk"`
	// Step, PerSequence and PerThousandContext are the time of a step.
	Step               config.Duration `toml:"step"`
	PerSequence        config.Duration `toml:"per_sequence"`
	PerThousandContext config.Duration `toml:"per_thousand_context"`
	// ReadPerSecond and PerMillionPairs are the pace of reading.
	ReadPerSecond   float64         `toml:"read_per_second"`
	PerMillionPairs config.Duration `toml:"per_million_pairs"`
}

// Model returns the cost model of the engines.
func (e *Engines) Model() *batch.Model {
	return &batch.Model{
		Slots:              e.Slots,
		Capacity:           e.Capacity,
		StepsPerPass:       e.Stride,
		Chunk:              e.Chunk,
		Step:               time.Duration(e.Step),
		PerSequence:        time.Duration(e.PerSequence),
		PerThousandContext: time.Duration(e.PerThousandContext),
		PrefillPerSecond:   e.ReadPerSecond,
		PerMillionPairs:    time.Duration(e.PerMillionPairs),
	}
}

// Kind is a kind of requests.
type Kind struct {
	// Name names the kind.
	Name string `toml:"name"`
	// PerSecond is the rate outside bursts.
	PerSecond float64 `toml:"per_second"`
	// Prompt is the length of prompts, in tokens.
	Prompt Spread `toml:"prompt"`
	// Events is the number of events of an answer, each of Stride tokens.
	Events Spread `toml:"events"`
	// Target is within what time the first event is in time.
	Target config.Duration `toml:"target"`
	// Gap is the longest pause between events in time.
	Gap config.Duration `toml:"gap"`
	// Deadline is how long a caller waits in all.
	Deadline config.Duration `toml:"deadline"`
	// Worth is what an answer in time is worth at the mean length of the prompt, and
	// LateWorth what a late one is.
	Worth     float64 `toml:"worth"`
	LateWorth float64 `toml:"late_worth"`
	// Rank is the priority; 0 goes first.
	Rank int `toml:"rank"`
}

// Spread is a distribution of sizes: lognormal, cut off at Most.
type Spread struct {
	// Mean is the mean before the cut.
	Mean float64 `toml:"mean"`
	// Deviation is the standard deviation in parts of the mean.
	Deviation float64 `toml:"deviation"`
	// Most is the greatest size.
	Most float64 `toml:"most"`
}

// Wave multiplies rates by 1 + Swing × sin(2π × (t/Period + Phase)).
type Wave struct {
	// Swing is its height; zero means none.
	Swing float64 `toml:"swing"`
	// Period is its length.
	Period config.Duration `toml:"period"`
	// Phase is where it begins, from 0 to 1.
	Phase float64 `toml:"phase"`
}

// factorAt returns what rates are multiplied by factorAt a moment.
func (w *Wave) factorAt(t time.Duration) float64 {
	if w.Swing == 0 {
		return 1
	}
	return 1 + w.Swing*math.Sin(2*math.Pi*(t.Seconds()/time.Duration(w.Period).Seconds()+w.Phase))
}

// Burst multiplies the rate of a kind for a while.
type Burst struct {
	// Kind names the kind; empty means all.
	Kind string `toml:"kind"`
	// At and For are when it is.
	At  config.Duration `toml:"at"`
	For config.Duration `toml:"for"`
	// Factor is what the rate is multiplied by.
	Factor float64 `toml:"factor"`
}

// Trouble is what happens to engines or streams for a while.
type Trouble struct {
	// At and For are when it is.
	At  config.Duration `toml:"at"`
	For config.Duration `toml:"for"`
	// Engines is how many engines work Slow times as long as usual; with a Slow of zero
	// they do nothing.
	Engines int     `toml:"engines"`
	Slow    float64 `toml:"slow"`
	// Spread states that these are spread over all engines, in place of the first ones.
	Spread bool `toml:"spread"`
	// Cut is the part of the running requests whose entries are lost at that moment.
	Cut float64 `toml:"cut"`
}

// Weights say what counts how much in the figure of a day.
type Weights struct {
	// Day is the weight of the whole day, Windows that of the two worst windows, and
	// Kind that of the worst-served kind.
	Day     float64 `toml:"day"`
	Windows float64 `toml:"windows"`
	Kind    float64 `toml:"kind"`
}

// ParseSheet reads a sheet and checks it.
func ParseSheet(data []byte) (*Sheet, error) {
	var s Sheet
	if err := toml.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrap(err, "sheet")
	}
	if err := s.Check(); err != nil {
		return nil, errors.Wrapf(err, "sheet %q", s.Name)
	}
	return &s, nil
}

// Check returns an error that names the first field that makes no sense.
func (s *Sheet) Check() error {
	e := &s.Engines
	for _, row := range []struct {
		name string
		ok   bool
	}{
		{"name", s.Name != ""},
		{"length", s.Length > 0},
		{"delay", s.Delay >= 0},
		{"kinds", len(s.Kinds) > 0},
		{"engines.count", e.Count > 0},
		{"engines.slots", e.Slots > 0},
		{"engines.capacity", e.Capacity > 0},
		{"engines.stride", e.Stride > 0},
		{"engines.step", e.Step > 0},
		{"engines.read_per_second", e.ReadPerSecond > 0},
		{"wave", s.Wave.Swing >= 0 && s.Wave.Swing <= 1 && (s.Wave.Swing == 0 || s.Wave.Period > 0)},
		{"weights", s.Weights.Day+s.Weights.Windows+s.Weights.Kind > 0},
	} {
		if !row.ok {
			return errors.Errorf("%s is missing or out of range", row.name)
		}
	}
	for _, k := range s.Kinds {
		if err := k.check(); err != nil {
			return errors.Wrapf(err, "kind %q", k.Name)
		}
	}
	for _, b := range s.Bursts {
		if b.Kind != "" && s.kind(b.Kind) < 0 {
			return errors.Errorf("burst of an unknown kind %q", b.Kind)
		}
		if b.Factor < 0 || b.For <= 0 {
			return errors.New("burst: factor or time is out of range")
		}
	}
	for _, t := range s.Troubles {
		if t.Engines > e.Count || t.Engines < 0 || t.Slow < 0 || t.Cut < 0 || t.Cut > 1 {
			return errors.New("trouble: engines, slow or cut is out of range")
		}
	}
	return nil
}

// check returns an error that names the first field that makes no sense.
func (k *Kind) check() error {
	for _, row := range []struct {
		name string
		ok   bool
	}{
		{"name", k.Name != ""},
		{"per_second", k.PerSecond >= 0},
		{"prompt", k.Prompt.Mean >= 1 && k.Prompt.Most >= k.Prompt.Mean},
		{"events", k.Events.Mean >= 1 && k.Events.Most >= k.Events.Mean},
		{"target", k.Target > 0},
		{"deadline", k.Deadline >= k.Target},
		{"worth", k.Worth > 0 && k.LateWorth >= 0 && k.LateWorth <= k.Worth},
	} {
		if !row.ok {
			return errors.Errorf("%s is missing or out of range", row.name)
		}
	}
	return nil
}

// Scaled returns the sheet with all rates multiplied.
func (s *Sheet) Scaled(load float64) *Sheet {
	out := *s
	out.Kinds = slices.Clone(s.Kinds)
	for i := range out.Kinds {
		out.Kinds[i].PerSecond *= load
	}
	return &out
}

// kind returns the index of the kind with a name; negative when there is none.
func (s *Sheet) kind(name string) int {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return i
		}
	}
	return -1
}

// typicalSize returns the mean size of requests outside bursts, as a configuration tells it.
func (s *Sheet) typicalSize() route.Size {
	all, prompts, answers := 0.0, 0.0, 0.0
	for _, k := range s.Kinds {
		all += k.PerSecond
		prompts += k.PerSecond * k.Prompt.Mean
		answers += k.PerSecond * k.Events.Mean * float64(s.Engines.Stride)
	}
	if all == 0 {
		return route.Size{}
	}
	return route.Size{
		Prompt: int(prompts / all),
		Answer: int(answers / all),
	}
}
