// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/linkmast/linkmast/internal/slope"
)

// fitCommand fits a line to the results of each benchmark as a function of its size.
type fitCommand struct{}

// percent converts a fraction to percent.
const percent = 100

// Execute implements flags.Commander.
func (c *fitCommand) Execute([]string) error {
	lines, err := slope.Read(os.Stdin)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	fmt.Fprintln(w, "| benchmark\t| unit\t| a\t| b per n\t| worst error\t| sizes\t|")
	fmt.Fprintln(w, "|---\t|---\t|---\t|---\t|---\t|---\t|")
	for i := range lines {
		l := &lines[i]
		fmt.Fprintf(w, "| %s\t| %s\t| %.4g\t| %.4g\t| %.0f%%\t| %v\t|\n", l.Benchmark, l.Unit, l.A, l.B, l.Error*percent, l.Sizes)
	}
	return w.Flush()
}
