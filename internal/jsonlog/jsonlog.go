// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package jsonlog writes log lines without ever making their writer wait.
//
// Lines go through a bounded queue to one goroutine. A line that finds the queue
// full, or the allowance of lines a second spent, is dropped and counted, and
// the count is written as a line of its own as soon as there is room.
package jsonlog

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// The measures of a Writer. A line is some 400 bytes, so that the queue takes at
// most about 1 MB and the output 400 KB a second.
const (
	// queueLines is how many lines wait to be written at the most.
	queueLines = 2048
	// linesPerSecond is the allowance.
	linesPerSecond = 1000
	// burstLines is how much of the allowance can be saved up.
	burstLines = 2000
)

// Writer is an io.Writer of lines that never blocks.
type Writer struct {
	// Done is closed when the writer has stopped.
	Done chan struct{}

	queue chan []byte
	// stop is closed when the writer is to end.
	stop  chan struct{}
	limit *rate.Limiter
	// dropped counts the lines that were dropped, and told those of them that
	// the output was told of.
	dropped  atomic.Int64
	reported int64
}

// New returns a writer to w. Close ends it.
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

// Write implements io.Writer. It takes one line and never fails.
func (j *Writer) Write(line []byte) (int, error) {
	if !j.limit.Allow() {
		j.dropped.Add(1)
		return len(line), nil
	}
	select {
	case j.queue <- bytes.Clone(line):
	default:
		j.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (j *Writer) Dropped() int64 {
	return j.dropped.Load()
}

// Close writes what is queued and ends the writer. It must be called once; lines
// written later are lost.
func (j *Writer) Close() {
	close(j.stop)
	<-j.Done
}

// run writes lines until the writer is closed.
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

// drain writes the lines that wait.
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

// writeLine writes one line, and before it how many were dropped since the last.
func (j *Writer) writeLine(w io.Writer, line []byte) {
	if n := j.dropped.Load(); n > j.reported {
		// There is nowhere to tell of a log that can't be written.
		_, _ = fmt.Fprintf(w, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n",
			time.Now().Format(time.RFC3339Nano), n-j.reported)
		j.reported = n
	}
	_, _ = w.Write(line)
}
