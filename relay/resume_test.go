// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/route"
)

// TestResumes guards against a wrong due time for the next event of a resumed stream.
func TestResumes(t *testing.T) {
	for _, row := range []struct {
		name string
		// had is the id of the last event that the caller received from another instance; empty
		// if none. got states that this instance sent it an event 100 ms ago. gap is the route's
		// gap target.
		had     string
		got     bool
		gap     time.Duration
		resumes bool
		due     time.Duration
	}{
		{"no event", "", false, 250 * time.Millisecond, false, 0},
		{"resumed from another instance", "12", false, 250 * time.Millisecond, true, 50 * time.Millisecond},
		{"interrupted here", "", true, 250 * time.Millisecond, true, 150 * time.Millisecond},
		{"resumed and interrupted here", "12", true, 250 * time.Millisecond, true, 150 * time.Millisecond},
		{"no gap target", "", true, 0, false, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				j := &job{
					route: &route.Route{
						GapTarget: row.gap,
					},
					arrived: time.Now(),
					out: &answer{
						progress: streamProgress{
							last: row.had,
						},
					},
				}
				time.Sleep(100 * time.Millisecond)
				if row.got {
					recordEvents(&j.out.progress, "id: 13\n\n")
				}
				time.Sleep(100 * time.Millisecond)
				resumes, due := j.resumes()
				is.Equal(resumes, row.resumes)
				is.Equal(due, row.due)
			})
		})
	}
}

// TestReplacementDueIn guards against a placement request that lacks the due time of a silent
// stream's next event, or that has a due time although no event has arrived yet.
func TestReplacementDueIn(t *testing.T) {
	for _, row := range []struct {
		name  string
		begun bool
		due   time.Duration
	}{
		{"begun", true, 200*time.Millisecond - 1300*time.Millisecond},
		{"not begun", false, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				k := &refusingPlacer{
					err: errors.New("none"),
				}
				w := newTestWatch(t, k)
				if row.begun {
					w.recordActivity()
				}
				time.Sleep(5 * time.Second)
				w.end()
				is.True(len(k.requests) > 0)
				is.Equal(k.requests[0].Resumed, row.begun)
				is.Equal(k.requests[0].DueIn, row.due)
			})
		})
	}
}
