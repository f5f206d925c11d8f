// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/linkmast/linkmast/placement"
)

// The measures of suspecting an endpoint.
const (
	// MinSuspectSilence is the shortest silence of a stream that is suspected: passes that read
	// prompts take as long. SuspectGapFactor is how many of its usual pauses a silence lasts
	// before it is suspected: an engine that works at a third of its pace is slow, not dead.
	MinSuspectSilence = 200 * time.Millisecond
	SuspectGapFactor  = 4
	// suspicionTTL is how long a suspicion counts that is not repeated: entries repeat it
	// each MinSuspectSilence while the silence lasts.
	suspicionTTL = 300 * time.Millisecond
	// minSilentLateness and silentFactor times its predicted time is how much longer than
	// predicted a first event takes that is suspected; after doubtLeast, and its predicted
	// time once more, its endpoint gets nothing new if others are in doubt as well.
	minSilentLateness    = 400 * time.Millisecond
	silentLatenessFactor = 2
	minDoubtLateness     = 150 * time.Millisecond
	// longPrefillThreshold is the predicted time from which on a first event waits for a long
	// reading, during which other streams of the engine are silent.
	longPrefillThreshold = 250 * time.Millisecond
	// confirmQuorum is how many instances must suspect an endpoint for it to be set aside, and
	// doubting how many must have some endpoint in doubt for one that a single instance
	// doubts, and none has a sign of life of, to get nothing new. The link of a single
	// instance is no ground for either.
	confirmQuorum = 2
	doubtQuorum   = 3
	// evaluateInterval bounds how often the attempts are looked at.
	evaluateInterval = 10 * time.Millisecond
	// lateMigrationSpread is how long moves are spread over that are late already: their callers
	// wait for two seconds at least, and a fourth of that has passed.
	lateMigrationSpread = 600 * time.Millisecond
)

// SilenceMonitor hears of streams that are silent for longer than usual, and tells which
// attempts are to move to another endpoint.
type SilenceMonitor interface {
	// ReportSilence notes the silence of an attempt.
	ReportSilence(id, service string, silence time.Duration)
	// OnMigrate has a function called, at any time until stop is, when an attempt is to move.
	OnMigrate(id string, move func()) (stop func())
}

// suspicion is what attempts show of endpoints that have stopped. The zero value is ready
// for use.
type suspicion struct {
	// lookedAt is when the attempts were last looked at, and doubted are the endpoints
	// that were in doubt then.
	lookedAt time.Time
	doubted  map[string]bool
	// suspected counts suspicions, agreed the endpoints that were set aside by them, and
	// moved the attempts that were told to move.
	suspected int
	agreed    int
	moved     int
}

// migration tells an entry that an attempt is to migration.
type migration struct {
	entry   string
	id      string
	service string
	// endpoint is the one that has stopped, and due how long until the attempt's next
	// event is late.
	endpoint string
	due      time.Duration
	// joint states that several endpoints read for it.
	joint bool
}

// signal is what one attempt shows of the endpoint that answers it.
type signal int

// The signs.
const (
	// signalNone is that of an attempt that tells nothing, or whose endpoint has a reason for
	// its silence.
	signalNone signal = iota
	// signalAlive is that of a stream whose events come.
	signalAlive
	// signalLate is that of a first event that is overdue by less than a silent one.
	signalLate
	// signalSilent is that of an attempt that is overdue.
	signalSilent
)

// endpointSignals are the entries of the attempts on an endpoint, by what these show of it.
type endpointSignals struct {
	silent map[string]bool
	late   map[string]bool
	alive  map[string]bool
}

// watched states whether the entry suspects an attempt of the ask when it is silent: its
// stream has pauses that count, and the request an attempt left.
func (a *PlacementRequest) watched() bool {
	return a.Gap > 0 && !a.Retry
}

// ReportSilence notes the silence of an attempt, as its entry reports it.
func (s *Scheduler) ReportSilence(id, service string, silence time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(service)
	at := p.attempts[id]
	if at == nil || p.plain {
		return
	}
	now := s.settings.Now()
	at.suspectedAt = now
	at.silentSince = now.Add(-silence)
	p.suspicion.suspected++
	s.evaluateSuspicions(p, service, now)
}

// evaluateSuspicions looks which endpoints have stopped, sets them aside and has their attempts move.
// The caller holds the lock.
func (s *Scheduler) evaluateSuspicions(p *poolState, service string, now time.Time) {
	p.suspicion.lookedAt = now
	seen, entries := p.collectSignals(now)
	p.suspicion.doubted = nil
	for _, e := range p.list {
		t := seen[e.Instance]
		if t == nil {
			continue
		}
		switch {
		case p.health[e.Instance].answeredRecently(now):
		case t.confirmed():
			s.verify(p, service, e, len(t.silent), now)
			p.suspicion.doubt(e.Instance)
		case t.inDoubt(entries):
			p.suspicion.doubt(e.Instance)
		}
	}
}

// evaluateIfDue does what suspect does, unless that was done just now. The caller holds
// the lock.
func (s *Scheduler) evaluateIfDue(p *poolState, service string, now time.Time) {
	if p.plain || now.Sub(p.suspicion.lookedAt) < evaluateInterval {
		return
	}
	s.evaluateSuspicions(p, service, now)
}

// collectSignals returns what the attempts show of each endpoint, and how many entries have some
// endpoint in doubt.
func (p *poolState) collectSignals(now time.Time) (map[string]*endpointSignals, int) {
	seen := make(map[string]*endpointSignals)
	entries := make(map[string]bool)
	for id, at := range p.attempts {
		shown := p.signalOf(id, at, now)
		if shown == signalNone || at.entry == "" {
			continue
		}
		t := seen[at.instance]
		if t == nil {
			t = &endpointSignals{
				silent: make(map[string]bool),
				late:   make(map[string]bool),
				alive:  make(map[string]bool),
			}
			seen[at.instance] = t
		}
		t.note(shown, at.entry)
		if shown != signalAlive {
			entries[at.entry] = true
		}
	}
	return seen, len(entries)
}

// note takes over what an entry's attempt shows.
func (t *endpointSignals) note(shown signal, entry string) {
	switch shown {
	case signalSilent:
		t.silent[entry] = true
	case signalLate:
		t.late[entry] = true
	case signalAlive:
		t.alive[entry] = true
	case signalNone:
	}
}

// signalOf returns what an attempt signalOf of the endpoint that answers it.
func (p *poolState) signalOf(id string, at *attempt, now time.Time) signal {
	if at.begun {
		return p.streamSignalOf(id, at, now)
	}
	late := now.Sub(at.placedAt) - at.predictedFirst
	switch {
	case late < minDoubtLateness || late < at.predictedFirst || len(at.joint) > 0:
		return signalNone
	case p.silenceExplained(id, at, late, now):
		return signalNone
	case late >= max(minSilentLateness, silentLatenessFactor*at.predictedFirst):
		return signalSilent
	}
	return signalLate
}

// streamSignalOf does what shows does for an attempt whose first event has come.
func (p *poolState) streamSignalOf(id string, at *attempt, now time.Time) signal {
	suspected := now.Sub(at.suspectedAt) <= suspicionTTL
	switch {
	case suspected && !p.silenceExplained(id, at, now.Sub(at.silentSince), now):
		return signalSilent
	case !suspected && at.watched:
		return signalAlive
	}
	return signalNone
}

// silenceExplained states whether an endpoint of an attempt has a reason for its silence: by its model
// it silenceExplained, or is in a pass that long, or a long reading there has not ended for certain.
func (p *poolState) silenceExplained(id string, at *attempt, silence time.Duration, now time.Time) bool {
	if _, reason := p.expectedWait(id, at, silence, now); reason {
		return true
	}
	for _, name := range at.endpoints() {
		e := p.engines[name]
		if e == nil {
			continue
		}
		for _, j := range e.Jobs {
			if p.mayRead(j, now) {
				return true
			}
		}
	}
	return false
}

// mayRead states whether a long reading is under way, or not known to have ended though it
// should have: predictions of long ones are off by half at most.
func (p *poolState) mayRead(j *placement.Job, now time.Time) bool {
	at := p.attempts[j.ID]
	if at == nil || at.begun || at.predictedFirst < longPrefillThreshold {
		return false
	}
	return now.Before(at.placedAt.Add(at.predictedFirst + max(minSilentLateness, at.predictedFirst/2)))
}

// confirmed states whether independent instances confirmed that the endpoint has stopped: two
// at least, and none has a sign of life.
func (t *endpointSignals) confirmed() bool {
	return len(t.silent) >= confirmQuorum && len(t.alive) == 0
}

// inDoubt states whether the endpoint is to get nothing new for now. Entries is how many
// have some endpoint in doubt.
func (t *endpointSignals) inDoubt(entries int) bool {
	if len(t.alive) > 0 {
		return false
	}
	n := len(t.silent)
	for entry := range t.late {
		if !t.silent[entry] {
			n++
		}
	}
	return n >= confirmQuorum || n > 0 && entries >= doubtQuorum
}

// doubt notes that an endpoint is in doubt.
func (x *suspicion) doubt(instance string) {
	if x.doubted == nil {
		x.doubted = make(map[string]bool)
	}
	x.doubted[instance] = true
}

// handleStopped leaves an endpoint out that has handleStopped, and has its attempts move. Silent is how
// many instances agree. The caller holds the lock.
func (s *Scheduler) handleStopped(p *poolState, service, instance string, silent int, now time.Time) {
	h := p.health[instance]
	if h == nil || !h.usable(now) || p.hasLiveStream(instance, now) {
		return
	}
	s.exclude(p, service, instance, now)
	p.suspicion.agreed++
	s.checkAll(p, service, instance, now)
	n := s.migrateAll(p, service, instance, now)
	s.log.Info("endpoint suspected", "service", service, "endpoint", instance, "silent_for", silent, "moved", n)
}

// handleUnreachable has the attempts of an endpoint move that instances agree they can't reach,
// unless a stream there has a sign of life: an endpoint turns connections away that are
// too many, too. The caller holds the lock.
func (s *Scheduler) handleUnreachable(p *poolState, service, instance string, now time.Time) {
	if p.plain || p.hasLiveStream(instance, now) {
		return
	}
	s.exclude(p, service, instance, now)
	s.checkAll(p, service, instance, now)
	if n := s.migrateAll(p, service, instance, now); n > 0 {
		s.log.Info("endpoint unreachable", "service", service, "endpoint", instance, "moved", n)
	}
}

// migrateAll has all attempts move that an endpoint answers or reads for, those first that
// are due first and can still be in time. It returns how many. The caller holds the lock.
func (s *Scheduler) migrateAll(p *poolState, service, instance string, now time.Time) int {
	var out []migration
	for id, at := range p.attempts {
		if at.moved || at.entry == "" || !slices.Contains(at.endpoints(), instance) {
			continue
		}
		at.moved = true
		out = append(out, migration{
			entry:    at.entry,
			id:       id,
			service:  service,
			endpoint: instance,
			due:      at.dueIn(now),
			joint:    len(at.joint) > 0 && !at.begun,
		})
	}
	slices.SortFunc(out, func(a, b migration) int {
		return cmp.Or(cmp.Compare(a.order(), b.order()), cmp.Compare(a.id, b.id))
	})
	p.suspicion.moved += len(out)
	s.sendMigrations(out)
	return len(out)
}

// order sorts moves: those that are due first go first, and those that are late already
// after all others.
func (m *migration) order() time.Duration {
	if m.due <= 0 {
		return math.MaxInt64
	}
	return m.due
}

// dueIn returns how long it is until the attempt's next event is late.
func (at *attempt) dueIn(now time.Time) time.Duration {
	if !at.begun {
		return at.workload.targetAt.Sub(now)
	}
	if now.Sub(at.suspectedAt) > suspicionTTL {
		return at.workload.gap
	}
	return at.silentSince.Add(at.workload.gap).Sub(now)
}

// sendMigrations tells the entries: at once of those that can be in time, and of those that
// engines still read for; of the others, which are late already, one after the other, so
// that their prompts are not all read in front of the streams of other engines. The caller
// holds the lock.
func (s *Scheduler) sendMigrations(moves []migration) {
	atOnce := make(map[*func(migration)][]migration)
	late := 0
	for _, m := range moves {
		tell := s.notifyMove[m.entry]
		switch {
		case tell == nil:
		case m.due > 0 || m.joint:
			atOnce[tell] = append(atOnce[tell], m)
		default:
			late++
			wait := lateMigrationSpread * time.Duration(late) / time.Duration(len(moves))
			time.AfterFunc(wait, func() { (*tell)(m) })
		}
	}
	for tell, list := range atOnce {
		// An entry that does not take what it is told holds up nobody else.
		go func() {
			for _, m := range list {
				(*tell)(m)
			}
		}()
	}
}

// onMigrations has a function called with the attempts of an entry that are to move, until
// stop is called or another function takes its place.
func (s *Scheduler) onMigrations(entry string, tell func(migration)) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyMove[entry] = &tell
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.notifyMove[entry] == &tell {
			delete(s.notifyMove, entry)
		}
	}
}
