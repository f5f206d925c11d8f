// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/fleet"
	"github.com/linkmast/linkmast/load"
	"github.com/linkmast/linkmast/standin"
)

// demoCommand runs a whole deployment in this process.
type demoCommand struct {
	Profile  string        `long:"profile" default:"pinecrest" description:"pinecrest, tana, or a file (TOML)"`
	Nodes    int           `long:"nodes" default:"3" description:"nodes"`
	Engines  int           `long:"engines" default:"6" description:"engines"`
	Duration time.Duration `long:"duration" default:"5s" description:"how long requests come"`
	Load     float64       `long:"load" default:"0.6" description:"part of the engines' prefill capacity"`
	Seed     uint64        `long:"seed" default:"1" description:"decides arrivals, kinds and lengths"`
	Exit     bool          `long:"exit" description:"exit after the table instead of staying up"`
	JSON     bool          `long:"json" description:"print one JSON object"`
	Log      bool          `long:"log" description:"write the nodes' JSON lines to standard error"`
}

// Parameters of the demo's engines, which are faster than the defaults of the stand-ins so
// that the demo is short.
const (
	demoPrefill = 400_000
	demoChunk   = 4096
	demoStep    = 4 * time.Millisecond
)

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	p, err := load.ReadProfile(c.Profile)
	if err != nil {
		return err
	}
	logger := logr.Discard()
	if c.Log {
		logger = logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, nil))
	}
	f, err := fleet.Start(fleet.Settings{
		Nodes:   c.Nodes,
		Engines: c.Engines,
		Logger:  logger,
		Engine: standin.EngineSettings{
			PrefillTokensPerSecond: demoPrefill,
			ChunkTokens:            demoChunk,
			DecodeStep:             demoStep,
		},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	if !c.JSON {
		fmt.Printf("%d nodes, %d engines and %d plain endpoints run in this process; requests come for %s\n\n", c.Nodes,
			c.Engines, len(f.Services), c.Duration)
	}
	out := c.measure(f, p)
	if err := c.print(out, f); err != nil {
		return err
	}
	if bad := out.Run.Wrong + out.Run.Doubled; bad > 0 || out.Run.LeakedBytes > 0 {
		return errors.Errorf("wrong behavior detected: %d answers wrong, %d calls doubled, %d bytes leaked", out.Run.Wrong, out.Run.Doubled,
			out.Run.LeakedBytes)
	}
	if !c.Exit {
		awaitSignal()
	}
	return nil
}

// measure runs the profile first without and then with its long prompts.
func (c *demoCommand) measure(f *fleet.Fleet, p *load.Profile) *Result {
	short := p.WithoutLongPrompts()
	s := load.Settings{
		Addresses: f.Addresses(),
		Rate:      c.Load * f.PrefillRate() / p.MeanPrefill(),
		Duration:  c.Duration,
		Seed:      c.Seed,
	}
	base := s
	base.Rate *= short.TotalWeight() / p.TotalWeight()
	base.Seed += 1_000_000
	out := &Result{
		Baseline: runFleet(f, short, base, "none"),
		Run:      runFleet(f, p, s, "none"),
	}
	if first := out.Baseline.Class("short").FirstP95; first > 0 {
		out.ShortSlowdown = out.Run.Class("short").FirstP95 / first
	}
	return out
}

// print prints the results as JSON, or as a table with commands to try.
func (c *demoCommand) print(out *Result, f *fleet.Fleet) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(struct {
			*load.Report
			ShortSlowdown float64 `json:"short_slowdown"`
		}{
			Report:        out.Run,
			ShortSlowdown: out.ShortSlowdown,
		})
	}
	if err := out.Run.Table(os.Stdout); err != nil {
		return err
	}
	fmt.Printf("\nslowdown of short requests beside long ones (TTFT p95): %.2f\n", out.ShortSlowdown)
	fmt.Printf("doubled %d, leaked bytes %d\n", out.Run.Doubled, out.Run.LeakedBytes)
	n := f.Nodes[0]
	fmt.Printf("\nTry it:\n  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":%q,\"prompt\":\"When is the hammer?\",\"max_tokens\":8,\"stream\":true}'\n", n.Listen,
		fleet.Customers[0].Key, fleet.Model)
	fmt.Printf("  linkmastctl status")
	for _, n := range f.Nodes {
		fmt.Printf(" --admin %s", n.AdminListen)
	}
	fmt.Printf("\n  linkmastctl show --log %s\n", f.PlatformAddress)
	return nil
}

// awaitSignal waits for SIGTERM or SIGINT.
func awaitSignal() {
	fmt.Fprintln(os.Stderr, "\nrunning; interrupt to stop")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
}
