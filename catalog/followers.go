// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import "sync"

// followers are the instances that follow this one. The zero value has none.
type followers struct {
	mu sync.Mutex
	// streams counts the streams of each instance: one that comes again may be
	// there before its old stream has ended.
	streams map[string]int
}

// enter adds a stream of an instance, and returns false when more than a limit of
// instances would follow. Each call needs one of leave.
func (f *followers) enter(id string, limit int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.streams == nil {
		f.streams = make(map[string]int)
	}
	f.streams[id]++
	return len(f.streams) <= limit
}

// leave takes a stream of an instance off.
func (f *followers) leave(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams[id]--
	if f.streams[id] == 0 {
		delete(f.streams, id)
	}
}

// count returns how many instances follow.
func (f *followers) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.streams)
}

// has states whether an instance follows.
func (f *followers) has(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.streams[id] > 0
}
