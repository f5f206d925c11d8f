// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"context"
	"strconv"
	"sync"

	"github.com/linkmast/linkmast/owner/ownerpb"
)

// Registry is the attempts that an instance holds. It answers the questions of
// owners.
type Registry struct {
	ownerpb.UnimplementedHolderServer

	mu       sync.Mutex
	attempts map[string]struct{}
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		attempts: make(map[string]struct{}),
	}
}

// add notes an attempt from before its lease is asked for.
func (r *Registry) add(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[attempt] = struct{}{}
}

// remove notes that an attempt is over.
func (r *Registry) remove(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, attempt)
}

// Len returns how many attempts are held.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempts)
}

// HeldAmong returns which of the attempts are held.
func (r *Registry) HeldAmong(attempts []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, a := range attempts {
		if _, ok := r.attempts[a]; ok {
			out = append(out, a)
		}
	}
	return out
}

// Held implements ownerpb.HolderServer.
func (r *Registry) Held(_ context.Context, in *ownerpb.HeldRequest) (*ownerpb.HeldReply, error) {
	return &ownerpb.HeldReply{
		Attempts: r.HeldAmong(in.Attempts),
	}, nil
}

// attemptID returns the id of a request's n-th attempt.
func attemptID(request string, n int) string {
	return request + "." + strconv.Itoa(n)
}
