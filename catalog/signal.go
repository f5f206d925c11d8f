// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"sync"
	"sync/atomic"
)

// signal wakes or ends what watches it.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// newSignal returns a kick that nothing watches.
func newSignal() *signal {
	return &signal{
		ch: make(chan struct{}),
	}
}

// fire ends all that watch now.
func (k *signal) fire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.ch)
	k.ch = make(chan struct{})
}

// next returns a channel that is closed at the next fire.
func (k *signal) next() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ch
}

// watch calls f at the next fire, until it is stopped. Fired states whether it
// was called.
func (k *signal) watch(f func()) (fired func() bool, stop func()) {
	ch := k.next()
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
