// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Settings configures a run.
type Settings struct {
	// Program is the path of the instance program.
	Program string
	// Seed determines the schedule and the load. With an odd seed, instances also run with
	// strict revocation of keys.
	Seed uint64
	// Length is the length of the period in which faults begin.
	Length time.Duration
	// Statements adds faults that make endpoints announce rate limits, back-offs or their
	// leaving in responses.
	Statements bool
	// Partitions adds faults that cut instances from all endpoints, and restorations of the store
	// from a copy.
	Partitions bool
	// Truncations adds faults that make answers of endpoints end early or without framing.
	Truncations bool
	// Retries narrows the retry budget, and adds faults that cause many retries while instances
	// stop in quick succession.
	Retries bool
	// Parts makes callers name the parts of their prompts, and adds faults in which one of these
	// crashes engines.
	Parts bool
	// Starts adds faults of the host while instances start and run: signals, addresses in use, settings
	// that are being written and readers of logs that end. It also adds malformed entries in the store, and
	// answers whose heads are cut off.
	Starts bool
	// Processes is the number of instances.
	Processes int
	// Out receives the schedule and the result.
	Out io.Writer
}

// strict reports whether instances out of touch with the store must refuse revoked keys in
// time, too. This is a setting of the operator; runs with odd seeds enable it.
func (s *Settings) strict() bool {
	return s.Seed%2 == 1
}

// budget returns the retry budget of the instances.
func (s *Settings) budget() retryBudget {
	if s.Retries {
		return narrowBudget
	}
	return wideBudget
}

// Time limits of a run.
const (
	// startWithin bounds the time until all instances are ready after the start.
	startWithin = 10 * time.Second
	// readyPollInterval is the pause between checks whether all instances are ready.
	readyPollInterval = 50 * time.Millisecond
	// recoverWithin is the time that the system has to recover after the last fault, and
	// recoverFor how long the load continues after that time.
	recoverWithin = 8 * time.Second
	recoverFor    = 2 * time.Second
	// settleFor is the time after the end of the load in which endpoints may still run
	// requests or hold reservations.
	settleFor = 4500 * time.Millisecond
)

// Run plays one schedule and returns the violations of guarantees. The error is that of ctx if ctx
// ended after all instances were ready. Any other error means that the run could not be prepared
// or cleaned up.
func Run(ctx context.Context, s Settings) ([]Violation, error) {
	d, err := newDeployment(s.Program, s.Processes, s.strict(), s.budget())
	if err != nil {
		return nil, err
	}
	defer d.close()
	d.namesParts = s.Parts
	if err := d.awaitReady(ctx); err != nil {
		return nil, err
	}
	history, final := d.loadAndPlay(ctx, s)
	broken := slices.Concat(d.check(history), d.checkStandins())
	if final == nil {
		broken = append(broken, checkRecovery(history, d.recovered, time.Now())...)
	} else {
		broken = append(broken, checkRecovery(history, d.recovered, final.from)...)
		broken = append(broken, final.check(history)...)
	}
	d.report(s, history, broken)
	if len(broken) == 0 {
		// The instances' logs are kept only if a guarantee was violated.
		if err := os.RemoveAll(d.dir); err != nil {
			return nil, errors.Wrap(err, "remove directory of the run")
		}
	}
	return broken, ctx.Err()
}

// loadAndPlay plays the schedule under load, waits until the load has ended and for settleFor
// after it, and returns the exchanges of the callers. With Settings.Partitions it also returns the
// partition at the end.
func (d *Deployment) loadAndPlay(ctx context.Context, s Settings) ([]Exchange, *finalPartition) {
	c := &callers{
		deployment: d,
	}
	load, stop := context.WithCancel(ctx)
	defer stop()
	watch, unwatch := context.WithCancel(ctx)
	var loading, watching sync.WaitGroup
	watching.Go(func() { d.watchStalls(watch) })
	defer watching.Wait()
	defer unwatch()
	loading.Go(func() { c.run(load, s.Seed) })
	schedule := Draw(s.Seed, s.Length, s.Processes)
	if s.Statements {
		schedule = merge(schedule, DrawStatements(s.Seed, s.Length))
	}
	if s.Partitions {
		schedule = merge(schedule, DrawPartitions(s.Seed, s.Length, s.Processes))
	}
	if s.Retries {
		schedule = merge(schedule, DrawRetries(s.Seed, s.Length, s.Processes))
	}
	if s.Parts {
		schedule = merge(schedule, DrawParts(s.Seed, s.Length))
	}
	if s.Truncations {
		schedule = merge(schedule, DrawTruncations(s.Seed, s.Length))
	}
	if s.Starts {
		schedule = merge(schedule, DrawStarts(s.Seed, s.Length, s.Processes))
	}
	d.play(ctx, schedule, func(f Fault) { _, _ = fmt.Fprintln(s.Out, f) })
	wait(ctx, recoverWithin)
	d.recovered = time.Now()
	wait(ctx, recoverFor)
	var final *finalPartition
	if s.Partitions {
		final = d.cutOne(ctx, s.Seed)
	}
	stop()
	loading.Wait()
	wait(ctx, settleFor)
	return append(c.all(), d.crashExchanges()...), final
}

// wait sleeps for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// awaitReady waits until all instances are ready, for at most startWithin.
func (d *Deployment) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(startWithin); time.Now().Before(end); wait(ctx, readyPollInterval) {
		if d.readyCount() == len(d.processes) {
			return nil
		}
	}
	return errors.Errorf("instances are not ready after %s; %s", startWithin, d.logLocation())
}

// report writes the numbers of requests, of responses by status, and of violations. If there are
// violations, it also writes their details, the stalls and the location of the logs.
func (d *Deployment) report(s Settings, history []Exchange, broken []Violation) {
	status := make(map[int]int)
	for _, x := range history {
		status[x.Status]++
	}
	_, _ = fmt.Fprintf(s.Out, "seed %d: %d requests, answers by status %v, %d broken promises\n",
		s.Seed, len(history), status, len(broken))
	for _, p := range d.retryPeaks(history) {
		_, _ = fmt.Fprintln(s.Out, "  "+p.String())
	}
	for _, v := range broken {
		_, _ = fmt.Fprintln(s.Out, "  "+v.String())
	}
	if len(broken) > 0 {
		d.writeStalls(s.Out)
		_, _ = fmt.Fprintln(s.Out, "  "+d.logLocation())
	}
}
