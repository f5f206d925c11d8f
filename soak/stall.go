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

// Parameters of the detection of stalls.
const (
	// stallInterval is the interval between two readings of the threads' waiting times.
	stallInterval = 250 * time.Millisecond
	// stallShare is the share of an interval that a thread must have waited to count as
	// stalled. Shorter waits are well below the time limits between callers and instances.
	stallShare = 0.8
	// maxStallsReported bounds the number of stalls in the report.
	maxStallsReported = 20
)

// stall is an interval in which a runnable thread waited for a processor.
type stall struct {
	// who names the process of the thread.
	who string
	// at is the end of the interval.
	at time.Time
	// waited is how long the thread waited in the interval.
	waited time.Duration
}

// String formats the stall as one line.
func (s stall) String() string {
	return fmt.Sprintf("%s: a thread of %s waited %d ms for a processor in the last %d",
		s.at.Format("15:04:05.000"), s.who, s.waited.Milliseconds(), stallInterval.Milliseconds())
}

// watchStalls records stalls of this process and of all instances until ctx ends. They help to
// distinguish faults of the system from an overloaded host when a guarantee was violated.
func (d *Deployment) watchStalls(ctx context.Context) {
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
		d.recordStall(os.Getpid(), "the soak", before, now)
		for _, p := range d.processes {
			d.recordStall(p.pid(), p.name, before, now)
		}
	}
}

// recordStall records a stall if a thread of a process waited long enough since the previous
// reading. It updates the map before, which holds the total waiting time of each thread at the
// previous reading.
func (d *Deployment) recordStall(pid int, who string, before map[string]time.Duration, now time.Time) {
	// A process that has exited has no threads, so Glob finds nothing.
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
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalls = append(d.stalls, stall{
		who:    who,
		at:     now,
		waited: longest,
	})
}

// readWaitTime returns the total time that a thread was runnable and waited for a processor,
// which is the second field of schedstat, in ns. It returns false if the file cannot be read
// or parsed.
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

// writeStalls writes the number of stalls and the first maxStallsReported of them.
func (d *Deployment) writeStalls(out io.Writer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(out, "  %d stalls of %d ms or more\n", len(d.stalls), int(stallShare*float64(stallInterval.Milliseconds())))
	for _, s := range d.stalls[:min(len(d.stalls), maxStallsReported)] {
		_, _ = fmt.Fprintln(out, "    "+s.String())
	}
}
