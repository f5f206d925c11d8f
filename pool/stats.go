// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/worth"
)

// Stats are the state of one pool.
type Stats struct {
	// Endpoints is how many are known.
	Endpoints int `json:"endpoints"`
	// Placed is how many attempts have a place.
	Placed int `json:"placed"`
	// Queued is how many requests wait.
	Queued int `json:"queued"`
	// Predicted counts the first events that were predicted.
	Predicted int `json:"predicted"`
	// WithinTolerance counts those that were off by a fifth of the prediction or less.
	WithinTolerance int `json:"within"`
	// Cold is how many endpoints are cold, or taken to be.
	Cold int `json:"cold"`
	// ColdPassedOver counts how often a decision found a cold endpoint that had been
	// given all that it may get.
	ColdPassedOver int64 `json:"cold_passed_over"`
	// Slow is how many endpoints are taken to work slower than their model.
	Slow int `json:"slow"`
	// PaceAsked counts the questions to endpoints for their pace, and PaceChanges how
	// often one was taken to change.
	PaceAsked   int `json:"pace_asked"`
	PaceChanges int `json:"pace_changes"`
	// Cut counts the attempts that their callers or their engines cut, Returned those of
	// them that came back within a second, and Crowds how often many did at once.
	Cut             int `json:"cut"`
	Returned        int `json:"returned"`
	ReconnectBursts int `json:"crowds"`
	// Suspected counts the suspicions of entries, Agreed the endpoints that were left out by
	// them, Moved the attempts that were told to move, Checked the checks of endpoints, and
	// Absent those that failed and had the endpoint left out.
	Suspected int `json:"suspected"`
	Confirmed int `json:"agreed"`
	Migrated  int `json:"moved"`
	Checked   int `json:"checked"`
	Absent    int `json:"absent"`
	// Limited is how many endpoints name a rate limit, PassedOver counts those that were passed
	// over as requests were placed, as they backed off or were at their limits, and Unavailable the
	// requests that were refused as no endpoint took any.
	Limited     int   `json:"limited"`
	PassedOver  int64 `json:"passed_over"`
	Unavailable int64 `json:"unavailable"`
	// Routes tells what is usual for each route that had requests, and its worth.
	Routes map[string]worth.TypicalRequest `json:"routes,omitempty"`
}

// Stats returns the state of all pools by service.
func (s *Scheduler) Stats() map[string]Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Stats, len(s.pools))
	for name, p := range s.pools {
		out[name] = Stats{
			Endpoints:       len(p.list),
			Placed:          len(p.attempts),
			Queued:          len(p.queue),
			Predicted:       p.predictions.count,
			WithinTolerance: p.predictions.within,
			Slow:            p.countSlow(),
			PaceAsked:       p.slowdowns.queries,
			PaceChanges:     p.slowdowns.changes,
			Cold:            p.cold.count(s.settings.Now()),
			ColdPassedOver:  p.cold.passedOver,
			Cut:             p.reconnects.cuts,
			Returned:        p.reconnects.returned,
			ReconnectBursts: p.reconnects.bursts,
			Suspected:       p.suspicion.suspected,
			Confirmed:       p.suspicion.agreed,
			Migrated:        p.suspicion.moved,
			Checked:         p.checks.checked,
			Absent:          p.checks.failed,
			Limited:         p.countRateLimited(),
			PassedOver:      p.passedOver,
			Unavailable:     p.unavailable,
			Routes:          p.worth.TypicalRequests(),
		}
	}
	return out
}

// predictionStats are how far predictions were off.
type predictionStats struct {
	count int
	// within counts predictions that were met.
	within int
}

// predictionTolerance is the relative error up to which a prediction counts as met: one that
// is off by more may change a decision.
const predictionTolerance = 0.2

// add counts a prediction.
func (s *predictionStats) add(predicted, actual time.Duration) {
	s.count++
	off := (actual - predicted).Abs()
	if float64(off) <= predictionTolerance*float64(predicted) {
		s.within++
	}
}
