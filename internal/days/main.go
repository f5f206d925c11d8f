// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Command days plays recorded days of load with several seeds and prints the mean and the
// standard deviation of their scores, so that a policy change is compared over more than one
// run. It is a development tool and not part of the product.
//
//	go run ./internal/days --player PROGRAM --site FILE --day NAME --seed 1 --seed 2
//
// The flag --small plays scaled-down variants of the days. The last row of the table covers all
// days together. The player runs with --no-cpu, so that the processor time of a run, which varies,
// doesn't change its score.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"
)

// options holds the command-line flags.
type options struct {
	Player string   `long:"player" required:"true" description:"the program that plays days"`
	Site   string   `long:"site" required:"true" description:"file of the deployment"`
	Days   []string `long:"day" required:"true" description:"name of a day; may be repeated"`
	Seeds  []int64  `long:"seed" required:"true" description:"a seed; may be repeated"`
	Small  bool     `long:"small" description:"play the small twins of large days"`
	Jobs   int      `long:"jobs" default:"4" description:"days played at once"`
	Why    string   `long:"why" default:"round" description:"a line for the journal"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var e *flags.Error
		if errors.As(err, &e) && e.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := run(context.Background(), &o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "days:", err)
		os.Exit(1)
	}
}

// run plays every day with every seed and writes the table of results to out.
func run(ctx context.Context, o *options, out io.Writer) error {
	dir, err := os.MkdirTemp("", "days")
	if err != nil {
		return errors.Wrap(err, "create directory for reports")
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, "days: cannot remove reports in", dir, "cause:", err)
		}
	}()
	reports := make([][]report, len(o.Days))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(o.Jobs)
	for i, day := range o.Days {
		reports[i] = make([]report, len(o.Seeds))
		for k, seed := range o.Seeds {
			g.Go(func() error {
				r, err := play(ctx, o, dir, day, seed)
				if err != nil {
					return errors.Wrapf(err, "%s, seed %d", day, seed)
				}
				reports[i][k] = r
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return err
	}
	return writeTable(out, o.Days, reports)
}

// play plays one day and returns its report. It ignores the player's exit code if there is a
// report, because the report names the faults.
func play(ctx context.Context, o *options, dir, day string, seed int64) (report, error) {
	name := filepath.Join(dir, filepath.Base(day)+"-"+strconv.FormatInt(seed, 10)+".json")
	args := []string{
		"run", o.Site, day, "--no-cpu", "--jobs", "1",
		"--seed", strconv.FormatInt(seed, 10), "--report", name, "--why", o.Why,
	}
	if o.Small {
		args = append(args, "--small")
	}
	cmd := exec.CommandContext(ctx, o.Player, args...)
	output, runErr := cmd.CombinedOutput()
	data, err := os.ReadFile(name)
	if err != nil {
		return report{}, errors.Wrapf(runErr, "player wrote no report, output: %s", output)
	}
	return parseReport(data)
}
