// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/soak"
)

// soakCommand runs the real programs under random faults.
type soakCommand struct {
	Seed        uint64  `long:"seed" description:"seed of the first run; without it a fresh one"`
	Runs        int     `long:"runs" default:"1" description:"how many seeds, counted up"`
	Minutes     float64 `long:"minutes" default:"0.5" description:"how long faults come in a run"`
	Processes   int     `long:"processes" default:"4" description:"how many instances run"`
	Statements  bool    `long:"statements" description:"endpoints name limits, say that they leave and ask for rest in their answers, too"`
	Partitions  bool    `long:"partitions" description:"instances are cut from all endpoints and the store comes back from copies, too"`
	Truncations bool    `long:"truncations" description:"answers of endpoints end early, or with their connection, too"`
	Retries     bool    `long:"retries" description:"a narrow retry budget, and many retries while instances stop, too"`
	Parts       bool    `long:"parts" description:"a part of prompts crashes engines, too"`
	Starts      bool    `long:"starts" description:"signals, addresses in use and incomplete settings while instances start, log readers that end, malformed entries, cut heads, too"`
	Program     string  `long:"program" description:"program of an instance; without it linkmast is built"`
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if c.Seed == 0 {
		c.Seed = uint64(rand.Uint32())
	}
	if c.Program == "" {
		dir, err := os.MkdirTemp("", "linkmast-soak-build-")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		c.Program = filepath.Join(dir, "linkmast")
		if err := buildInstance(ctx, c.Program); err != nil {
			return err
		}
	}
	return c.runSeeds(ctx)
}

// buildInstance builds the command linkmast at path. The working directory must be the root
// of the source tree.
func buildInstance(ctx context.Context, path string) error {
	build := exec.CommandContext(ctx, "go", "build", "-o", path, "./cmd/linkmast")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return errors.Wrap(err, "build linkmast")
	}
	return nil
}

// runSeeds runs one soak for each seed, one after the other. It returns an error if any of
// them found a violated guarantee.
func (c *soakCommand) runSeeds(ctx context.Context) error {
	bad := 0
	for i := range c.Runs {
		broken, err := soak.Run(ctx, soak.Settings{
			Program:     c.Program,
			Seed:        c.Seed + uint64(i),
			Length:      time.Duration(c.Minutes * float64(time.Minute)),
			Statements:  c.Statements,
			Partitions:  c.Partitions,
			Truncations: c.Truncations,
			Retries:     c.Retries,
			Parts:       c.Parts,
			Starts:      c.Starts,
			Processes:   c.Processes,
			Out:         os.Stdout,
		})
		if err != nil {
			return err
		}
		if len(broken) > 0 {
			bad++
		}
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d runs broke a promise", bad, c.Runs)
	}
	return nil
}
