// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package jsonlog writes log lines without blocking the goroutines that log.
//
// Lines pass through a queue of bounded length and size to one writing goroutine. If the queue is full or the
// rate limit is exceeded, the line is dropped and counted. The writer reports the number of
// dropped lines in a line of its own before the next line that it writes.
package jsonlog

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limits of a Writer.
const (
	// queueLines is the capacity of the queue in lines.
	queueLines = 2048
	// queueBytes bounds the size of the lines that are queued or being written.
	queueBytes = 4 << 20
	// linesPerSecond is the rate limit.
	linesPerSecond = 1000
	// burstLines is the burst size of the rate limit.
	burstLines = 2000
	// drainTimeout bounds how long Close waits for the output.
	drainTimeout = 300 * time.Millisecond
)

// Writer is an io.Writer that takes one log line per call and never blocks.
type Writer struct {
	// Done is closed after the writing goroutine has stopped.
	Done chan struct{}

	queue chan []byte
	// queued is the size of the lines that are queued or being written.
	queued atomic.Int64
	// stop is closed to end the writing goroutine.
	stop  chan struct{}
	limit *rate.Limiter
	// dropped counts the lines that were dropped, and reported those of them that the output
	// already mentions.
	dropped  atomic.Int64
	reported int64
}

// New returns a Writer that writes to w. The caller must call Close to stop its goroutine.
func New(w io.Writer) *Writer {
	j := &Writer{
		Done:  make(chan struct{}),
		queue: make(chan []byte, queueLines),
		stop:  make(chan struct{}),
		limit: rate.NewLimiter(linesPerSecond, burstLines),
	}
	go j.run(w)
	return j
}

// Write implements io.Writer. It copies and queues one line, or drops it, and never fails.
func (j *Writer) Write(line []byte) (int, error) {
	size := int64(len(line))
	if !j.limit.Allow() {
		j.dropped.Add(1)
		return len(line), nil
	}
	if j.queued.Add(size) > queueBytes {
		j.queued.Add(-size)
		j.dropped.Add(1)
		return len(line), nil
	}
	select {
	case j.queue <- bytes.Clone(line):
	default:
		j.queued.Add(-size)
		j.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far.
func (j *Writer) Dropped() int64 {
	return j.dropped.Load()
}

// Close writes the queued lines and stops the writing goroutine. If the output hangs, Close returns after a
// short time and the goroutine stops later. Close must be called once; lines that are written after it
// are lost.
func (j *Writer) Close() {
	close(j.stop)
	select {
	case <-j.Done:
	case <-time.After(drainTimeout):
	}
}

// run writes queued lines until Close is called.
func (j *Writer) run(w io.Writer) {
	defer close(j.Done)
	for {
		select {
		case line := <-j.queue:
			j.writeLine(w, line)
		case <-j.stop:
			j.drain(w)
			return
		}
	}
}

// drain writes the lines that are still queued.
func (j *Writer) drain(w io.Writer) {
	for {
		select {
		case line := <-j.queue:
			j.writeLine(w, line)
		default:
			return
		}
	}
}

// writeLine writes one line, preceded by the number of lines dropped since the last such
// message, if any.
func (j *Writer) writeLine(w io.Writer, line []byte) {
	defer j.queued.Add(-int64(len(line)))
	if n := j.dropped.Load(); n > j.reported {
		// A failure to write the log cannot be logged, so the error is ignored.
		_, _ = fmt.Fprintf(w, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n",
			time.Now().Format(time.RFC3339Nano), n-j.reported)
		j.reported = n
	}
	_, _ = w.Write(line)
}
