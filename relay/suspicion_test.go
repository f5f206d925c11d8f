// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/route"
)

// recordingMonitor is a pool.SilenceMonitor that records reports and the callback for
// migrations.
type recordingMonitor struct {
	at      []time.Time
	silence []time.Duration
	migrate func()
}

// ReportSilence implements pool.SilenceMonitor.
func (s *recordingMonitor) ReportSilence(_, _ string, silence time.Duration) {
	s.at = append(s.at, time.Now())
	s.silence = append(s.silence, silence)
}

// OnMigrate implements pool.SilenceMonitor.
func (s *recordingMonitor) OnMigrate(_ string, move func()) func() {
	s.migrate = move
	return func() { s.migrate = nil }
}

// newMonitoredWatch returns the watch of a stream with a gap target of one second, and a
// context that ends when the watch cancels the attempt.
func newMonitoredWatch(t *testing.T, placer pool.Placer, s *recordingMonitor) (*watch, context.Context) {
	l := &Relay{
		Metrics: newMetrics(),
		parts: Parts{
			Placer:     placer,
			Suspicions: s,
			Log:        logr.Discard(),
		},
	}
	a := &attempt{
		relay: l,
		job: &job{
			route: &route.Route{
				Kind:        route.Streaming,
				Resumable:   true,
				MaxAttempts: 2,
				Target:      1500 * time.Millisecond,
				GapTarget:   time.Second,
			},
			arrived: time.Now(),
		},
		request: pool.PlacementRequest{
			ID: "attempt",
		},
		grant: pool.Grant{
			Instance:     "e0",
			FirstEventIn: time.Second,
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	return a.watch(t.Context(), cancel), ctx
}

// TestReportSilence guards against silences that are reported too early, too late or only once:
// the first report is due after four usual pauses, but at least 200 ms, and none before the
// first event.
func TestReportSilence(t *testing.T) {
	for _, row := range []struct {
		name   string
		pause  time.Duration
		events int
		first  time.Duration
	}{
		{"quick stream", 20 * time.Millisecond, 10, 200 * time.Millisecond},
		{"slow stream", 100 * time.Millisecond, 10, 400 * time.Millisecond},
		{"no event", 0, 0, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &recordingMonitor{}
				w, _ := newMonitoredWatch(t, &refusingPlacer{err: errors.New("none")}, s)
				for range row.events {
					time.Sleep(row.pause)
					w.recordActivity()
				}
				last := time.Now()
				time.Sleep(time.Second)
				synctest.Wait()
				if row.events == 0 {
					is.Equal(len(s.at), 0)
					w.end()
					return
				}
				is.True(len(s.at) >= 3)
				is.Equal(s.at[0].Sub(last), row.first)
				is.Equal(s.silence[0], row.first)
				is.Equal(s.at[1].Sub(s.at[0]), pool.MinSuspectSilence)
				w.recordActivity()
				n := len(s.at)
				time.Sleep(row.first - time.Millisecond)
				synctest.Wait()
				is.Equal(len(s.at), n)
				w.end()
				time.Sleep(time.Second)
				is.Equal(len(s.at), n)
			})
		})
	}
}

// grantingPlacer grants each placement request.
type grantingPlacer struct {
	refusingPlacer
}

// Place implements pool.Placer.
func (f *grantingPlacer) Place(_ context.Context, a pool.PlacementRequest) (pool.Grant, error) {
	f.requests = append(f.requests, a)
	return pool.Grant{
		Instance: "e1",
	}, nil
}

// TestMigrate guards against a migration that ends a stream without another placement, or that
// keeps an attempt without events.
func TestMigrate(t *testing.T) {
	for _, row := range []struct {
		name  string
		begun bool
		found bool
		// ends states that the attempt must end at once, and next that another placement must be
		// found for it.
		ends bool
		next bool
	}{
		{"stream, placement found", true, true, true, true},
		{"stream, no placement", true, false, false, false},
		{"no event", false, true, true, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var placer pool.Placer = &refusingPlacer{err: errors.New("none")}
				if row.found {
					placer = &grantingPlacer{}
				}
				s := &recordingMonitor{}
				w, ctx := newMonitoredWatch(t, placer, s)
				if row.begun {
					w.recordActivity()
				}
				time.Sleep(50 * time.Millisecond)
				s.migrate()
				is.Equal(ctx.Err() != nil, row.ends)
				is.Equal(w.expired(), row.ends)
				next := w.end()
				is.Equal(next != nil, row.next)
				is.True(s.migrate == nil) // the subscription has ended
			})
		})
	}
}
