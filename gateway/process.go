// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package gateway

import (
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"golang.org/x/sys/unix"
)

// processStats holds statistics of the process.
type processStats struct {
	// UptimeMS is the time since the start of the instance, in ms.
	UptimeMS int64 `json:"uptime_ms"`
	// MemoryBytes is the memory that the Go runtime holds. It doesn't include the kernel's buffers.
	MemoryBytes uint64 `json:"memory_bytes"`
	// MemoryLimitBytes is the limit of that memory; zero if there is none.
	MemoryLimitBytes int64 `json:"memory_limit_bytes"`
	// BodyBytes is the memory that the bodies of requests take.
	BodyBytes int64 `json:"body_bytes"`
	// Descriptors is the number of open file descriptors and MaxDescriptors their limit, each zero
	// if the system doesn't state it.
	Descriptors    int    `json:"descriptors"`
	MaxDescriptors uint64 `json:"max_descriptors"`
	// Processors is the number of threads that may run Go code at the same time.
	Processors int `json:"processors"`
	Goroutines int `json:"goroutines"`
	// InFlight is the number of requests being served.
	InFlight int64 `json:"in_flight"`
	// Connections is the number of open connections from callers.
	Connections int `json:"connections"`
	// Dials is the number of attempts to open a connection to an endpoint since the start.
	Dials int64 `json:"dials"`
	// FailedDials is the number of those attempts that failed. If it grows on one instance alone,
	// the fault lies between that instance and the endpoints.
	FailedDials int64 `json:"failed_dials"`
	// LinesDropped is the number of log lines dropped since the start.
	LinesDropped int64 `json:"lines_dropped"`
}

// processStats returns the current statistics of the process.
func (g *Gateway) processStats() processStats {
	return processStats{
		UptimeMS:         time.Since(g.started).Milliseconds(),
		MemoryBytes:      runtimeMemory(),
		MemoryLimitBytes: runtimeMemoryLimit(),
		BodyBytes:        g.relay.BodyBytes(),
		Descriptors:      openDescriptors(),
		MaxDescriptors:   maxDescriptors(),
		Processors:       runtime.GOMAXPROCS(0),
		Goroutines:       runtime.NumGoroutine(),
		InFlight:         g.relay.InFlight(),
		Connections:      g.callerConns.count(),
		Dials:            g.upstream.Dials(),
		FailedDials:      g.upstream.FailedDials(),
		LinesDropped:     g.droppedLines(),
	}
}

// The runtime's metrics whose difference is the memory that it holds.
const (
	metricMapped   = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
)

// runtimeMemory returns the memory that the Go runtime has obtained from the system and not returned,
// in bytes. The runtime applies its memory limit to the same amount.
func runtimeMemory() uint64 {
	samples := []metrics.Sample{
		{Name: metricMapped},
		{Name: metricReleased},
	}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// runtimeMemoryLimit returns the memory limit of the Go runtime in bytes, or zero if there is none.
func runtimeMemoryLimit() int64 {
	limit := debug.SetMemoryLimit(-1) // a negative limit changes nothing
	if limit == math.MaxInt64 {
		return 0
	}
	return limit
}

// openDescriptors returns the number of open file descriptors, or zero if the system doesn't state it.
func openDescriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(entries)
}

// maxDescriptors returns the limit of open file descriptors, or zero if the system doesn't state it.
func maxDescriptors() uint64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return limit.Cur
}
