// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/notice"
	"github.com/linkmast/linkmast/placement"
)

// Reports asks engines for what they tell of themselves.
type Reports interface {
	// Pace asks the engine at an address how many times as long as by its model it takes,
	// and calls told with the answer, once. Without an answer told isn't called. Pace
	// doesn't wait.
	Pace(address string, told func(pace float64))
}

// PaceWay is how the pace of engines becomes known.
type PaceWay int

// The ways.
const (
	// PaceBoth asks engines whose events come at other times than predicted, and learns
	// from the events where there is no answer.
	PaceBoth PaceWay = iota
	// PaceLearned learns from the events alone.
	PaceLearned
	// PaceTold asks, and learns nothing without an answer.
	PaceTold
	// PaceIgnored takes all engines to work as their model says.
	PaceIgnored
)

// The measures of doubting an engine's pace.
const (
	// offLeast and offShare are how far the first event of a request must be off for the
	// pace of its engine to be unsure, as a time and in parts of the predicted one: more
	// than the ways of messages differ, less than what makes streams late.
	offLeast = 30 * time.Millisecond
	offShare = 0.35
	// overdueLeast and overdueShare are how long a first event that has not come must be
	// overdue for the same.
	overdueLeast = 100 * time.Millisecond
	overdueShare = 0.6
	// waySeenFor is how long an engine's last event tells how late the way makes events,
	// wayLeast how many engines it takes, and 1/wayRank the part of them whose events may
	// come earlier than that.
	waySeenFor = time.Second
	wayLeast   = 2
	wayRank    = 4
	// lookPaceEvery is how often the engines are looked at: two or three times a pass.
	lookPaceEvery = 25 * time.Millisecond
)

// The measures of asking engines.
const (
	// askUnsureEvery is how long an engine whose pace is unsure isn't asked again: its
	// reports are as of some hundred milliseconds earlier.
	askUnsureEvery = 200 * time.Millisecond
	// askSlowEvery is how often a slow engine is asked, so that its return is noticed
	// within half a second and the delay of its reports.
	askSlowEvery = 400 * time.Millisecond
	// unansweredMost is how many questions in a row may be without an answer for the answers
	// before to settle what events say otherwise.
	unansweredMost = 2
	// doubtedByOne is how many others become unsure when one engine tells another pace. Where
	// some of them tell one too, each makes as many unsure again, so that a third of 1,000 engines
	// are known within a second, while one slow engine among them takes 65 questions in place of
	// 1,000 (TestPaceOfMany).
	doubtedByOne = 64
	// askedAtOnce is how many engines are asked at one look, and looks are 25 ms apart: all of 60
	// engines at once, as without it, and 3,000 within some 1.2 s (computed).
	askedAtOnce = 64
	// decidesFor is how long after its last place an instance counts as one that decides:
	// longer than reading a long prompt takes.
	decidesFor = 10 * time.Second
)

// The measures of learning the pace from events.
const (
	// paceSeen is how many of the last events count, and how many it takes.
	paceSeen = 3
	// paceSeenFor is how long an event counts.
	paceSeenFor = 1500 * time.Millisecond
	// predictedLeast is the shortest predicted time that an event is compared with: with less
	// the way counts for most.
	predictedLeast = 20 * time.Millisecond
	// paceSlow is the pace from which on an engine counts as slow, paceUsual that up to
	// which it doesn't.
	paceSlow  = 1.3
	paceUsual = 1.15
	// paceTrust is how long a learned pace holds without events; then half of it is
	// forgotten, so that the engine is tried again.
	paceTrust = 2 * time.Second
	// paceDiffers is the relative difference from which on another pace is taken over.
	paceDiffers = 0.08
	// paceMost bounds a pace, so that an engine that stands still doesn't seem to do so
	// for ever.
	paceMost = 30
)

// paces is what is known of how quickly engines work. The zero value is ready for use.
type paces struct {
	// of are the records by instance.
	of map[string]*paceRecord
	// decided is when this instance last gave a place, and alone states that it did so for
	// itself, as no owner was in touch.
	decided time.Time
	alone   bool
	// looked is when the engines were last looked at.
	looked time.Time
	// asked counts the questions to engines, and changes those of a pace.
	asked   int
	changes int
	// doubted is how many engines have become unsure as others changed: where to go on.
	doubted int
}

// paceRecord is what is known of one engine.
type paceRecord struct {
	// unsure states that its pace may be another one than is taken: since it was last
	// asked its events came at other times than predicted, or another engine's pace has
	// changed.
	unsure bool
	// asked is when it was last asked, and unanswered how often since its last answer.
	asked      time.Time
	unanswered int
	// late is how late its last first event came that it alone was to blame for, at lateAt.
	late   time.Duration
	lateAt time.Time
	// seen are the last events.
	seen []paceEvent
	// plain is how long requests take there if it is a plain endpoint.
	plain plainPace
	// changed is when its pace last changed.
	changed time.Time
}

// paceEvent is a first event that came at a moment, and the pace that it stands for.
type paceEvent struct {
	at   time.Time
	pace float64
}

// record returns the record of an engine.
func (k *paces) record(instance string) *paceRecord {
	r := k.of[instance]
	if r == nil {
		if k.of == nil {
			k.of = make(map[string]*paceRecord)
		}
		r = &paceRecord{}
		k.of[instance] = r
	}
	return r
}

// steady states whether all endpoints of an attempt work as their model says, as far as
// is known: only then a late event tells of its way.
func (p *state) steady(at *placed) bool {
	for _, name := range at.endpoints() {
		if e := p.engines[name]; e != nil && e.Speed() != 1 {
			return false
		}
	}
	return true
}

// noteFirst takes over the first event of an attempt that came so much later than the
// model said. The caller holds the lock.
func (s *Scheduler) noteFirst(p *state, at *placed, late time.Duration, now time.Time) {
	if s.settings.Pace == PaceIgnored || !p.paces.decides(now) {
		return
	}
	if p.plain {
		p.notePlain(at, now)
		return
	}
	p.compare(at, late, now)
	s.lookAtPaces(p, now)
}

// compare learns from how much later the first event of an attempt came than the model
// said: how late the way makes events, whether the pace of its engines is unsure, and what
// pace it stands for. Where several engines read, it isn't known which of them was late.
func (p *state) compare(at *placed, late time.Duration, now time.Time) {
	took := now.Sub(at.at) - p.travel.length
	predicted := took - late
	if len(at.readers) == 0 {
		r := p.paces.record(at.instance)
		r.late, r.lateAt = late, now
	}
	way := p.paces.way(now)
	took -= way
	late -= way
	if isOff(late, predicted) {
		for _, name := range at.endpoints() {
			p.paces.record(name).unsure = true
		}
	}
	if e := p.engines[at.instance]; e != nil && len(at.readers) == 0 && predicted > predictedLeast {
		p.learn(e, float64(took)/float64(predicted)/e.Speed(), at.at, now)
	}
}

// way returns the part of how late events come that their way explains: what the last
// events of all engines but the earliest quarter have in common. A pace is one engine's, or
// that of some, while a late network is that of all.
func (k *paces) way(now time.Time) time.Duration {
	var of []time.Duration
	for _, r := range k.of {
		if !r.lateAt.IsZero() && now.Sub(r.lateAt) < waySeenFor {
			of = append(of, r.late)
		}
	}
	if len(of) < wayLeast {
		return 0
	}
	slices.Sort(of)
	return max(of[len(of)/wayRank], 0)
}

// isOff states whether an event that was predicted to take a time is so late, or early,
// that this may tell of the engine.
func isOff(late, predicted time.Duration) bool {
	return late.Abs() > offLeast && float64(late.Abs()) > offShare*float64(predicted)
}

// learn takes over the pace that an event stands for whose request was placed at a moment.
func (p *state) learn(e *placement.Engine, pace float64, placed, now time.Time) {
	r := p.paces.record(e.Instance)
	if placed.Before(r.changed) {
		// Part of it was predicted by another pace.
		return
	}
	r.seen = append(r.seen, paceEvent{
		at:   now,
		pace: pace,
	})
	if len(r.seen) > paceSeen {
		r.seen = slices.Delete(r.seen, 0, len(r.seen)-paceSeen)
	}
}

// least returns the least pace that the last events stand for, or false when there are too
// few. Those of requests that waited for others to be read, which the model took to be
// done, stand for more than the engine's pace; the least is the one that waited least.
func (r *paceRecord) least(now time.Time) (float64, bool) {
	if len(r.seen) < paceSeen || now.Sub(r.seen[0].at) > paceSeenFor {
		return 0, false
	}
	least := r.seen[0].pace
	for _, e := range r.seen[1:] {
		least = min(least, e.pace)
	}
	return least, true
}

// lookAtPaces asks the engines that are due, and takes over what was learned. It does so
// from time to time, however often it is called. The caller holds the lock.
func (s *Scheduler) lookAtPaces(p *state, now time.Time) {
	if p.plain || s.settings.Pace == PaceIgnored || now.Sub(p.paces.looked) < lookPaceEvery {
		return
	}
	p.paces.looked = now
	p.noteOverdue(now)
	v := p.notices.View()
	left := askedAtOnce
	for name, r := range p.paces.of {
		e := p.engines[name]
		if e == nil {
			delete(p.paces.of, name)
			continue
		}
		asks := s.asks(p, now) && p.acceptsRequests(e) && p.takesQuestions(e, v, now)
		if asks && left > 0 && r.due(e, now) {
			left--
			s.askPace(p, e, r, now)
		}
		if s.settings.Pace != PaceTold && (!asks || r.unanswered > unansweredMost) {
			s.learned(p, e, r, now)
		}
	}
}

// decides states whether this instance gives places, for all or alone: only then it matters
// what it takes for the pace of engines.
func (k *paces) decides(now time.Time) bool {
	return now.Sub(k.decided) < decidesFor
}

// asks states whether this instance asks engines: it decides for all. Those that place
// alone learn from events: there may be many of them.
func (s *Scheduler) asks(p *state, now time.Time) bool {
	return s.settings.Reports != nil && s.settings.Pace != PaceLearned && !p.paces.alone && p.paces.decides(now)
}

// takesQuestions states whether an engine may be asked: not if it has asked this instance for a
// back-off or names a rate limit.
func (p *state) takesQuestions(e *placement.Engine, v *notice.View, now time.Time) bool {
	_, limited := p.limit(e, v)
	return !limited && !v.BackoffUntil(e.Instance, p.health[e.Instance].born).After(now)
}

// noteOverdue notes that the pace of engines is unsure whose first events are overdue.
func (p *state) noteOverdue(now time.Time) {
	for _, at := range p.placed {
		if at.begun || at.orphan != 0 {
			continue
		}
		overdue := now.Sub(at.at) - at.first
		if overdue < overdueLeast || float64(overdue) < overdueShare*float64(at.first) {
			continue
		}
		for _, name := range at.endpoints() {
			p.paces.record(name).unsure = true
		}
	}
}

// due states whether an engine is to be asked.
func (r *paceRecord) due(e *placement.Engine, now time.Time) bool {
	since := now.Sub(r.asked)
	return r.unsure && since >= askUnsureEvery || e.Speed() != 1 && since >= askSlowEvery
}

// askPace asks an engine. The caller holds the lock.
func (s *Scheduler) askPace(p *state, e *placement.Engine, r *paceRecord, now time.Time) {
	r.asked = now
	r.unanswered++
	r.unsure = false
	p.paces.asked++
	instance, address := e.Instance, e.Address
	s.settings.Reports.Pace(address, func(pace float64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		// After a new start under the name the record is another one.
		if e := p.engines[instance]; e != nil && e.Address == address && p.paces.of[instance] == r {
			s.told(p, e, pace)
		}
	})
}

// told takes over what an engine says of its pace. When it is another one than before, that
// of others is unsure: what slows an engine often slows more of them, and the first request
// that tells of each would be late. The caller holds the lock.
func (s *Scheduler) told(p *state, e *placement.Engine, pace float64) {
	now := s.settings.Now()
	r := p.paces.record(e.Instance)
	r.unanswered = 0
	if !s.setPace(p, e, r, pace, "told", now) {
		return
	}
	p.doubtOthers(e, now)
}

// doubtOthers makes some engines unsure as one has told another pace than before: those that
// come next and were not asked just now.
func (p *state) doubtOthers(e *placement.Engine, now time.Time) {
	left := doubtedByOne
	for range p.list {
		if left == 0 {
			return
		}
		o := p.list[p.paces.doubted%len(p.list)]
		p.paces.doubted++
		r := p.paces.record(o.Instance)
		if o == e || r.unsure || now.Sub(r.asked) < askSlowEvery {
			continue
		}
		r.unsure = true
		left--
	}
}

// learned takes over the pace that an engine's events stand for. The caller holds the
// lock.
func (s *Scheduler) learned(p *state, e *placement.Engine, r *paceRecord, now time.Time) {
	pace := 1 / e.Speed()
	seen, ok := r.least(now)
	switch {
	case ok && seen < paceUsual:
		pace = 1
	case ok && (seen >= paceSlow || pace > 1):
		pace = seen
	case !ok && pace > 1 && now.Sub(r.last()) >= paceTrust:
		pace = 1 + (pace-1)/2
		if pace < paceUsual {
			pace = 1
		}
	}
	s.setPace(p, e, r, pace, "learned", now)
}

// last returns when the last thing became known of the engine's pace.
func (r *paceRecord) last() time.Time {
	if n := len(r.seen); n > 0 {
		return later(r.changed, r.seen[n-1].at)
	}
	return r.changed
}

// setPace takes over an engine's pace, if it is another one than before, and writes a
// line. It returns whether it is. The caller holds the lock.
func (s *Scheduler) setPace(p *state, e *placement.Engine, r *paceRecord, pace float64, way string, now time.Time) bool {
	before := 1 / e.Speed()
	pace = min(max(pace, 1), paceMost)
	if off := pace/before - 1; off < paceDiffers && off > -paceDiffers {
		return false
	}
	e.SetPace(pace, now)
	r.changed = now
	r.seen = r.seen[:0]
	p.paces.changes++
	s.log.Info("pace of an endpoint", "endpoint", e.Instance, "pace", pace, "before", before, "way", way,
		"asked", p.paces.asked)
	s.poke()
	return true
}

// speed returns what some engines do in a second together, in seconds of their model.
func speed(list []*placement.Engine) float64 {
	sum := 0.0
	for _, e := range list {
		sum += e.Speed()
	}
	return sum
}

// slow returns how many engines count as slower than their model.
func (p *state) slow() int {
	n := 0
	for _, e := range p.list {
		if e.Speed() < 1 {
			n++
		}
	}
	return n
}
