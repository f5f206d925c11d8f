// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// The measures of looking for stalls.
const (
	// stallInterval is how often it is looked how long threads had to wait for a processor.
	stallInterval = 250 * time.Millisecond
	// stallShare is from which part of that time on a thread of a process counts as stalled:
	// what callers and instances wait for each other is hundreds of ms at the least.
	stallShare = 0.8
	// maxStallsReported bounds the stalls that are written.
	maxStallsReported = 20
)

// stall is a time in which a thread that was ready to run got no processor.
type stall struct {
	who    string
	at     time.Time
	waited time.Duration
}

// String returns the stall in a line.
func (s stall) String() string {
	return fmt.Sprintf("%s: a thread of %s waited %d ms for a processor in the last %d",
		s.at.Format("15:04:05.000"), s.who, s.waited.Milliseconds(), stallInterval.Milliseconds())
}

// watchStalls notes stalls of the soak's own process and of all instances until ctx ends. With
// them a promise that was broken can be told from one that the machine had no time to keep.
func (w *World) watchStalls(ctx context.Context) {
	before := make(map[string]time.Duration)
	tick := time.NewTicker(stallInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		w.recordStall(os.Getpid(), "the soak", before, now)
		for _, p := range w.processes {
			w.recordStall(p.pid(), p.name, before, now)
		}
	}
}

// recordStall notes the longest wait of a process's threads since the last look, if it is a stall.
// Before is how long each thread had waited then.
func (w *World) recordStall(pid int, who string, before map[string]time.Duration, now time.Time) {
	// A process that has ended has no threads.
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return
	}
	longest := time.Duration(0)
	for _, path := range threads {
		waited, ok := readWaitTime(path)
		if last, known := before[path]; ok && known {
			longest = max(longest, waited-last)
		}
		before[path] = waited
	}
	if longest < time.Duration(stallShare*float64(stallInterval)) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stalls = append(w.stalls, stall{
		who:    who,
		at:     now,
		waited: longest,
	})
}

// readWaitTime reads how long a thread has waited for a processor, ready to run: the second number
// of schedstat, in ns.
func readWaitTime(path string) (time.Duration, bool) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, false
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, false
	}
	ns, err := strconv.ParseInt(fields[1], 10, 64)
	return time.Duration(ns), err == nil
}

// writeStalls writes the stalls of a run that broke a promise.
func (w *World) writeStalls(out io.Writer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(out, "  %d stalls of %d ms or more\n", len(w.stalls), int(stallShare*float64(stallInterval.Milliseconds())))
	for _, s := range w.stalls[:min(len(w.stalls), maxStallsReported)] {
		_, _ = fmt.Fprintln(out, "    "+s.String())
	}
}
