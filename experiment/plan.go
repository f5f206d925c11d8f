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

// Plan is what is compared.
type Plan struct {
	// Sheets are files with sheets, relative to the plan's.
	Sheets []string `toml:"sheets"`
	// Seeds is how many seeds are played.
	Seeds int `toml:"seeds"`
	// Loads are what the rates of the sheets are multiplied by; the default is 1 alone.
	Loads []float64 `toml:"loads"`
	// Bound states whether the bound is computed as well.
	Bound bool `toml:"bound"`
	// Variants are the ways to decide; the first is what others are compared with.
	Variants []Variant `toml:"variants"`
}

// Variant is a way to decide: a name and what it sets.
type Variant struct {
	// Name names the variant in results.
	Name string `toml:"name"`
	// Pace is how the pace of engines becomes known: "learned", "told" or "ignored"; empty
	// means both.
	Pace string `toml:"pace"`
	// Worth says what answers are worth.
	Worth worth.Settings `toml:"worth"`
}

// settings returns the scheduler's settings.
func (v *Variant) settings() pool.Settings {
	return pool.Settings{
		SlowdownMode: slowdownModes[v.Pace],
		Worth:        v.Worth,
	}
}

// slowdownModes are the ways in which the pace of engines becomes known, by name.
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
		return nil, nil, errors.Wrap(err, "plan")
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

// readSheet reads a sheet from its file.
func readSheet(path string) (*emulator.Sheet, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "sheet")
	}
	return emulator.ParseSheet(data)
}

// check returns an error that names what makes no sense, and sets defaults.
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
			return errors.Errorf("variant %q: names must be given, each once", v.Name)
		}
		names[v.Name] = true
		if _, ok := slowdownModes[v.Pace]; !ok {
			return errors.Errorf("variant %q: pace %q is not known", v.Name, v.Pace)
		}
	}
	for _, l := range p.Loads {
		if l <= 0 {
			return errors.Errorf("load %g must be greater than 0", l)
		}
	}
	return nil
}
