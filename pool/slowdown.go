// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/placement"
)

// SlowdownQuerier asks engines for what they tell of themselves.
type SlowdownQuerier interface {
	// QuerySlowdown asks the engine at an address how many times as long as by its model it takes,
	// and calls told with the answer, once. Without an answer told isn't called. QuerySlowdown
	// doesn't wait.
	QuerySlowdown(address string, told func(pace float64))
}

// SlowdownMode is how the pace of engines becomes known.
type SlowdownMode int

// The ways.
const (
	// SlowdownQueriedOrEstimated asks engines whose events come at other times than predicted, and learns
	// from the events where there is no answer.
	SlowdownQueriedOrEstimated SlowdownMode = iota
	// SlowdownEstimated learns from the events alone.
	SlowdownEstimated
	// SlowdownQueried asks, and learns nothing without an answer.
	SlowdownQueried
	// SlowdownIgnored takes all engines to work as their model says.
	SlowdownIgnored
)

// The measures of doubting an engine's pace.
const (
	// minDeviation and offShare are how far the first event of a request must be off for the
	// pace of its engine to be unsure, as a time and in parts of the predicted one: more
	// than the ways of messages differ, less than what makes streams late.
	minDeviation      = 30 * time.Millisecond
	minDeviationShare = 0.35
	// minOverdue and overdueShare are how long a first event that has not come must be
	// overdue for the same.
	minOverdue      = 100 * time.Millisecond
	minOverdueShare = 0.6
	// commonDelayWindow is how long an engine's last event tells how late the way makes events,
	// wayLeast how many engines it takes, and 1/wayRank the part of them whose events may
	// come earlier than that.
	commonDelayWindow     = time.Second
	commonDelayMinEngines = 2
	commonDelayRank       = 4
	// slowdownUpdateInterval is how often the engines are looked at: two or three times a pass.
	slowdownUpdateInterval = 25 * time.Millisecond
)

// The measures of asking engines.
const (
	// unsureQueryInterval is how long an engine whose pace is unsure isn't asked again: its
	// reports are as of some hundred milliseconds earlier.
	unsureQueryInterval = 200 * time.Millisecond
	// slowQueryInterval is how often a slow engine is asked, so that its return is noticed
	// within half a second and the delay of its reports.
	slowQueryInterval = 400 * time.Millisecond
	// maxUnanswered is how many questions in a row may be without an answer for the answers
	// before to settle what events say otherwise.
	maxUnanswered = 2
	// unsurePerReport is how many others become unsure when one engine tells another pace. Where
	// some of them tell one too, each makes as many unsure again, so that a third of 1,000 engines
	// are known within a second, while one slow engine among them takes 65 questions in place of
	// 1,000 (TestPaceOfMany).
	unsurePerReport = 64
	// maxQueriesPerUpdate is how many engines are asked at one look, and looks are 25 ms apart: all of 60
	// engines at once, as without it, and 3,000 within some 1.2 s (computed).
	maxQueriesPerUpdate = 64
	// decidingWindow is how long after its last place an instance counts as one that decides:
	// longer than reading a long prompt takes.
	decidingWindow = 10 * time.Second
)

// The measures of learning the pace from events.
const (
	// slowdownSamples is how many of the last events count, and how many it takes.
	slowdownSamples = 3
	// slowdownSampleWindow is how long an event counts.
	slowdownSampleWindow = 1500 * time.Millisecond
	// minPrediction is the shortest predicted time that an event is compared with: with less
	// the way counts for most.
	minPrediction = 20 * time.Millisecond
	// slowThreshold is the pace from which on an engine counts as slow, paceUsual that up to
	// which it doesn't.
	slowThreshold   = 1.3
	normalThreshold = 1.15
	// estimateLifetime is how long a learned pace holds without events; then half of it is
	// forgotten, so that the engine is tried again.
	estimateLifetime = 2 * time.Second
	// minSlowdownChange is the relative difference from which on another pace is taken over.
	minSlowdownChange = 0.08
	// maxSlowdown bounds a pace, so that an engine that stands still doesn't seem to do so
	// for ever.
	maxSlowdown = 30
)

// slowdowns is what is known of how quickly engines work. The zero value is ready for use.
type slowdowns struct {
	// records are the records by instance.
	records map[string]*slowdownRecord
	// decidedAt is when this instance last gave a place, and alone states that it did so for
	// itself, as no owner was in touch.
	decidedAt time.Time
	fallback  bool
	// updatedAt is when the engines were last looked at.
	updatedAt time.Time
	// queries counts the questions to engines, and changes those of a pace.
	queries int
	changes int
	// nextUnsure is how many engines have become unsure as others changed: where to go on.
	nextUnsure int
}

// slowdownRecord is what is known of one engine.
type slowdownRecord struct {
	// unsure states that its pace may be another one than is taken: since it was last
	// asked its events came at other times than predicted, or another engine's pace has
	// changed.
	unsure bool
	// queriedAt is when it was last asked, and unanswered how often since its last answer.
	queriedAt  time.Time
	unanswered int
	// late is how late its last first event came that it alone was to blame for, at lateAt.
	late   time.Duration
	lateAt time.Time
	// samples are the last events.
	samples []slowdownSample
	// plain is how long requests take there if it is a plain endpoint.
	plain plainLatency
	// changedAt is when its pace last changed.
	changedAt time.Time
}

// slowdownSample is a first event that came at a moment, and the pace that it stands for.
type slowdownSample struct {
	at       time.Time
	slowdown float64
}

// record returns the record of an engine.
func (k *slowdowns) record(instance string) *slowdownRecord {
	r := k.records[instance]
	if r == nil {
		if k.records == nil {
			k.records = make(map[string]*slowdownRecord)
		}
		r = &slowdownRecord{}
		k.records[instance] = r
	}
	return r
}

// atModelSpeed states whether all endpoints of an attempt work as their model says, as far as
// is known: only then a late event tells of its way.
func (p *poolState) atModelSpeed(at *attempt) bool {
	for _, name := range at.endpoints() {
		if e := p.engines[name]; e != nil && e.Speed() != 1 {
			return false
		}
	}
	return true
}

// recordFirstEvent takes over the first event of an attempt that came so much later than the
// model said. The caller holds the lock.
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

// observeFirstEvent learns from how much later the first event of an attempt came than the model
// said: how late the way makes events, whether the pace of its engines is unsure, and what
// pace it stands for. Where several engines read, it isn't known which of them was late.
func (p *poolState) observeFirstEvent(at *attempt, late time.Duration, now time.Time) {
	took := now.Sub(at.placedAt) - p.transit.time
	predicted := took - late
	if len(at.joint) == 0 {
		r := p.slowdowns.record(at.instance)
		r.late, r.lateAt = late, now
	}
	way := p.slowdowns.commonDelay(now)
	took -= way
	late -= way
	if deviates(late, predicted) {
		for _, name := range at.endpoints() {
			p.slowdowns.record(name).unsure = true
		}
	}
	if e := p.engines[at.instance]; e != nil && len(at.joint) == 0 && predicted > minPrediction {
		p.addSample(e, float64(took)/float64(predicted)/e.Speed(), at.placedAt, now)
	}
}

// commonDelay returns the part of how late events come that their way explains: what the last
// events of all engines but the earliest quarter have in common. A pace is one engine's, or
// that of some, while a late network is that of all.
func (k *slowdowns) commonDelay(now time.Time) time.Duration {
	var of []time.Duration
	for _, r := range k.records {
		if !r.lateAt.IsZero() && now.Sub(r.lateAt) < commonDelayWindow {
			of = append(of, r.late)
		}
	}
	if len(of) < commonDelayMinEngines {
		return 0
	}
	slices.Sort(of)
	return max(of[len(of)/commonDelayRank], 0)
}

// deviates states whether an event that was predicted to take a time is so late, or early,
// that this may tell of the engine.
func deviates(late, predicted time.Duration) bool {
	return late.Abs() > minDeviation && float64(late.Abs()) > minDeviationShare*float64(predicted)
}

// addSample takes over the pace that an event stands for whose request was placed at a moment.
func (p *poolState) addSample(e *placement.Engine, pace float64, placed, now time.Time) {
	r := p.slowdowns.record(e.Instance)
	if placed.Before(r.changedAt) {
		// Part of it was predicted by another pace.
		return
	}
	r.samples = append(r.samples, slowdownSample{
		at:       now,
		slowdown: pace,
	})
	if len(r.samples) > slowdownSamples {
		r.samples = slices.Delete(r.samples, 0, len(r.samples)-slowdownSamples)
	}
}

// minSample returns the least pace that the last events stand for, or false when there are too
// few. Those of requests that waited for others to be read, which the model took to be
// done, stand for more than the engine's pace; the least is the one that waited least.
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

// updateSlowdowns asks the engines that are due, and takes over what was learned. It does so
// from time to time, however often it is called. The caller holds the lock.
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
		asks := s.mayQuery(p, now) && p.acceptsRequests(e) && p.acceptsQueries(e, v, now)
		if asks && left > 0 && r.queryDue(e, now) {
			left--
			s.querySlowdown(p, e, r, now)
		}
		if s.settings.SlowdownMode != SlowdownQueried && (!asks || r.unanswered > maxUnanswered) {
			s.applyEstimate(p, e, r, now)
		}
	}
}

// isDeciding states whether this instance gives places, for all or alone: only then it matters
// what it takes for the pace of engines.
func (k *slowdowns) isDeciding(now time.Time) bool {
	return now.Sub(k.decidedAt) < decidingWindow
}

// mayQuery states whether this instance asks engines: it decides for all. Those that place
// alone learn from events: there may be many of them.
func (s *Scheduler) mayQuery(p *poolState, now time.Time) bool {
	return s.settings.SlowdownQuerier != nil && s.settings.SlowdownMode != SlowdownEstimated && !p.slowdowns.fallback && p.slowdowns.isDeciding(now)
}

// acceptsQueries states whether an engine may be asked: not if it has asked this instance for a
// back-off or names a rate limit.
func (p *poolState) acceptsQueries(e *placement.Engine, v *notice.View, now time.Time) bool {
	_, limited := p.rateLimit(e, v)
	return !limited && !v.BackoffUntil(e.Instance, p.health[e.Instance].startedAt).After(now)
}

// markOverdue notes that the pace of engines is unsure whose first events are overdue.
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

// queryDue states whether an engine is to be asked.
func (r *slowdownRecord) queryDue(e *placement.Engine, now time.Time) bool {
	since := now.Sub(r.queriedAt)
	return r.unsure && since >= unsureQueryInterval || e.Speed() != 1 && since >= slowQueryInterval
}

// querySlowdown asks an engine. The caller holds the lock.
func (s *Scheduler) querySlowdown(p *poolState, e *placement.Engine, r *slowdownRecord, now time.Time) {
	r.queriedAt = now
	r.unanswered++
	r.unsure = false
	p.slowdowns.queries++
	instance, address := e.Instance, e.Address
	s.settings.SlowdownQuerier.QuerySlowdown(address, func(pace float64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		// After a new start under the name the record is another one.
		if e := p.engines[instance]; e != nil && e.Address == address && p.slowdowns.records[instance] == r {
			s.slowdownReported(p, e, pace)
		}
	})
}

// slowdownReported takes over what an engine says of its pace. When it is another one than before, that
// of others is unsure: what slows an engine often slows more of them, and the first request
// that tells of each would be late. The caller holds the lock.
func (s *Scheduler) slowdownReported(p *poolState, e *placement.Engine, pace float64) {
	now := s.settings.Now()
	r := p.slowdowns.record(e.Instance)
	r.unanswered = 0
	if !s.setSlowdown(p, e, r, pace, "told", now) {
		return
	}
	p.markOthersUnsure(e, now)
}

// markOthersUnsure makes some engines unsure as one has told another pace than before: those that
// come next and were not asked just now.
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

// applyEstimate takes over the pace that an engine's events stand for. The caller holds the
// lock.
func (s *Scheduler) applyEstimate(p *poolState, e *placement.Engine, r *slowdownRecord, now time.Time) {
	pace := 1 / e.Speed()
	seen, ok := r.minSample(now)
	switch {
	case ok && seen < normalThreshold:
		pace = 1
	case ok && (seen >= slowThreshold || pace > 1):
		pace = seen
	case !ok && pace > 1 && now.Sub(r.lastUpdate()) >= estimateLifetime:
		pace = 1 + (pace-1)/2
		if pace < normalThreshold {
			pace = 1
		}
	}
	s.setSlowdown(p, e, r, pace, "learned", now)
}

// lastUpdate returns when the last thing became known of the engine's pace.
func (r *slowdownRecord) lastUpdate() time.Time {
	if n := len(r.samples); n > 0 {
		return later(r.changedAt, r.samples[n-1].at)
	}
	return r.changedAt
}

// setSlowdown takes over an engine's pace, if it is another one than before, and writes a
// line. It returns whether it is. The caller holds the lock.
func (s *Scheduler) setSlowdown(p *poolState, e *placement.Engine, r *slowdownRecord, pace float64, way string, now time.Time) bool {
	before := 1 / e.Speed()
	pace = min(max(pace, 1), maxSlowdown)
	if off := pace/before - 1; off < minSlowdownChange && off > -minSlowdownChange {
		return false
	}
	e.SetSlowdown(pace, now)
	r.changedAt = now
	r.samples = r.samples[:0]
	p.slowdowns.changes++
	s.log.Info("pace of an endpoint", "endpoint", e.Instance, "pace", pace, "before", before, "way", way,
		"asked", p.slowdowns.queries)
	s.wakeUp()
	return true
}

// totalSpeed returns what some engines do in a second together, in seconds of their model.
func totalSpeed(list []*placement.Engine) float64 {
	sum := 0.0
	for _, e := range list {
		sum += e.Speed()
	}
	return sum
}

// countSlow returns how many engines count as slower than their model.
func (p *poolState) countSlow() int {
	n := 0
	for _, e := range p.list {
		if e.Speed() < 1 {
			n++
		}
	}
	return n
}
