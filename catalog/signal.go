// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"sync"
	"sync/atomic"
)

// signal is a broadcast that can fire repeatedly.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// newSignal returns a signal that has not fired.
func newSignal() *signal {
	return &signal{
		ch: make(chan struct{}),
	}
}

// fire closes the channel that next has returned, and thereby triggers the watching functions.
func (s *signal) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}

// next returns a channel that is closed the next time the signal fires.
func (s *signal) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

// watch calls f the next time the signal fires, unless stop is called before. fired reports
// whether f has been called. stop must be called exactly once.
func (s *signal) watch(f func()) (fired func() bool, stop func()) {
	ch := s.next()
	done := make(chan struct{})
	var called atomic.Bool
	go func() {
		select {
		case <-ch:
			called.Store(true)
			f()
		case <-done:
		}
	}()
	return called.Load, func() { close(done) }
}
