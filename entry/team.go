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

// team is the leases of one attempt: the lead runs it, and each member holds a
// part of its memory.
type team struct {
	lead    *held
	members []*held
}

// all returns the leases of a team.
func (t *team) all() []*held {
	return append([]*held{t.lead}, t.members...)
}

// The measures of teams.
const (
	// teamShare is the part of an engine's memory that a part may take.
	teamShare = 0.75
	// teamTimeout bounds how long a team that is not whole is held.
	teamTimeout = 20 * time.Second
	// teamSearch bounds how long a team is gathered anew. It is above the time
	// in which nodes notice that an owner has died.
	teamSearch = 10 * time.Second
)

// partsOf returns into how many parts a job must be cut to fit, or zero when no
// number of endpoints can hold it.
func (e *Entry) partsOf(j *job) int {
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
		if float64(w.Bytes) <= teamShare*float64(memories[n-1]) {
			return n
		}
	}
	return 0
}

// gather gets the lease, or all the leases, that a job needs.
func (e *Entry) gather(ctx context.Context, s *search) (*team, *problem.Error) {
	n := e.partsOf(s.job)
	switch n {
	case 0:
		p := problem.New(problem.CodeNeverFits, http.StatusUnprocessableEntity,
			"no group of endpoints can ever hold the request")
		p.Ran = s.job.ran()
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
	return e.gatherTeam(ctx, s, n)
}

// gatherTeam gets n leases, all or nothing. The endpoints are chosen first and
// then leased in the order of their ids, so that two such requests never hold
// half of each other's; a time limit bounds what a team that does not come
// about keeps from others.
func (e *Entry) gatherTeam(ctx context.Context, s *search, n int) (*team, *problem.Error) {
	var fail *problem.Error
	until := steady.Now().Add(teamSearch)
	for try := 0; try == 0 || steady.Now().Before(until); try++ {
		if try > 0 {
			// What refused just now may have another owner in a moment.
			s.skip = nil
			pause(ctx, try)
		}
		limited, cancel := context.WithTimeout(ctx, teamTimeout)
		var t *team
		t, fail = e.gatherOnce(limited, s, n)
		cancel()
		if t != nil {
			return t, nil
		}
		if gone := e.expired(ctx, s.job); gone != nil {
			return nil, gone
		}
		if s.late > 0 {
			// The deadline can't be met any more.
			break
		}
	}
	return nil, fail
}

func (e *Entry) gatherOnce(ctx context.Context, s *search, n int) (*team, *problem.Error) {
	endpoints := e.pickTeam(s, n)
	if len(endpoints) < n {
		return nil, s.refusal()
	}
	var got []*held
	for i, id := range endpoints {
		h, fail := e.leasePart(ctx, s, id, n)
		if fail == nil && i > 0 {
			fail = e.reserve(ctx, s, h, n)
			got = append(got, h)
		} else if fail == nil {
			got = append(got, h)
		}
		if fail != nil {
			for k, h := range got {
				e.letGo(h, k > 0)
			}
			return nil, fail
		}
	}
	// The lead's lease waited for the others.
	got[0].startBy = steady.Now().Add(got[0].StartWithin)
	return &team{
		lead:    got[0],
		members: got[1:],
	}, nil
}

// letGo ends one lease of a team that did not come about.
func (e *Entry) letGo(h *held, reserved bool) {
	if reserved {
		e.cancel(h, owner.NotStarted)
		return
	}
	e.release(h, owner.NotStarted, 0)
}

// pickTeam chooses n endpoints for the parts, in the order of their ids.
func (e *Entry) pickTeam(s *search, n int) []string {
	w := s.job.work(n)
	skip := slices.Clone(s.skip)
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

// leasePart gets the lease on one endpoint of a team.
func (e *Entry) leasePart(ctx context.Context, s *search, id string, n int) (*held, *problem.Error) {
	j := s.job
	endpoint, ok := j.view.Endpoint(id)
	if !ok {
		return nil, s.refusal()
	}
	by, ok := e.parts.Members().RegionalOwner(id, j.view.Region(endpoint.FailureDomain))
	if !ok {
		return nil, s.refusal()
	}
	leaser, err := e.parts.Leaser(by)
	if err != nil {
		return nil, s.refusal()
	}
	s.leases++
	attempt := attemptID(j.id, s.leases)
	e.decided(j, attempt, by.ID, choice{
		endpoint: id,
		usable:   n,
	})
	e.Registry.hold(attempt)
	g, err := leaser.Acquire(ctx, owner.Request{
		Attempt:  attempt,
		Holder:   e.settings.Self.ID,
		Endpoint: id,
		Work:     j.work(n),
	}, nil)
	if err != nil {
		e.Registry.drop(attempt)
		e.refused(ctx, s, id, by.ID, attempt, err)
		return nil, s.refusal()
	}
	return &held{
		Grant:    g,
		attempt:  attempt,
		endpoint: id,
		leaser:   leaser,
		startBy:  steady.Now().Add(g.StartWithin),
	}, nil
}

// reserve holds the memory of one member.
func (e *Entry) reserve(ctx context.Context, s *search, h *held, n int) *problem.Error {
	w := s.job.work(n)
	err := e.parts.Endpoints.Engine(h.Address).Reserve(ctx, engine.Reservation{
		ID:     h.attempt,
		Holder: e.settings.Self.ID,
		Tokens: w.Prompt + w.Output,
	})
	if err == nil {
		return nil
	}
	e.stories.add(s.job.id, Event{
		What:     "reservation failed",
		Attempt:  h.attempt,
		Endpoint: h.endpoint,
		Reason:   err.Error(),
	})
	return s.refusal()
}

// disband ends the leases of a team whose attempt did not start.
func (e *Entry) disband(t *team, o owner.Outcome) {
	e.release(t.lead, o, 0)
	for _, m := range t.members {
		e.cancel(m, o)
	}
}

// abort ends an attempt that may run.
func (e *Entry) abort(t *team) {
	for _, h := range t.all() {
		e.cancel(h, owner.Failed)
	}
}
