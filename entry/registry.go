// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"context"
	"strconv"
	"sync"

	"github.com/linkmast/linkmast/owner/ownerpb"
)

// Registry holds the ids of the attempts for which this instance has requested a lease, until
// they end. Owners query it to find attempts that no instance holds any more.
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

// add adds an attempt. It is called before the lease is requested, so that the owner never
// takes the attempt for an orphan.
func (r *Registry) add(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[attempt] = struct{}{}
}

// remove removes an attempt that has ended or got no lease.
func (r *Registry) remove(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, attempt)
}

// Len returns the number of attempts held.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempts)
}

// HeldAmong returns those of the given attempts that are held.
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

// attemptID returns the id of the attempt for a request's n-th lease.
func attemptID(request string, n int) string {
	return request + "." + strconv.Itoa(n)
}
