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

// Sheet describes a workload and the deployment that serves it.
type Sheet struct {
	// Name identifies the sheet in results.
	Name string `toml:"name"`
	// Length is the time during which requests arrive.
	Length config.Duration `toml:"length"`
	// Engines describes the engines.
	Engines Engines `toml:"engines"`
	// Kinds are the kinds of requests.
	Kinds []Kind `toml:"kinds"`
	// Wave varies the rates of all kinds periodically.
	Wave Wave `toml:"wave"`
	// Bursts change rates for a limited time.
	Bursts []Burst `toml:"bursts"`
	// Faults are the faults that are injected.
	Faults []Fault `toml:"troubles"`
	// Delay is the nominal time that a message takes between any two of caller, entry instance,
	// pool and engine.
	Delay config.Duration `toml:"delay"`
	// Weights are the weights in the score of a day.
	Weights Weights `toml:"weights"`
}

// Engines describes the engines, which are all alike.
type Engines struct {
	// Count is the number of engines.
	Count int `toml:"count"`
	// Slots bounds the requests that run at once on one engine. Shares of joint prefills for
	// other engines don't count.
	Slots int `toml:"slots"`
	// Capacity is the memory of one engine in tokens.
	Capacity int `toml:"capacity"`
	// StepsPerPass is the number of steps in a pass in which requests decode. An event of an
	// answer has as many tokens.
	StepsPerPass int `toml:"stride"`
	// Chunk bounds the tokens that an engine prefills per step; zero means no limit.
	Chunk int `toml:"chunk"`
	// Step is the fixed time of a decode step. PerSequence is added to it for each decoding
	// request, and PerThousandContext for each thousand tokens of context.
	Step               config.Duration `toml:"step"`
	PerSequence        config.Duration `toml:"per_sequence"`
	PerThousandContext config.Duration `toml:"per_thousand_context"`
	// PrefillPerSecond is the prefill rate in tokens per second. PerMillionPairs is added to
	// the time of a prefill for each million pairs of a token and an earlier one.
	PrefillPerSecond float64         `toml:"read_per_second"`
	PerMillionPairs  config.Duration `toml:"per_million_pairs"`
}

// Model returns the cost model of the engines.
func (e *Engines) Model() *batch.Model {
	return &batch.Model{
		Slots:              e.Slots,
		Capacity:           e.Capacity,
		StepsPerPass:       e.StepsPerPass,
		Chunk:              e.Chunk,
		Step:               time.Duration(e.Step),
		PerSequence:        time.Duration(e.PerSequence),
		PerThousandContext: time.Duration(e.PerThousandContext),
		PrefillPerSecond:   e.PrefillPerSecond,
		PerMillionPairs:    time.Duration(e.PerMillionPairs),
	}
}

// Kind describes the requests of one kind.
type Kind struct {
	// Name identifies the kind.
	Name string `toml:"name"`
	// PerSecond is the rate of requests without wave and bursts.
	PerSecond float64 `toml:"per_second"`
	// Prompt is the length of prompts in tokens.
	Prompt Spread `toml:"prompt"`
	// Events is the number of events of an answer, each of Engines.StepsPerPass tokens.
	Events Spread `toml:"events"`
	// Target is the time within which the first event must arrive to be in time.
	Target config.Duration `toml:"target"`
	// Gap is the longest pause between events that counts as in time; zero means no limit.
	Gap config.Duration `toml:"gap"`
	// Deadline is how long a caller waits for the whole answer.
	Deadline config.Duration `toml:"deadline"`
	// Worth and LateWorth are the values of an answer to a prompt of mean length: Worth if the
	// answer is in time, and LateWorth if it is late.
	Worth     float64 `toml:"worth"`
	LateWorth float64 `toml:"late_worth"`
	// Rank is the priority; 0 is the highest.
	Rank int `toml:"rank"`
}

// Spread is a lognormal distribution of sizes. Sizes below 1 are raised to 1, and those above
// Most lowered to Most.
type Spread struct {
	// Mean is the mean before these changes.
	Mean float64 `toml:"mean"`
	// Deviation is the standard deviation before these changes, in units of the mean.
	Deviation float64 `toml:"deviation"`
	// Most is the largest size.
	Most float64 `toml:"most"`
}

// Wave multiplies rates by 1 + Swing × sin(2π × (t/Period + Phase)).
type Wave struct {
	// Swing is the amplitude, from 0 to 1; zero disables the wave.
	Swing float64 `toml:"swing"`
	// Period is the time of one oscillation.
	Period config.Duration `toml:"period"`
	// Phase is the phase at the start, in periods.
	Phase float64 `toml:"phase"`
}

// factorAt returns the factor for rates at time t.
func (w *Wave) factorAt(t time.Duration) float64 {
	if w.Swing == 0 {
		return 1
	}
	return 1 + w.Swing*math.Sin(2*math.Pi*(t.Seconds()/time.Duration(w.Period).Seconds()+w.Phase))
}

// Burst multiplies the rate of a kind for a limited time.
type Burst struct {
	// Kind is the name of the kind; empty means all kinds.
	Kind string `toml:"kind"`
	// At is the start of the burst since the start of the day, and For its duration.
	At  config.Duration `toml:"at"`
	For config.Duration `toml:"for"`
	// Factor multiplies the rate.
	Factor float64 `toml:"factor"`
}

// Fault is a fault that is injected for a limited time.
type Fault struct {
	// At is the start of the fault since the start of the day, and For its duration.
	At  config.Duration `toml:"at"`
	For config.Duration `toml:"for"`
	// Engines is the number of engines whose passes take Slowdown times as long; a Slowdown of
	// zero stops them.
	Engines  int     `toml:"engines"`
	Slowdown float64 `toml:"slow"`
	// Spread selects engines at even distances in their order instead of the first ones.
	Spread bool `toml:"spread"`
	// Cut is the probability with which each request that has or had an attempt loses its
	// entry instance at the start of the fault. A request that has ended on its last try then
	// counts as EntryLost.
	Cut float64 `toml:"cut"`
}

// Weights are the weights of the parts of a day's score.
type Weights struct {
	// Day is the weight of all requests, Windows that of the two worst windows, and Kind
	// that of the worst kind.
	Day     float64 `toml:"day"`
	Windows float64 `toml:"windows"`
	Kind    float64 `toml:"kind"`
}

// ParseSheet parses a sheet in TOML and checks it.
func ParseSheet(data []byte) (*Sheet, error) {
	var s Sheet
	if err := toml.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrap(err, "parse sheet")
	}
	if err := s.Check(); err != nil {
		return nil, errors.Wrapf(err, "sheet %q", s.Name)
	}
	return &s, nil
}

// Check returns an error that names the first invalid field.
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
		{"engines.stride", e.StepsPerPass > 0},
		{"engines.step", e.Step > 0},
		{"engines.read_per_second", e.PrefillPerSecond > 0},
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
			return errors.Errorf("burst: unknown kind %q", b.Kind)
		}
		if b.Factor < 0 || b.For <= 0 {
			return errors.New("burst: factor or duration is out of range")
		}
	}
	for _, t := range s.Faults {
		if t.Engines > e.Count || t.Engines < 0 || t.Slowdown < 0 || t.Cut < 0 || t.Cut > 1 {
			return errors.New("trouble: engines, slow or cut is out of range")
		}
	}
	return nil
}

// check returns an error that names the first invalid field.
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

// Scaled returns a copy of the sheet with all rates multiplied by load.
func (s *Sheet) Scaled(load float64) *Sheet {
	out := *s
	out.Kinds = slices.Clone(s.Kinds)
	for i := range out.Kinds {
		out.Kinds[i].PerSecond *= load
	}
	return &out
}

// kind returns the index of the kind with a name, or -1.
func (s *Sheet) kind(name string) int {
	for i := range s.Kinds {
		if s.Kinds[i].Name == name {
			return i
		}
	}
	return -1
}

// typicalSize returns the typical size for the configuration of the service: the mean lengths of
// prompts and answers in tokens. Each kind is weighted with its rate without wave and bursts.
func (s *Sheet) typicalSize() route.Size {
	all, prompts, answers := 0.0, 0.0, 0.0
	for _, k := range s.Kinds {
		all += k.PerSecond
		prompts += k.PerSecond * k.Prompt.Mean
		answers += k.PerSecond * k.Events.Mean * float64(s.Engines.StepsPerPass)
	}
	if all == 0 {
		return route.Size{}
	}
	return route.Size{
		Prompt: int(prompts / all),
		Answer: int(answers / all),
	}
}
