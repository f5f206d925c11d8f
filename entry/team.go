// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/owner"
	"github.com/linkmast/linkmast/problem"
)

// team holds the leases of one attempt. The lead runs the attempt, and each member contributes
// memory to it. Most teams have no members.
type team struct {
	lead    *heldLease
	members []*heldLease
}

// all returns the leases of a team, the lead's first.
func (t *team) all() []*heldLease {
	return append([]*heldLease{t.lead}, t.members...)
}

// Limits of teams.
const (
	// maxShareMemory is the fraction of an engine's memory that a share of a request may take.
	maxShareMemory = 0.75
	// teamTimeout bounds one try to acquire all leases of a team, during which the leases it
	// already has are unused.
	teamTimeout = 20 * time.Second
	// teamSearchTime bounds the time in which new tries start. It exceeds the time in which
	// instances detect the crash of an owner.
	teamSearchTime = 10 * time.Second
)

// shareCount returns the least number of shares into which a job must be split to fit the
// endpoints' memory, or zero if it can't fit. It returns 1 for plain services, and if the model
// has no endpoint that may be used.
func (e *Entry) shareCount(j *job) int {
	if j.model == nil {
		return 1
	}
	memories := e.fleet.memories(j.group())
	if len(memories) == 0 {
		return 1
	}
	whole := j.work(1)
	if whole.Bytes <= memories[0] {
		return 1
	}
	for n := 2; n <= len(memories); n++ {
		w := j.work(n)
		if float64(w.Bytes) <= maxShareMemory*float64(memories[n-1]) {
			return n
		}
	}
	return 0
}

// acquireLeases acquires all leases that a job needs.
func (e *Entry) acquireLeases(ctx context.Context, s *leaseSearch) (*team, *problem.Error) {
	n := e.shareCount(s.job)
	switch n {
	case 0:
		p := problem.New(problem.CodeNeverFits, http.StatusUnprocessableEntity,
			"no group of endpoints can ever hold the request")
		p.Ran = s.job.runState()
		return nil, p
	case 1:
		h, fail := e.lease(ctx, s, s.job.work(1))
		if fail != nil {
			return nil, fail
		}
		return &team{
			lead: h,
		}, nil
	}
	return e.acquireTeam(ctx, s, n)
}

// acquireTeam acquires n leases, all or nothing. It chooses all endpoints first and acquires
// their leases in the order of their ids, so that two requests do not deadlock.
func (e *Entry) acquireTeam(ctx context.Context, s *leaseSearch, n int) (*team, *problem.Error) {
	var fail *problem.Error
	until := steady.Now().Add(teamSearchTime)
	for try := 0; try == 0 || steady.Now().Before(until); try++ {
		if try > 0 {
			// An endpoint whose owner refused the lease may have a new owner by now.
			s.exclude = nil
			backOff(ctx, try)
		}
		limited, cancel := context.WithTimeout(ctx, teamTimeout)
		var t *team
		t, fail = e.tryAcquireTeam(limited, s, n)
		cancel()
		if t != nil {
			return t, nil
		}
		if gone := e.checkExpired(ctx, s.job); gone != nil {
			return nil, gone
		}
		if s.pastDeadline > 0 {
			// The deadline can't be met any more.
			break
		}
	}
	return nil, fail
}

func (e *Entry) tryAcquireTeam(ctx context.Context, s *leaseSearch, n int) (*team, *problem.Error) {
	endpoints := e.pickTeam(s, n)
	if len(endpoints) < n {
		return nil, s.refusal()
	}
	var got []*heldLease
	for i, id := range endpoints {
		h, fail := e.leaseShare(ctx, s, id, n)
		if fail == nil && i > 0 {
			fail = e.reserve(ctx, s, h, n)
			got = append(got, h)
		} else if fail == nil {
			got = append(got, h)
		}
		if fail != nil {
			for k, h := range got {
				e.abandonLease(h, k > 0)
			}
			return nil, fail
		}
	}
	// Acquiring the other leases took time, so the lead's start limit counts from now.
	got[0].startBy = steady.Now().Add(got[0].StartWithin)
	return &team{
		lead:    got[0],
		members: got[1:],
	}, nil
}

// abandonLease ends a lease of an incomplete team. Reserved states that the engine may hold a
// memory reservation for it.
func (e *Entry) abandonLease(h *heldLease, reserved bool) {
	if reserved {
		e.cancel(h, owner.NotStarted)
		return
	}
	e.release(h, owner.NotStarted, 0)
}

// pickTeam chooses up to n endpoints and returns their ids in ascending order.
func (e *Entry) pickTeam(s *leaseSearch, n int) []string {
	w := s.job.work(n)
	skip := slices.Clone(s.exclude)
	var out []string
	for range n {
		c := e.fleet.choose(s.job.group(), &w, 0, skip, steady.Now())
		if c.Index < 0 {
			break
		}
		out = append(out, c.endpoint)
		skip = append(skip, c.endpoint)
	}
	slices.SortFunc(out, cmp.Compare)
	return out
}

// leaseShare acquires the lease for one of n shares on an endpoint.
func (e *Entry) leaseShare(ctx context.Context, s *leaseSearch, id string, n int) (*heldLease, *problem.Error) {
	j := s.job
	endpoint, ok := j.view.Endpoint(id)
	if !ok {
		return nil, s.refusal()
	}
	ownerInstance, ok := e.parts.Members().RegionalOwner(id, j.view.Region(endpoint.FailureDomain))
	if !ok {
		return nil, s.refusal()
	}
	leaser, err := e.parts.Leaser(ownerInstance)
	if err != nil {
		return nil, s.refusal()
	}
	s.leases++
	attempt := attemptID(j.id, s.leases)
	e.logDecision(j, attempt, ownerInstance.ID, choice{
		endpoint: id,
		usable:   n,
	})
	e.Registry.add(attempt)
	g, err := leaser.Acquire(ctx, owner.Request{
		Attempt:  attempt,
		Holder:   e.settings.Self.ID,
		Endpoint: id,
		Work:     j.work(n),
	}, nil)
	if err != nil {
		e.Registry.remove(attempt)
		e.handleRefusal(ctx, s, id, ownerInstance.ID, attempt, err)
		return nil, s.refusal()
	}
	return &heldLease{
		Grant:    g,
		attempt:  attempt,
		endpoint: id,
		leaser:   leaser,
		startBy:  steady.Now().Add(g.StartWithin),
	}, nil
}

// reserve reserves memory for one of n shares on the engine of a lease.
func (e *Entry) reserve(ctx context.Context, s *leaseSearch, h *heldLease, n int) *problem.Error {
	w := s.job.work(n)
	err := e.parts.Endpoints.Engine(h.Address).Reserve(ctx, engine.Reservation{
		ID:     h.attempt,
		Holder: e.settings.Self.ID,
		Tokens: w.Prompt + w.Output,
	})
	if err == nil {
		return nil
	}
	e.traces.add(s.job.id, Event{
		What:     "reservation failed",
		Attempt:  h.attempt,
		Endpoint: h.endpoint,
		Reason:   err.Error(),
	})
	return s.refusal()
}

// disband ends the leases of a team whose attempt did not start, and the memory reservations of
// its members.
func (e *Entry) disband(t *team, o owner.Outcome) {
	e.release(t.lead, o, 0)
	for _, m := range t.members {
		e.cancel(m, o)
	}
}

// cancelAll cancels an attempt that may be running, on all engines of its team.
func (e *Entry) cancelAll(t *team) {
	for _, h := range t.all() {
		e.cancel(h, owner.Failed)
	}
}
