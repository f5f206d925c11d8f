// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"time"

	"github.com/linkmast/linkmast/worth"
)

// Stats is the state of one pool and the counts since the scheduler was created.
type Stats struct {
	// Endpoints is the number of known endpoints.
	Endpoints int `json:"endpoints"`
	// Placed is the number of running attempts.
	Placed int `json:"placed"`
	// Queued is the number of waiting requests.
	Queued int `json:"queued"`
	// Predicted counts the first events. Their predicted time is 0 in a pool without engines.
	Predicted int `json:"predicted"`
	// WithinTolerance counts the first events whose time was off by at most a fifth of the
	// predicted time.
	WithinTolerance int `json:"within"`
	// FirstSends and Retries count the sends in the present window of the instances on whose
	// requests this one decides, and RetryLimit is the number of retries that these may send.
	// RetriesAllowed and RetriesRefused count this instance's decisions on retries.
	FirstSends     int     `json:"first_sends"`
	Retries        int     `json:"retries"`
	RetryLimit     float64 `json:"retry_limit"`
	RetriesAllowed int     `json:"retries_allowed"`
	RetriesRefused int     `json:"retries_refused"`
	// Cold is the number of endpoints that are cold or assumed to be.
	Cold int `json:"cold"`
	// ColdPassedOver counts the times at which a placement skipped a cold endpoint because it was
	// at its limit.
	ColdPassedOver int64 `json:"cold_passed_over"`
	// Slow is the number of endpoints that work more slowly than their model.
	Slow int `json:"slow"`
	// PaceAsked counts the queries for an endpoint's slowdown, and PaceChanges the changes of an
	// endpoint's slowdown.
	PaceAsked   int `json:"pace_asked"`
	PaceChanges int `json:"pace_changes"`
	// Interrupted counts the attempts with a known prompt length that failed, were abandoned or were
	// lost with a session. Returned counts those of them whose callers came back within a second, and
	// ReconnectBursts the reconnect bursts.
	Interrupted     int `json:"cut"`
	Returned        int `json:"returned"`
	ReconnectBursts int `json:"crowds"`
	// Suspected counts the reports of silent attempts, Confirmed the endpoints excluded because
	// their attempts were silent, and Migrated the attempts ordered to migrate. Checked counts the
	// checks of endpoints, and Absent the endpoints excluded by a check of the whole pool.
	Suspected int `json:"suspected"`
	Confirmed int `json:"agreed"`
	Migrated  int `json:"moved"`
	Checked   int `json:"checked"`
	Absent    int `json:"absent"`
	// Limited is the number of endpoints that announce a rate limit. PassedOver counts the
	// endpoints that placements skipped because of a back-off or a rate limit. Unavailable counts
	// the requests refused because no endpoint was usable soon enough, due to departures, back-offs
	// or rate limits.
	Limited     int   `json:"limited"`
	PassedOver  int64 `json:"passed_over"`
	Unavailable int64 `json:"unavailable"`
	// Routes has the typical request and its worth, by route.
	Routes map[string]worth.TypicalRequest `json:"routes,omitempty"`
}

// Stats returns the state of each pool by service.
func (s *Scheduler) Stats() map[string]Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Stats, len(s.pools))
	for name, p := range s.pools {
		retries := p.retries.use(&s.processes, s.settings.Now())
		out[name] = Stats{
			Endpoints:       len(p.list),
			Placed:          len(p.attempts),
			Queued:          len(p.queue),
			Predicted:       p.predictions.count,
			WithinTolerance: p.predictions.within,
			FirstSends:      retries.own.first,
			Retries:         retries.own.retries,
			RetryLimit:      retries.limit(p.retries.budget),
			RetriesAllowed:  p.retriesAllowed,
			RetriesRefused:  p.retriesRefused,
			Slow:            p.countSlow(),
			PaceAsked:       p.slowdowns.queries,
			PaceChanges:     p.slowdowns.changes,
			Cold:            p.cold.count(s.settings.Now()),
			ColdPassedOver:  p.cold.passedOver,
			Interrupted:     p.reconnects.interruptions,
			Returned:        p.reconnects.returned,
			ReconnectBursts: p.reconnects.bursts,
			Suspected:       p.suspicion.reports,
			Confirmed:       p.suspicion.excluded,
			Migrated:        p.suspicion.migrated,
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

// predictionStats counts how well first events were predicted.
type predictionStats struct {
	count int
	// within counts the predictions within predictionTolerance.
	within int
}

// predictionTolerance is the accepted error relative to the prediction.
const predictionTolerance = 0.2

// add counts a prediction.
func (s *predictionStats) add(predicted, actual time.Duration) {
	s.count++
	off := (actual - predicted).Abs()
	if float64(off) <= predictionTolerance*float64(predicted) {
		s.within++
	}
}
