// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/linkmast/linkmast/placement"
)

// Parameters of the detection of stopped endpoints.
const (
	// An entry instance reports a stream as silent after MinSuspectSilence or SuspectGapFactor
	// times the stream's usual pause, whichever is longer. A pass that prefills prompts may take as
	// long as MinSuspectSilence, and an engine that has become three times slower stays below
	// SuspectGapFactor.
	MinSuspectSilence = 200 * time.Millisecond
	SuspectGapFactor  = 4
	// suspicionTTL is how long a report of silence counts. While the silence lasts, it is repeated
	// every MinSuspectSilence.
	suspicionTTL = 300 * time.Millisecond
	// Lateness is how much later than predicted a first event is. The attempt counts as late if its
	// lateness is at least minDoubtLateness and at least the predicted time. It counts as silent if
	// its lateness is at least minSilentLateness and at least silentLatenessFactor times the
	// predicted time.
	minSilentLateness    = 400 * time.Millisecond
	silentLatenessFactor = 2
	minDoubtLateness     = 150 * time.Millisecond
	// longPrefillThreshold is the least predicted time to the first event of a long prefill, during
	// which other streams of the engine may be silent.
	longPrefillThreshold = 250 * time.Millisecond
	// confirmQuorum is how many instances must have silent attempts on an endpoint for it to be
	// verified, and excluded if it does not answer. An endpoint that only one instance doubts gets
	// no new requests if doubtQuorum instances have doubts about any endpoint. Both guard against a
	// fault in the network of a single instance.
	confirmQuorum = 2
	doubtQuorum   = 3
	// evaluateInterval is the least time since the last evaluation at which a new request triggers
	// another one.
	evaluateInterval = 10 * time.Millisecond
	// lateMigrationSpread is the time over which the migrations of attempts that are late already
	// are spread. Their callers wait for at least two seconds, of which about half a second has
	// passed.
	lateMigrationSpread = 600 * time.Millisecond
)

// SilenceMonitor receives reports of silent streams and orders the migration of attempts to other
// endpoints.
type SilenceMonitor interface {
	// ReportSilence reports that an attempt has been silent for longer than usual.
	ReportSilence(id, service string, silence time.Duration)
	// OnMigrate registers a function that is called, in another goroutine, when the attempt has to
	// migrate. A call may still come shortly after stop has returned.
	OnMigrate(id string, migrate func()) (stop func())
}

// suspicion is the state of the detection of stopped endpoints. The zero value is ready for use.
type suspicion struct {
	// evaluatedAt is the time of the last evaluation, and doubted has the endpoints that were in
	// doubt then. They get no new requests while others are usable.
	evaluatedAt time.Time
	doubted     map[string]bool
	// reports counts the reports of silence, excluded the endpoints excluded because their attempts
	// were silent, and migrated the attempts ordered to migrate.
	reports  int
	excluded int
	migrated int
}

// migration orders an entry instance to migrate an attempt.
type migration struct {
	entry   string
	id      string
	service string
	// endpoint is the stopped endpoint, and dueIn the time left until the attempt's next event is
	// late.
	endpoint string
	dueIn    time.Duration
	// joint is set during a joint prefill of the attempt's prompt.
	joint bool
}

// signal is what an attempt indicates about the health of its endpoint.
type signal int

// Signals of attempts.
const (
	// signalNone indicates nothing, as when the silence has another likely cause.
	signalNone signal = iota
	// signalAlive comes from a watched stream that is not reported as silent.
	signalAlive
	// signalLate comes from an attempt whose first event is late, but not late enough for
	// signalSilent.
	signalLate
	// signalSilent comes from an attempt whose next event is long overdue.
	signalSilent
)

// endpointSignals has the entry instances of the attempts on an endpoint, by signal. An instance
// may have attempts with different signals.
type endpointSignals struct {
	silent map[string]bool
	late   map[string]bool
	alive  map[string]bool
}

// watched reports whether the entry instance is expected to report the attempt when it is silent:
// it is the first send of a stream with a Gap. In fact the entry instance reports only streams that
// another endpoint may resume, but a placement request doesn't tell which these are.
func (a *PlacementRequest) watched() bool {
	return a.Gap > 0 && !a.Retry
}

// ReportSilence records that an attempt is silent, as its entry instance reports, and evaluates the
// endpoints of the pool.
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
	p.suspicion.reports++
	s.evaluateSuspicions(p, service, now)
}

// evaluateSuspicions determines which endpoints are in doubt, and verifies those on which enough
// instances have silent attempts. The caller must hold s.mu.
func (s *Scheduler) evaluateSuspicions(p *poolState, service string, now time.Time) {
	p.suspicion.evaluatedAt = now
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

// evaluateIfDue calls evaluateSuspicions unless that was done within evaluateInterval. The caller
// must hold s.mu.
func (s *Scheduler) evaluateIfDue(p *poolState, service string, now time.Time) {
	if p.plain || now.Sub(p.suspicion.evaluatedAt) < evaluateInterval {
		return
	}
	s.evaluateSuspicions(p, service, now)
}

// collectSignals returns the signals for each endpoint, and the number of entry instances that have
// doubts about any endpoint.
func (p *poolState) collectSignals(now time.Time) (map[string]*endpointSignals, int) {
	seen := make(map[string]*endpointSignals)
	entries := make(map[string]bool)
	for id, at := range p.attempts {
		s := p.signalOf(id, at, now)
		if s == signalNone || at.entry == "" {
			continue
		}
		t := seen[at.endpoint]
		if t == nil {
			t = &endpointSignals{
				silent: make(map[string]bool),
				late:   make(map[string]bool),
				alive:  make(map[string]bool),
			}
			seen[at.endpoint] = t
		}
		t.add(s, at.entry)
		if s != signalAlive {
			entries[at.entry] = true
		}
	}
	return seen, len(entries)
}

// add adds the signal of an attempt of an entry instance.
func (t *endpointSignals) add(s signal, entry string) {
	switch s {
	case signalSilent:
		t.silent[entry] = true
	case signalLate:
		t.late[entry] = true
	case signalAlive:
		t.alive[entry] = true
	case signalNone:
	}
}

// signalOf returns the signal of an attempt.
func (p *poolState) signalOf(id string, at *attempt, now time.Time) signal {
	if at.begun {
		return p.streamSignalOf(id, at, now)
	}
	late := now.Sub(at.placedAt) - at.predictedFirst
	switch {
	case late < minDoubtLateness || late < at.predictedFirst || len(at.helpers) > 0:
		return signalNone
	case p.silenceExplained(id, at, late, now):
		return signalNone
	case late >= max(minSilentLateness, silentLatenessFactor*at.predictedFirst):
		return signalSilent
	}
	return signalLate
}

// streamSignalOf returns the signal of an attempt whose first event has come.
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

// silenceExplained reports whether the silence of an attempt has a likely cause other than a
// stopped endpoint: by the model, one of its engines is still prefilling its prompt or running a
// pass that began no later than the silence, or a long prefill may be running on one of them.
func (p *poolState) silenceExplained(id string, at *attempt, silence time.Duration, now time.Time) bool {
	if _, explained := p.expectedWait(id, at, silence, now); explained {
		return true
	}
	for _, name := range at.endpoints() {
		e := p.engines[name]
		if e == nil {
			continue
		}
		for _, j := range e.Jobs {
			if p.mayPrefill(j, now) {
				return true
			}
		}
	}
	return false
}

// mayPrefill reports whether a job is a long prefill that may still be running. It may exceed its
// predicted time by half, or by minSilentLateness if that is longer.
func (p *poolState) mayPrefill(j *placement.Job, now time.Time) bool {
	at := p.attempts[j.ID]
	if at == nil || at.begun || at.predictedFirst < longPrefillThreshold {
		return false
	}
	return now.Before(at.placedAt.Add(at.predictedFirst + max(minSilentLateness, at.predictedFirst/2)))
}

// confirmed reports whether enough instances have silent attempts on the endpoint, and none has a
// live stream from it.
func (t *endpointSignals) confirmed() bool {
	return len(t.silent) >= confirmQuorum && len(t.alive) == 0
}

// inDoubt reports whether the endpoint should get no new requests for now. Entries is the number of
// instances that have doubts about any endpoint.
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

// doubt marks an endpoint as in doubt until the next evaluation.
func (x *suspicion) doubt(endpoint string) {
	if x.doubted == nil {
		x.doubted = make(map[string]bool)
	}
	x.doubted[endpoint] = true
}

// handleStopped excludes an endpoint that has stopped and migrates its attempts, unless one of its
// streams is alive. Silent is the number of instances with silent attempts there. The caller must
// hold s.mu.
func (s *Scheduler) handleStopped(p *poolState, service, endpoint string, silent int, now time.Time) {
	h := p.health[endpoint]
	if h == nil || !h.usable(now) || p.hasLiveStream(endpoint, now) {
		return
	}
	s.exclude(p, service, endpoint, now)
	p.suspicion.excluded++
	s.checkAll(p, service, endpoint, now)
	n := s.migrateAll(p, service, endpoint, now)
	s.log.Info("endpoint suspected", "service", service, "endpoint", endpoint, "silent_for", silent, "moved", n)
}

// handleUnreachable excludes an endpoint and migrates its attempts, after one instance reported a
// failure of it and another one then could not connect to it. It does nothing if a stream from
// there is alive, since an overloaded endpoint refuses connections, too. The caller must hold s.mu.
func (s *Scheduler) handleUnreachable(p *poolState, service, endpoint string, now time.Time) {
	if p.plain || p.hasLiveStream(endpoint, now) {
		return
	}
	s.exclude(p, service, endpoint, now)
	s.checkAll(p, service, endpoint, now)
	if n := s.migrateAll(p, service, endpoint, now); n > 0 {
		s.log.Info("endpoint unreachable", "service", service, "endpoint", endpoint, "moved", n)
	}
}

// migrateAll orders the migration of all attempts that an endpoint serves or prefills for, and
// returns their number. Attempts that can still be in time go first, the most urgent ones before
// the others. The caller must hold s.mu.
func (s *Scheduler) migrateAll(p *poolState, service, stopped string, now time.Time) int {
	var out []migration
	for id, at := range p.attempts {
		if at.migrating || at.entry == "" || !slices.Contains(at.endpoints(), stopped) {
			continue
		}
		at.migrating = true
		out = append(out, migration{
			entry:    at.entry,
			id:       id,
			service:  service,
			endpoint: stopped,
			dueIn:    at.dueIn(now),
			joint:    len(at.helpers) > 0 && !at.begun,
		})
	}
	slices.SortFunc(out, func(a, b migration) int {
		return cmp.Or(cmp.Compare(a.sortKey(), b.sortKey()), cmp.Compare(a.id, b.id))
	})
	p.suspicion.migrated += len(out)
	s.sendMigrations(out)
	return len(out)
}

// sortKey returns the time left until the next event is late, or the maximum if it is late already.
func (m *migration) sortKey() time.Duration {
	if m.dueIn <= 0 {
		return math.MaxInt64
	}
	return m.dueIn
}

// dueIn returns the time left until the attempt's next event is late. For a stream without a recent
// report of silence, this is its whole gap.
func (at *attempt) dueIn(now time.Time) time.Duration {
	if !at.begun {
		return at.workload.targetAt.Sub(now)
	}
	if now.Sub(at.suspectedAt) > suspicionTTL {
		return at.workload.gap
	}
	return at.silentSince.Add(at.workload.gap).Sub(now)
}

// sendMigrations sends migrations to the entry instances. Those of attempts that are not late yet,
// or are in a joint prefill, are sent at once. The others are spread over lateMigrationSpread, so
// that their prompts are not all prefilled at the expense of the other engines' streams. Migrations
// to an entry instance that is not connected are dropped. The caller must hold s.mu.
func (s *Scheduler) sendMigrations(migrations []migration) {
	atOnce := make(map[*func(migration)][]migration)
	late := 0
	for _, m := range migrations {
		send := s.notifyMigrate[m.entry]
		switch {
		case send == nil:
		case m.dueIn > 0 || m.joint:
			atOnce[send] = append(atOnce[send], m)
		default:
			late++
			wait := lateMigrationSpread * time.Duration(late) / time.Duration(len(migrations))
			time.AfterFunc(wait, func() { (*send)(m) })
		}
	}
	for send, list := range atOnce {
		// A slow entry instance must not delay the others.
		go func() {
			for _, m := range list {
				(*send)(m)
			}
		}()
	}
}

// onMigrations registers the function that sends migrations to an entry instance, in place of an
// earlier one. Calling stop removes the function.
func (s *Scheduler) onMigrations(entry string, send func(migration)) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyMigrate[entry] = &send
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.notifyMigrate[entry] == &send {
			delete(s.notifyMigrate, entry)
		}
	}
}
