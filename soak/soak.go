// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Settings are the measures of a run.
type Settings struct {
	// Program is the program of an instance.
	Program string
	// Seed draws the schedule and the load.
	Seed uint64
	// Length is how long faults come.
	Length time.Duration
	// Statements has endpoints make statements in their answers beside the schedule.
	Statements bool
	// Processes is how many instances run.
	Processes int
	// Out gets the schedule and the result.
	Out io.Writer
}

// strict states whether keys are refused in time by instances out of touch, which is the
// operator's choice: with odd seeds.
func (s *Settings) strict() bool {
	return s.Seed%2 == 1
}

// The times around the faults.
const (
	// startWithin bounds the time until all instances are ready.
	startWithin = 10 * time.Second
	// readyPollInterval is how often they are asked.
	readyPollInterval = 50 * time.Millisecond
	// recoverWithin is how long the system has to be well again after the last
	// fault, and recoverFor how long it is looked at then.
	recoverWithin = 8 * time.Second
	recoverFor    = 2 * time.Second
	// settleFor is how long reservations and runs may outlast their callers.
	settleFor = 4500 * time.Millisecond
)

// Run plays one schedule. It returns the promises that were broken, and the end
// of ctx as an error; any other error means that the run could not be set up.
func Run(ctx context.Context, s Settings) ([]Violation, error) {
	w, err := newWorld(s.Program, s.Processes, s.strict())
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.awaitReady(ctx); err != nil {
		return nil, err
	}
	history := w.loadAndPlay(ctx, s)
	broken := append(w.check(history), checkRecovery(history, w.recovered)...)
	w.report(s, history, broken)
	if len(broken) == 0 {
		// The logs of a run without a finding are of no use.
		if err := os.RemoveAll(w.dir); err != nil {
			return nil, errors.Wrap(err, "soak")
		}
	}
	return broken, ctx.Err()
}

// loadAndPlay plays the schedule under load and waits until all has settled. It
// returns what the callers saw.
func (w *World) loadAndPlay(ctx context.Context, s Settings) []Exchange {
	c := &callers{
		world: w,
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	watch, unwatch := context.WithCancel(ctx)
	var loading, watching sync.WaitGroup
	watching.Go(func() { w.watchStalls(watch) })
	defer watching.Wait()
	defer unwatch()
	loading.Go(func() { c.run(load, s.Seed) })
	steps := Draw(s.Seed, s.Length, s.Processes)
	if s.Statements {
		steps = merge(steps, DrawStatements(s.Seed, s.Length))
	}
	w.play(ctx, steps, func(step Step) { _, _ = fmt.Fprintln(s.Out, step) })
	wait(ctx, recoverWithin)
	w.recovered = time.Now()
	wait(ctx, recoverFor)
	stop()
	loading.Wait()
	wait(ctx, settleFor)
	return append(c.all(), w.crashExchanges()...)
}

// wait waits for a time, or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// awaitReady waits until all instances are ready.
func (w *World) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(startWithin); time.Now().Before(end); wait(ctx, readyPollInterval) {
		if w.readyCount() == len(w.processes) {
			return nil
		}
	}
	return errors.Errorf("instances are not ready after %s; %s", startWithin, w.logLocation())
}

// report writes the result.
func (w *World) report(s Settings, history []Exchange, broken []Violation) {
	status := make(map[int]int)
	for _, x := range history {
		status[x.Status]++
	}
	_, _ = fmt.Fprintf(s.Out, "seed %d: %d requests, answers by status %v, %d broken promises\n",
		s.Seed, len(history), status, len(broken))
	for _, v := range broken {
		_, _ = fmt.Fprintln(s.Out, "  "+v.String())
	}
	if len(broken) > 0 {
		w.writeStalls(s.Out)
		_, _ = fmt.Fprintln(s.Out, "  "+w.logLocation())
	}
}
