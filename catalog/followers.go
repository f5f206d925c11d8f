// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import "sync"

// followers counts the instances that follow this one. The zero value has none.
type followers struct {
	mu sync.Mutex
	// streams counts the open streams by instance ID. A reconnecting instance may open a new
	// stream before its old one has ended.
	streams map[string]int
}

// enter adds a stream of an instance. It returns false if more instances than the limit follow
// now. Each call of enter, whatever it returns, needs a call of leave.
func (f *followers) enter(id string, limit int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.streams == nil {
		f.streams = make(map[string]int)
	}
	f.streams[id]++
	return len(f.streams) <= limit
}

// leave removes a stream of an instance.
func (f *followers) leave(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams[id]--
	if f.streams[id] == 0 {
		delete(f.streams, id)
	}
}

// count returns the number of followers.
func (f *followers) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.streams)
}

// has reports whether an instance follows this one.
func (f *followers) has(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.streams[id] > 0
}
