// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/placement"
)

// SlowdownQuerier queries engines for their slowdown: the factor by which they take longer than
// their model predicts.
type SlowdownQuerier interface {
	// QuerySlowdown queries the engine at an address without waiting for the answer. It calls
	// report once with the slowdown, or never if the engine doesn't answer.
	QuerySlowdown(address string, report func(slowdown float64))
}

// SlowdownMode selects how the slowdown of engines is determined.
type SlowdownMode int

// The slowdown modes.
const (
	// SlowdownQueriedOrEstimated queries engines whose first events deviate from the
	// prediction. From events it estimates the slowdown of engines that don't answer or must not
	// be queried.
	SlowdownQueriedOrEstimated SlowdownMode = iota
	// SlowdownEstimated estimates the slowdown from events and queries no engines.
	SlowdownEstimated
	// SlowdownQueried queries engines, and estimates nothing if they don't answer.
	SlowdownQueried
	// SlowdownIgnored assumes that all engines work at the speed of their model.
	SlowdownIgnored
)

// Parameters for noticing that a slowdown may have changed.
const (
	// The slowdown of an engine becomes unsure if the time of a first event deviates from the
	// prediction by more than minDeviation and by more than minDeviationShare of the predicted
	// time.
	minDeviation      = 30 * time.Millisecond
	minDeviationShare = 0.35
	// It also becomes unsure while a first event is overdue by at least minOverdue and by at least
	// minOverdueShare of the predicted time.
	minOverdue      = 100 * time.Millisecond
	minOverdueShare = 0.6
	// commonDelayWindow is how long the latest first event of an engine counts for the common
	// delay. commonDelayMinEngines is how many engines are needed, and 1/commonDelayRank is the
	// quantile of their lateness that is taken.
	commonDelayWindow     = time.Second
	commonDelayMinEngines = 2
	commonDelayRank       = 4
	// slowdownUpdateInterval is the least time between two updates of the slowdowns.
	slowdownUpdateInterval = 25 * time.Millisecond
)

// Parameters of queries.
const (
	// unsureQueryInterval is the least time between two queries of an engine whose slowdown is
	// unsure. Its reports lag by some hundred milliseconds.
	unsureQueryInterval = 200 * time.Millisecond
	// slowQueryInterval is the interval at which a slow engine is queried to notice its
	// recovery.
	slowQueryInterval = 400 * time.Millisecond
	// maxUnanswered is how many queries in a row may be unanswered before the slowdown is
	// estimated from events.
	maxUnanswered = 2
	// unsurePerReport is how many other engines become unsure when one reports a changed slowdown.
	// Each of these that reports a change in turn makes as many unsure. Few engines are thus
	// queried if only one is slow, and soon all of them if many are.
	unsurePerReport = 64
	// maxQueriesPerUpdate bounds the queries of one update.
	maxQueriesPerUpdate = 64
	// decidingWindow is how long an instance counts as deciding after its last placement:
	// longer than the prefill of a long prompt takes.
	decidingWindow = 10 * time.Second
)

// Parameters for estimating the slowdown from events.
const (
	// slowdownSamples is how many samples an estimate takes.
	slowdownSamples = 3
	// slowdownSampleWindow is the greatest age of the oldest of them.
	slowdownSampleWindow = 1500 * time.Millisecond
	// minPrediction is the predicted time that an event must exceed to become a sample. Below
	// it the network has more influence than the engine.
	minPrediction = 20 * time.Millisecond
	// slowThreshold is the least estimate at which an engine starts to count as slow. Below
	// normalThreshold it no longer counts as slow.
	slowThreshold   = 1.3
	normalThreshold = 1.15
	// estimateLifetime is how long an estimate holds without new samples. Its excess over 1 is
	// then halved, so that the engine gets requests again.
	estimateLifetime = 2 * time.Second
	// minSlowdownChange is the least relative change at which a new slowdown is applied.
	minSlowdownChange = 0.08
	// maxSlowdown bounds the slowdown, so that an engine that stalled once isn't avoided forever.
	maxSlowdown = 30
)

// slowdowns tracks the slowdown of the engines of a pool. The zero value is ready for use.
type slowdowns struct {
	// records holds the records by name of the engine.
	records map[string]*slowdownRecord
	// decidedAt is when this instance last placed a request, and fallback is set if it reached no
	// owner then and decided by itself.
	decidedAt time.Time
	fallback  bool
	// updatedAt is when the slowdowns were last updated.
	updatedAt time.Time
	// queries counts the queries of engines, and changes the changes of a slowdown that were
	// applied.
	queries int
	changes int
	// nextUnsure is the position in the pool's list, modulo its length, of the next engine to
	// become unsure when another one reports a change.
	nextUnsure int
}

// slowdownRecord is what is known about the slowdown of one engine.
type slowdownRecord struct {
	// unsure is set if the slowdown may have changed since the last query: a first event deviated
	// from its prediction or is overdue, or another engine reported a change.
	unsure bool
	// queriedAt is when the engine was last queried, and unanswered the number of queries since
	// its last answer.
	queriedAt  time.Time
	unanswered int
	// late and lateAt describe the latest first event of an attempt whose prompt this engine
	// prefilled alone: how much later than predicted it came, and when.
	late   time.Duration
	lateAt time.Time
	// samples holds the latest samples, the oldest first.
	samples []slowdownSample
	// plain is the latency of the endpoint if it is a plain one.
	plain plainLatency
	// changedAt is when the slowdown last changed.
	changedAt time.Time
}

// slowdownSample is the slowdown that is implied by a first event, with the time of the event.
type slowdownSample struct {
	at       time.Time
	slowdown float64
}

// record returns the record of an engine and creates it if necessary.
func (k *slowdowns) record(endpoint string) *slowdownRecord {
	r := k.records[endpoint]
	if r == nil {
		if k.records == nil {
			k.records = make(map[string]*slowdownRecord)
		}
		r = &slowdownRecord{}
		k.records[endpoint] = r
	}
	return r
}

// atModelSpeed reports whether all endpoints of an attempt work at the speed of their model, as far
// as is known. Only then is the lateness of its first event a measure of its transit.
func (p *poolState) atModelSpeed(at *attempt) bool {
	for _, name := range at.endpoints() {
		if e := p.engines[name]; e != nil && e.Speed() != 1 {
			return false
		}
	}
	return true
}

// recordFirstEvent updates the slowdowns after the first event of an attempt, unless slowdowns are
// ignored or this instance has not placed requests recently. Late is how much later than predicted
// the event came. The caller must hold s.mu.
func (s *Scheduler) recordFirstEvent(p *poolState, at *attempt, late time.Duration, now time.Time) {
	if s.settings.SlowdownMode == SlowdownIgnored || !p.slowdowns.isDeciding(now) {
		return
	}
	if p.plain {
		p.recordPlainLatency(at, now)
		return
	}
	p.observeFirstEvent(at, late, now)
	s.updateSlowdowns(p, now)
}

// observeFirstEvent compares the first event of an attempt with its prediction, after deducting the
// delay that all engines have in common. An event that deviates makes the slowdown of its engines
// unsure. The event also becomes a sample, with three exceptions: its predicted time is too short,
// the slowdown has changed since the placement, or several engines did the prefill, any of which
// may have been late.
func (p *poolState) observeFirstEvent(at *attempt, late time.Duration, now time.Time) {
	took := now.Sub(at.placedAt) - p.transit.time
	predicted := took - late
	if len(at.helpers) == 0 {
		r := p.slowdowns.record(at.endpoint)
		r.late, r.lateAt = late, now
	}
	delay := p.slowdowns.commonDelay(now)
	took -= delay
	late -= delay
	if deviates(late, predicted) {
		for _, name := range at.endpoints() {
			p.slowdowns.record(name).unsure = true
		}
	}
	if e := p.engines[at.endpoint]; e != nil && len(at.helpers) == 0 && predicted > minPrediction {
		p.addSample(e, float64(took)/float64(predicted)/e.Speed(), at.placedAt, now)
	}
}

// commonDelay returns the delay that the network is assumed to add to all events: the lower
// quartile of the lateness of the engines' latest first events, as a slowdown affects only some
// engines. It is zero if too few engines had first events recently.
func (k *slowdowns) commonDelay(now time.Time) time.Duration {
	var lateness []time.Duration
	for _, r := range k.records {
		if !r.lateAt.IsZero() && now.Sub(r.lateAt) < commonDelayWindow {
			lateness = append(lateness, r.late)
		}
	}
	if len(lateness) < commonDelayMinEngines {
		return 0
	}
	slices.Sort(lateness)
	return max(lateness[len(lateness)/commonDelayRank], 0)
}

// deviates reports whether an event is so late or early, given its predicted time, that the
// slowdown of its engine may have changed.
func deviates(late, predicted time.Duration) bool {
	return late.Abs() > minDeviation && float64(late.Abs()) > minDeviationShare*float64(predicted)
}

// addSample adds the slowdown that is implied by the first event of a request that was placed
// at the given time.
func (p *poolState) addSample(e *placement.Engine, slowdown float64, placed, now time.Time) {
	r := p.slowdowns.record(e.Instance)
	if placed.Before(r.changedAt) {
		// The prediction was made in part with the previous slowdown.
		return
	}
	r.samples = append(r.samples, slowdownSample{
		at:       now,
		slowdown: slowdown,
	})
	if len(r.samples) > slowdownSamples {
		r.samples = slices.Delete(r.samples, 0, len(r.samples)-slowdownSamples)
	}
}

// minSample returns the least of the latest samples, or false if there are too few. Samples are
// too high for requests that waited for the prefill of others longer than predicted, so the
// least one is the most accurate.
func (r *slowdownRecord) minSample(now time.Time) (float64, bool) {
	if len(r.samples) < slowdownSamples || now.Sub(r.samples[0].at) > slowdownSampleWindow {
		return 0, false
	}
	least := r.samples[0].slowdown
	for _, e := range r.samples[1:] {
		least = min(least, e.slowdown)
	}
	return least, true
}

// updateSlowdowns queries the engines that are due for a query and applies estimates. It does
// nothing if the last update was less than slowdownUpdateInterval ago. The caller must hold
// s.mu.
func (s *Scheduler) updateSlowdowns(p *poolState, now time.Time) {
	if p.plain || s.settings.SlowdownMode == SlowdownIgnored || now.Sub(p.slowdowns.updatedAt) < slowdownUpdateInterval {
		return
	}
	p.slowdowns.updatedAt = now
	p.markOverdue(now)
	v := p.notices.View()
	left := maxQueriesPerUpdate
	for name, r := range p.slowdowns.records {
		e := p.engines[name]
		if e == nil {
			delete(p.slowdowns.records, name)
			continue
		}
		mayQuery := s.mayQuery(p, now) && p.acceptsRequests(e) && p.acceptsQueries(e, v, now)
		if mayQuery && left > 0 && r.queryDue(e, now) {
			left--
			s.querySlowdown(p, e, r, now)
		}
		if s.settings.SlowdownMode != SlowdownQueried && (!mayQuery || r.unanswered > maxUnanswered) {
			s.applyEstimate(p, e, r, now)
		}
	}
}

// isDeciding reports whether this instance placed requests recently. Other instances don't need to
// know the slowdowns.
func (k *slowdowns) isDeciding(now time.Time) bool {
	return now.Sub(k.decidedAt) < decidingWindow
}

// mayQuery reports whether this instance queries engines. It does so only while it decides as the
// owner: there may be many instances that decide by themselves because they reach no owner, and
// these only estimate.
func (s *Scheduler) mayQuery(p *poolState, now time.Time) bool {
	return s.settings.SlowdownQuerier != nil && s.settings.SlowdownMode != SlowdownEstimated && !p.slowdowns.fallback && p.slowdowns.isDeciding(now)
}

// acceptsQueries reports whether an engine may be queried: it announces no rate limit, and this
// instance has to observe no back-off for it.
func (p *poolState) acceptsQueries(e *placement.Engine, v *notice.View, now time.Time) bool {
	_, limited := p.rateLimit(e, v)
	return !limited && !v.BackoffUntil(e.Instance, p.health[e.Instance].startedAt).After(now)
}

// markOverdue marks as unsure the slowdown of all engines with an attempt whose first event is
// overdue, unless the session of its entry instance has ended.
func (p *poolState) markOverdue(now time.Time) {
	for _, at := range p.attempts {
		if at.begun || at.orphanMark != 0 {
			continue
		}
		overdue := now.Sub(at.placedAt) - at.predictedFirst
		if overdue < minOverdue || float64(overdue) < minOverdueShare*float64(at.predictedFirst) {
			continue
		}
		for _, name := range at.endpoints() {
			p.slowdowns.record(name).unsure = true
		}
	}
}

// queryDue reports whether the engine is due for a query.
func (r *slowdownRecord) queryDue(e *placement.Engine, now time.Time) bool {
	since := now.Sub(r.queriedAt)
	return r.unsure && since >= unsureQueryInterval || e.Speed() != 1 && since >= slowQueryInterval
}

// querySlowdown queries an engine and applies its answer once it arrives. The caller must hold
// s.mu.
func (s *Scheduler) querySlowdown(p *poolState, e *placement.Engine, r *slowdownRecord, now time.Time) {
	r.queriedAt = now
	r.unanswered++
	r.unsure = false
	p.slowdowns.queries++
	endpoint, address := e.Instance, e.Address
	s.settings.SlowdownQuerier.QuerySlowdown(address, func(slowdown float64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		// An endpoint that restarted under the same name has another record.
		if e := p.engines[endpoint]; e != nil && e.Address == address && p.slowdowns.records[endpoint] == r {
			s.slowdownReported(p, e, slowdown)
		}
	})
}

// slowdownReported applies the slowdown that an engine reports. If it has changed, other
// engines become unsure: a cause often affects several engines, and otherwise the first request
// on each of them would be late. The caller must hold s.mu.
func (s *Scheduler) slowdownReported(p *poolState, e *placement.Engine, slowdown float64) {
	now := s.settings.Now()
	r := p.slowdowns.record(e.Instance)
	r.unanswered = 0
	if !s.setSlowdown(p, e, r, slowdown, "told", now) {
		return
	}
	p.markOthersUnsure(e, now)
}

// markOthersUnsure makes up to unsurePerReport other engines unsure after e reported a change:
// the next ones in the list that are not unsure yet and were not queried just now.
func (p *poolState) markOthersUnsure(e *placement.Engine, now time.Time) {
	left := unsurePerReport
	for range p.list {
		if left == 0 {
			return
		}
		o := p.list[p.slowdowns.nextUnsure%len(p.list)]
		p.slowdowns.nextUnsure++
		r := p.slowdowns.record(o.Instance)
		if o == e || r.unsure || now.Sub(r.queriedAt) < slowQueryInterval {
			continue
		}
		r.unsure = true
		left--
	}
}

// applyEstimate applies the slowdown that an engine's samples imply. Without enough samples it
// lowers an estimate that is older than estimateLifetime. The caller must hold s.mu.
func (s *Scheduler) applyEstimate(p *poolState, e *placement.Engine, r *slowdownRecord, now time.Time) {
	slowdown := 1 / e.Speed()
	seen, ok := r.minSample(now)
	switch {
	case ok && seen < normalThreshold:
		slowdown = 1
	case ok && (seen >= slowThreshold || slowdown > 1):
		slowdown = seen
	case !ok && slowdown > 1 && now.Sub(r.lastUpdate()) >= estimateLifetime:
		slowdown = 1 + (slowdown-1)/2
		if slowdown < normalThreshold {
			slowdown = 1
		}
	}
	s.setSlowdown(p, e, r, slowdown, "learned", now)
}

// lastUpdate returns when the slowdown last changed or the last sample was added, whichever is
// later.
func (r *slowdownRecord) lastUpdate() time.Time {
	if n := len(r.samples); n > 0 {
		return later(r.changedAt, r.samples[n-1].at)
	}
	return r.changedAt
}

// setSlowdown applies an engine's slowdown and logs it. It does nothing and returns false if
// the slowdown differs too little from the previous one. The caller must hold s.mu.
func (s *Scheduler) setSlowdown(p *poolState, e *placement.Engine, r *slowdownRecord, slowdown float64, source string, now time.Time) bool {
	before := 1 / e.Speed()
	slowdown = min(max(slowdown, 1), maxSlowdown)
	if off := slowdown/before - 1; off < minSlowdownChange && off > -minSlowdownChange {
		return false
	}
	e.SetSlowdown(slowdown, now)
	r.changedAt = now
	r.samples = r.samples[:0]
	p.slowdowns.changes++
	s.log.Info("endpoint slowdown changed", "endpoint", e.Instance, "pace", slowdown, "before", before, "way", source,
		"asked", p.slowdowns.queries)
	s.wakeUp()
	return true
}

// totalSpeed returns how much work engines do together in a second, in seconds of their model.
func totalSpeed(list []*placement.Engine) float64 {
	sum := 0.0
	for _, e := range list {
		sum += e.Speed()
	}
	return sum
}

// countSlow returns how many engines are slower than their model.
func (p *poolState) countSlow() int {
	n := 0
	for _, e := range p.list {
		if e.Speed() < 1 {
			n++
		}
	}
	return n
}
