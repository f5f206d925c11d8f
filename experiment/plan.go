// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package experiment

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/linkmast/linkmast/emulator"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/worth"
)

// Plan describes an experiment.
type Plan struct {
	// Sheets are the paths of emulator sheets, relative to the directory of the plan.
	Sheets []string `toml:"sheets"`
	// Seeds is the number of seeds, which count up from 1.
	Seeds int `toml:"seeds"`
	// Loads are the factors for the rates of the sheets. The default is 1 alone.
	Loads []float64 `toml:"loads"`
	// Bound adds rows with the upper bound of each sheet.
	Bound bool `toml:"bound"`
	// Variants are the policies to compare. The first is the reference for the others.
	Variants []Variant `toml:"variants"`
}

// Variant is a policy: a name and the settings of the scheduler.
type Variant struct {
	// Name identifies the variant in results.
	Name string `toml:"name"`
	// Slowdown selects how the scheduler determines the slowdown of engines: "told" queries the
	// engines, "learned" estimates it from their events, "ignored" takes it as 1, and empty
	// combines queries and estimates.
	Slowdown string `toml:"pace"`
	// Worth configures the value of answers.
	Worth worth.Settings `toml:"worth"`
}

// settings returns the scheduler's settings for the variant.
func (v *Variant) settings() pool.Settings {
	return pool.Settings{
		SlowdownMode: slowdownModes[v.Slowdown],
		Worth:        v.Worth,
	}
}

// slowdownModes are the slowdown modes by their names in a plan.
var slowdownModes = map[string]pool.SlowdownMode{
	"":        pool.SlowdownQueriedOrEstimated,
	"learned": pool.SlowdownEstimated,
	"told":    pool.SlowdownQueried,
	"ignored": pool.SlowdownIgnored,
}

// Load reads a plan and its sheets.
func Load(path string) (*Plan, []*emulator.Sheet, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read plan")
	}
	var p Plan
	if err := toml.Unmarshal(data, &p); err != nil {
		return nil, nil, errors.Wrapf(err, "plan %s", path)
	}
	if err := p.check(); err != nil {
		return nil, nil, errors.Wrapf(err, "plan %s", path)
	}
	var sheets []*emulator.Sheet
	for _, name := range p.Sheets {
		s, err := readSheet(filepath.Join(filepath.Dir(path), name))
		if err != nil {
			return nil, nil, err
		}
		sheets = append(sheets, s)
	}
	return &p, sheets, nil
}

// readSheet reads a sheet from a file.
func readSheet(path string) (*emulator.Sheet, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read sheet")
	}
	return emulator.ParseSheet(data)
}

// check sets defaults and returns an error that names the first invalid field.
func (p *Plan) check() error {
	if len(p.Loads) == 0 {
		p.Loads = []float64{1}
	}
	switch {
	case len(p.Sheets) == 0:
		return errors.New("sheets are missing")
	case p.Seeds < 1:
		return errors.New("seeds must be 1 or more")
	case len(p.Variants) == 0:
		return errors.New("variants are missing")
	}
	names := make(map[string]bool)
	for _, v := range p.Variants {
		if v.Name == "" || names[v.Name] {
			return errors.Errorf("variant %q: names must not be empty or repeated", v.Name)
		}
		names[v.Name] = true
		if _, ok := slowdownModes[v.Slowdown]; !ok {
			return errors.Errorf("variant %q: unknown pace %q", v.Name, v.Slowdown)
		}
	}
	for _, l := range p.Loads {
		if l <= 0 {
			return errors.Errorf("load %g must be greater than 0", l)
		}
	}
	return nil
}
