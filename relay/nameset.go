// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import "sync"

// maxNames bounds the size of a nameSet, as routes come and go.
const maxNames = 1024

// nameSet is a set of names that several goroutines can use. The zero value is empty. It forgets all
// names when it would exceed maxNames.
type nameSet struct {
	mu    sync.Mutex
	names map[string]struct{}
}

// add adds a name.
func (s *nameSet) add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.names[name]; ok {
		return
	}
	if s.names == nil || len(s.names) >= maxNames {
		s.names = make(map[string]struct{})
	}
	s.names[name] = struct{}{}
}

// contains reports whether a name was added.
func (s *nameSet) contains(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.names[name]
	return ok
}
