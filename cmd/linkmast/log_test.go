// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"testing"
	"time"
)

// TestLogReaderGone guards against an instance that ends when nobody reads its log any more.
func TestLogReaderGone(t *testing.T) {
	t.Parallel()
	p := startOn(t, newHost(t, startStore(t)))
	p.wantServing()
	p.out.Close()
	p.await("requests without a log", p.servesFor(time.Second))
	p.wantStops()
}

// TestLogReaderStalled guards against an instance that doesn't stop in time, or doesn't serve, while
// nobody reads its log.
func TestLogReaderStalled(t *testing.T) {
	t.Parallel()
	h := newHost(t, startStore(t))
	p := startUnread(t, h, writeSettings(t, h.settings(t)))
	p.wantServing()
	p.await("requests beyond the capacity of the pipe", p.servesFor(2*time.Second))
	p.wantStops()
}

// servesFor returns a condition that sends a request each time, and is met after the given time without
// a failure.
func (p *program) servesFor(d time.Duration) func() bool {
	began := time.Now()
	return func() bool {
		for range 5 {
			if status := p.lookup(); status != 200 {
				p.t.Errorf("a request got status %d", status)
			}
		}
		return time.Since(began) > d
	}
}
