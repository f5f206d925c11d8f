// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/fleet"
	"github.com/linkmast/linkmast/load"
	"github.com/linkmast/linkmast/settings"
)

// loadCommand sends requests to nodes or to an embedded fleet.
type loadCommand struct {
	Profile  string        `long:"profile" default:"pinecrest" description:"pinecrest, tana, or a file (TOML)"`
	Node     []string      `long:"node" value-name:"HOST:PORT" description:"address of a node; repeat for each (default: an embedded fleet)"`
	Rate     float64       `long:"rate" description:"requests a second"`
	Load     float64       `long:"load" default:"0.8" description:"part of the prefill capacity, instead of --rate (embedded fleet)"`
	Duration time.Duration `long:"duration" default:"30s" description:"how long requests come"`
	Warmup   time.Duration `long:"warmup" default:"3s" description:"how much of the beginning is not measured"`
	Seed     uint64        `long:"seed" default:"1" description:"decides arrivals, kinds and lengths"`
	Baseline bool          `long:"baseline" description:"first run the profile without its long prompts"`
	JSON     bool          `long:"json" description:"print JSON"`

	Nodes    int           `long:"nodes" default:"8" description:"nodes of the embedded fleet"`
	Engines  int           `long:"engines" default:"20" description:"engines of the embedded fleet"`
	Services int           `long:"services" default:"3" description:"plain endpoints of the embedded fleet"`
	Strategy string        `long:"strategy" default:"weighed" choice:"weighed" choice:"naive" description:"strategy of the embedded fleet"`
	Watch    time.Duration `long:"watch" default:"200ms" description:"how often owners tell of their endpoints (embedded fleet)"`
	Fault    string        `long:"fault" choice:"none" choice:"engine-killed" choice:"engine-frozen" choice:"node-killed" default:"none" description:"what goes wrong a third into the run (embedded fleet)"`
}

// Result holds the results of the load and demo commands. With --json, the load command prints it
// as JSON.
type Result struct {
	// Baseline is the run without long prompts; nil if there was none.
	Baseline *load.Report `json:"baseline,omitempty"`
	// Run is the run of the whole profile.
	Run *load.Report `json:"run"`
	// ShortSlowdown is the 95th percentile of the time to the first token of short prompts
	// in Run, divided by that in Baseline.
	ShortSlowdown float64 `json:"short_slowdown,omitempty"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	p, err := load.ReadProfile(c.Profile)
	if err != nil {
		return err
	}
	var out Result
	if c.Baseline {
		short := p.WithoutLongPrompts()
		// The other kinds keep the rates that they have in the whole profile.
		part := short.TotalWeight() / p.TotalWeight()
		if out.Baseline, err = c.run(short, p, part, "none"); err != nil {
			return err
		}
	}
	if out.Run, err = c.run(p, p, 1, c.Fault); err != nil {
		return err
	}
	if out.Baseline != nil {
		if base := out.Baseline.Class("short").FirstP95; base > 0 {
			out.ShortSlowdown = out.Run.Class("short").FirstP95 / base
		}
	}
	return c.print(&out)
}

// print prints the results, as JSON or as tables.
func (c *loadCommand) print(out *Result) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(out)
	}
	if out.Baseline != nil {
		fmt.Printf("%s without long prompts, %.1f requests/s\n", out.Baseline.Profile, out.Baseline.Rate)
		if err := out.Baseline.Table(os.Stdout); err != nil {
			return err
		}
	}
	fmt.Printf("%s, %.1f requests/s\n", out.Run.Profile, out.Run.Rate)
	if err := out.Run.Table(os.Stdout); err != nil {
		return err
	}
	if out.ShortSlowdown > 0 {
		fmt.Printf("slowdown of short requests beside long ones (TTFT p95): %.2f\n", out.ShortSlowdown)
	}
	fmt.Printf("doubled %d, leaked bytes %d, good prompt tokens/s %.0f\n", out.Run.Doubled, out.Run.LeakedBytes, out.Run.GoodTokens)
	return nil
}

// run runs profile p once. The rate of its requests is the rate for the whole profile, multiplied
// by part.
func (c *loadCommand) run(p, whole *load.Profile, part float64, fault string) (*load.Report, error) {
	s := load.Settings{
		Addresses: c.Node,
		Rate:      c.Rate * part,
		Duration:  c.Duration,
		Seed:      c.Seed,
		Warmup:    c.Warmup,
	}
	if len(c.Node) > 0 {
		if c.Rate <= 0 {
			return nil, errors.New("--node requires --rate")
		}
		r := load.Run(context.Background(), p, s)
		r.Finish()
		return r, nil
	}
	f, err := fleet.Start(fleet.Settings{
		Nodes:    c.Nodes,
		Engines:  c.Engines,
		Services: c.Services,
		Strategy: c.Strategy,
		Node: func(s *settings.File) {
			no := false
			s.LogDecisions = &no
			s.Times.Watch = config.Duration(c.Watch)
		},
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	s.Addresses = f.Addresses()
	if s.Rate == 0 {
		s.Rate = c.Load * f.PrefillRate() / whole.MeanPrefill() * part
	}
	return runFleet(f, p, s, fault), nil
}

// memoryTimeout bounds the wait for engines to release their memory after a run.
const memoryTimeout = 15 * time.Second

// runFleet runs a profile against an embedded fleet and injects a fault after a third of
// the time.
func runFleet(f *fleet.Fleet, p *load.Profile, s load.Settings, fault string) *load.Report {
	timer := time.AfterFunc(s.Duration/3, func() { f.InjectFault(fault) })
	defer timer.Stop()
	r := load.Run(context.Background(), p, s)
	r.LeakedBytes = f.WaitMemoryReleased(memoryTimeout)
	r.Doubled = f.RepeatedCalls()
	r.Finish()
	return r
}
