// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"context"
	"io"
	"os"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/experiment"
)

// experimentCommand compares policies on emulated days.
type experimentCommand struct {
	Jobs   int    `long:"jobs" default:"4" description:"days played at once"`
	JSON   bool   `long:"json" description:"print JSON"`
	Causes bool   `long:"causes" description:"print what is lost by which cause"`
	Times  string `long:"times" description:"write a picture of the worth over the day to this SVG file"`
	Loads  string `long:"loads" description:"write a picture of the figure over load to this SVG file"`
	Args   struct {
		Plan string `positional-arg-name:"PLAN" description:"a plan in TOML"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	plan, sheets, err := experiment.Load(c.Args.Plan)
	if err != nil {
		return err
	}
	rows, err := experiment.Run(context.Background(), plan, sheets, c.Jobs)
	if err != nil {
		return errors.Wrap(err, "experiment")
	}
	if err := writePlot(c.Times, rows, experiment.WriteWindowPlot); err != nil {
		return err
	}
	if err := writePlot(c.Loads, rows, experiment.WriteLoadPlot); err != nil {
		return err
	}
	if c.JSON {
		return experiment.WriteJSON(os.Stdout, rows)
	}
	return experiment.WriteTable(os.Stdout, rows, c.Causes)
}

// writePlot writes a plot to a file. It does nothing if name is empty.
func writePlot(name string, rows []experiment.Row, write func(io.Writer, []experiment.Row) error) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "write plot")
	}
	if err := write(f, rows); err != nil {
		return errors.Join(err, f.Close())
	}
	if err := f.Close(); err != nil {
		return errors.Wrap(err, "write plot")
	}
	return nil
}
