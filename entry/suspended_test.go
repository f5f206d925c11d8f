// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/steady/steadytest"
	"github.com/linkmast/linkmast/owner"
	"github.com/linkmast/linkmast/policy"
)

// recordingLeaser is an owner.Leaser that grants every lease and records how the leases end.
type recordingLeaser struct {
	outcomes []owner.Outcome
}

// Acquire implements owner.Leaser.
func (l *recordingLeaser) Acquire(context.Context, owner.Request, func(time.Duration)) (owner.Grant, error) {
	return owner.Grant{}, nil
}

// Release implements owner.Leaser.
func (l *recordingLeaser) Release(_ context.Context, r owner.Release) error {
	l.outcomes = append(l.outcomes, r.Outcome)
	return nil
}

// newTestTeam returns a search and a team whose lease has not been used yet.
func newTestTeam(l *recordingLeaser) (*leaseSearch, *team) {
	return &leaseSearch{
			job: &job{
				deadline: steady.Now().Add(time.Hour),
			},
		}, &team{
			lead: &heldLease{
				attempt:  "a",
				endpoint: "e1",
				leaser:   l,
				startBy:  steady.Now().Add(2 * time.Second),
			},
		}
}

// TestLeaseExpiresDuringSuspension guards against the use of a lease that expired while the
// host was suspended. It must be released unused, and another attempt allowed.
func TestLeaseExpiresDuringSuspension(t *testing.T) {
	m := steadytest.New(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &recordingLeaser{}
		e := New(Settings{}, Parts{
			Log: logr.Discard(),
		})
		s, granted := newTestTeam(l)
		m.Suspend(3 * time.Second)
		again, fail := e.attempt(t.Context(), s, granted, nil)
		synctest.Wait()
		is.True(again)
		is.Equal(string(fail.Ran), "not_run")
		is.Equal(l.outcomes, []owner.Outcome{owner.NotStarted})
		is.Equal(s.job.dispatches, 0)
	})
}

// TestSummariesAfterSuspension guards against the use of summaries from before a suspension of
// the host, and against discarding those from after it.
func TestSummariesAfterSuspension(t *testing.T) {
	for _, row := range []struct {
		name      string
		suspended time.Duration
		heard     bool
		known     bool
	}{
		{"not suspended", 0, false, true},
		{"suspended, no summary since", 10 * time.Second, false, false},
		{"suspended, summary since", 10 * time.Second, true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := steadytest.New(t)
			is := is.New(t)
			e := New(Settings{}, Parts{
				Log: logr.Discard(),
			})
			e.fleet = newTestFleet(1)
			sendSummary := func() {
				e.UpdateSummaries([]policy.Summary{{
					Endpoint: "e1",
					Slots:    64,
					Free:     1 << 30,
				}})
			}
			sendSummary()
			m.Suspend(row.suspended)
			if row.heard {
				sendSummary()
			}
			e.fleet.choose("m1", &policy.Work{
				Prompt:   100,
				Deadline: steady.Now().Add(time.Minute),
			}, 0, nil, steady.Now())
			is.Equal(e.fleet.groups["m1"].candidates[0].Known, row.known)
		})
	}
}
