// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// The conditions and durations of bans.
const (
	// crashLimit is how many consecutive crashes ban an identity. One or two can happen to a
	// harmless request that runs beside the one that crashes its endpoints.
	crashLimit = 3
	// firstBanDuration is the length of a first ban: callers have usually given up by then, and a
	// wrong ban ends soon.
	firstBanDuration = 2 * time.Minute
	// banGrowthFactor is the ratio of the lengths of successive bans, up to maxBanDuration, so that
	// a request that returns for days rarely crashes an endpoint.
	banGrowthFactor = 10
	maxBanDuration  = 24 * time.Hour
	// minBanRetention is the least time for which an expired ban is kept, so that a request that
	// returns within it is banned again after one crash.
	minBanRetention = time.Hour
	// maxRecentAnswers bounds the parts whose last answers are kept.
	maxRecentAnswers = 8192
	// suspectRetention is the time after the last report of a suspect from which its next crash
	// starts a new count: much longer than callers take to retry.
	suspectRetention = 10 * time.Minute
)

// The capacity of a registry.
const (
	// maxSuspects is enough for the requests that were running in a failure domain that is lost.
	maxSuspects = 4096
	// maxBans limits the size of the messages that inform a starting instance of the bans.
	maxBans = 512
)

// ban is a ban of an identity. It is kept for some time after it has expired, so that the next one
// lasts longer.
type ban struct {
	until time.Time
	// duration is the full length of the ban.
	duration time.Duration
	count    int
	// retestRunning reports whether this instance runs a request of the identity after the ban.
	retestRunning bool
	// retestFrom is when this instance may next admit a request of the identity; zero until a
	// request first asks for it after the ban.
	retestFrom time.Time
	// decidedAt is when this instance decided on the ban; zero if it learned of it from another
	// instance or the store.
	decidedAt time.Time
	// since is when the first of the crashes that led to the ban of a part ended. If this instance
	// doesn't know that, it is when it learned of the ban.
	since time.Time
	// recorded reports whether the platform's store has the ban.
	recorded bool
}

// active reports whether the ban is in force.
func (b *ban) active(now time.Time) bool {
	return now.Before(b.until)
}

// retainUntil returns the time until which the ban is kept.
func (b *ban) retainUntil() time.Time {
	return b.until.Add(max(b.duration, minBanRetention))
}

// Registry holds what one instance knows of requests that crash endpoints. It is safe for
// concurrent use.
type Registry struct {
	now  func() time.Time
	deps Dependencies
	log  logr.Logger

	mu       sync.Mutex
	suspects map[Identity]*suspect
	bans     map[Identity]*ban
	// ends are the latest ends of endpoints, by address.
	ends map[string]*endpointEnd
	// pendingErasures are the identities whose bans must be erased from the store, with the time
	// when each was cleared or evicted.
	pendingErasures map[Identity]time.Time
	// listeners are the functions added by OnVerdict.
	listeners map[*func(Verdict)]struct{}
	// changed receives a value when the store may need to be written to.
	changed chan struct{}
	// answers has the time at which the latest answered attempt with each part was started, and
	// answersPurgedAt is when old ones were last dropped. createdAt is when the registry was created.
	answers         map[Identity]time.Time
	answersPurgedAt time.Time
	createdAt       time.Time
	// recentAnswers has the last answered attempts with parts, the oldest first.
	recentAnswers []recentAnswer
	stats         Stats
}

// Stats are the counters of a registry.
type Stats struct {
	// Crashes counts the reported crashes, Counted those that extended a series of consecutive
	// crashes, and Common those that were attributed to another cause.
	Crashes int `json:"crashes"`
	Counted int `json:"counted"`
	Common  int `json:"common"`
	// Suspects and Bans are the present numbers of suspects and of bans in force; Refused counts
	// the requests that were not admitted.
	Suspects int `json:"suspects"`
	Bans     int `json:"bans"`
	Refused  int `json:"refused"`
	// Cleared counts the identities that were suspected or banned and then cleared.
	Cleared int `json:"cleared"`
}

// Dependencies are the functions that a registry uses. Each may be nil.
type Dependencies struct {
	// Turn returns the position of this instance in the order in which instances admit requests of
	// an identity after its ban. Without it there are no other instances.
	Turn func(Identity) RetestTurn
	// Survey returns the endpoints beside the one at the given address that have
	// ended since a given time, whether or not they ran requests. It may take some time. Without
	// it, an end is known only from the requests that it interrupted.
	Survey func(address string, since time.Time) []EndedEndpoint
	// AnswersKnownSince returns the time since which answers are known to this instance or to those
	// that report them when a part is suspected. Without it, that is the creation of the registry.
	AnswersKnownSince func() time.Time
}

// New returns an empty registry. The function now returns the time.
func New(now func() time.Time, deps Dependencies, log logr.Logger) *Registry {
	if deps.Turn == nil {
		deps.Turn = func(Identity) RetestTurn { return RetestTurn{} }
	}
	return &Registry{
		now:             now,
		deps:            deps,
		log:             log,
		suspects:        make(map[Identity]*suspect),
		bans:            make(map[Identity]*ban),
		ends:            make(map[string]*endpointEnd),
		pendingErasures: make(map[Identity]time.Time),
		listeners:       make(map[*func(Verdict)]struct{}),
		changed:         make(chan struct{}, 1),
		answers:         make(map[Identity]time.Time),
		createdAt:       now(),
	}
}

// OnVerdict calls the listener, until stop is called, with the verdicts that this instance decides,
// with new bans and clearances from other instances, and with clearances that SyncStored finds. It
// does not report bans that SyncStored adds, nor suspicions received from others. The listener must
// not call the registry, whose lock is held meanwhile.
func (r *Registry) OnVerdict(listener func(Verdict)) (stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners[&listener] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.listeners, &listener)
	}
}

// ReportCrash records a crash. Whether it counts is decided after SettleDelay, when the other
// endpoints that ended at the same moment are known.
func (r *Registry) ReportCrash(c Crash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.stats.Crashes++
	end := r.recordEnd(c, now)
	if !r.startedDuringBan(c.Identity, c, now) && r.suspectFor(c.Identity, now).extend(c, end) {
		time.AfterFunc(SettleDelay, func() { r.settle(c.Identity, c.Attempt) })
	}
	var extended []Identity
	for _, part := range c.Parts {
		// An attempt that was started after the end and has been answered shows that the part isn't the
		// cause. The report may come late, from an instance that was suspended or has a new owner.
		if r.answers[part].After(end.at) || r.startedDuringBan(part, c, now) {
			continue
		}
		if r.partSuspectFor(part, now).extendPart(c, end) {
			extended = append(extended, part)
		}
	}
	if len(extended) > 0 {
		time.AfterFunc(SettleDelay, func() { r.settleParts(extended, end) })
	}
}

// startedDuringBan reports whether the attempt of a crash started before the end of a ban, which it
// doesn't prolong then. The caller must hold the lock.
func (r *Registry) startedDuringBan(id Identity, c Crash, now time.Time) bool {
	old := r.retainedBan(id, now)
	return old != nil && c.StartedAt.Before(old.until)
}

// retainedBan returns the ban of an identity, in force or expired, unless its retention time is
// over. The caller must hold the lock.
func (r *Registry) retainedBan(id Identity, now time.Time) *ban {
	b := r.bans[id]
	if b == nil || now.After(b.retainUntil()) {
		return nil
	}
	return b
}

// suspectFor returns the suspect of an identity, which it creates if there is none or the old one
// has expired. The caller must hold the lock.
func (r *Registry) suspectFor(id Identity, now time.Time) *suspect {
	s := r.suspects[id]
	if s == nil || now.Sub(s.lastSeen) > suspectRetention {
		if len(r.suspects) >= maxSuspects {
			r.evictSuspects(now)
		}
		s = &suspect{}
		r.suspects[id] = s
	}
	s.lastSeen = now
	return s
}

// ban bans the identity of a suspect, for longer than its previous ban if that is still kept. The
// caller must hold the lock.
func (r *Registry) ban(id Identity, now time.Time) {
	s := r.suspects[id]
	r.dropExplained(s)
	length, times := firstBanDuration, 1
	if old := r.retainedBan(id, now); old != nil {
		length, times = min(old.duration*banGrowthFactor, maxBanDuration), old.count+1
	}
	r.storeBan(id, &ban{
		until:     now.Add(length),
		duration:  length,
		count:     times,
		decidedAt: now,
		since:     s.since(),
	}, now)
	r.log.Info("request is banned", "identity", id.String(), "part", s.part, "for_ms", length.Milliseconds(), "times", times)
	r.notifyListeners(Verdict{
		Identity:  id,
		Part:      s.part,
		State:     Banned,
		Remaining: length,
		BanCount:  times,
	})
	r.signalChange()
}

// storeBan keeps a ban in place of the identity's suspect. The caller must hold the lock.
func (r *Registry) storeBan(id Identity, b *ban, now time.Time) {
	if len(r.bans) >= maxBans {
		r.evictBans(now)
	}
	r.bans[id] = b
	delete(r.suspects, id)
	delete(r.pendingErasures, id)
}

// notifyListeners calls all listeners with a verdict. The caller must hold the lock.
func (r *Registry) notifyListeners(v Verdict) {
	for listener := range r.listeners {
		(*listener)(v)
	}
}

// signalChange wakes the recorder, as the store may need to be written to.
func (r *Registry) signalChange() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// ReportAnswered records a complete answer to an attempt that was started at the given time. It
// proves that the request doesn't always crash its endpoint, and clears its identity. What it proves
// of the parts is described at answeredPart. It returns the verdicts that the instances which count
// crashes need to know.
func (r *Registry) ReportAnswered(k Keys, startedAt time.Time) []Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Verdict
	if r.clear(k.Request) {
		out = append(out, Verdict{
			Identity: k.Request,
			State:    Cleared,
		})
	}
	return append(out, r.answeredParts(k.Parts, startedAt)...)
}

// ReportProgress records that an attempt which was started at the given time has written so much of
// its answer that the parts don't crash endpoints which begin to answer. It returns the verdicts that
// the instances which count crashes need to know.
func (r *Registry) ReportProgress(parts []Identity, startedAt time.Time) []Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answeredParts(parts, startedAt)
}

// clear removes the suspect and the ban of an identity, and reports whether there was either. The
// caller must hold the lock.
func (r *Registry) clear(id Identity) bool {
	s, b := r.suspects[id], r.bans[id]
	if s == nil && b == nil {
		return false
	}
	delete(r.suspects, id)
	delete(r.bans, id)
	r.stats.Cleared++
	r.log.Info("request is cleared", "identity", id.String(), "banned", b != nil)
	if b != nil && (b.recorded || !b.decidedAt.IsZero()) {
		r.pendingErasures[id] = r.now()
		r.signalChange()
	}
	r.notifyListeners(Verdict{
		Identity: id,
		State:    Cleared,
	})
	return true
}

// ApplyVerdict applies a verdict of another instance.
func (r *Registry) ApplyVerdict(v Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	switch v.State {
	case Cleared:
		if v.Part && !v.StartedAt.IsZero() {
			r.answeredPart(v.Identity, v.StartedAt)
			return
		}
		r.clear(v.Identity)
	case Suspected:
		s := r.suspectFor(v.Identity, now)
		if v.Part {
			s.part, s.announcedSince = true, v.Since
		}
	case Banned:
		if r.applyBan(v, now) {
			r.notifyListeners(v)
		}
	}
}

// sameBanTolerance is by how much the end of a ban may differ between instances, as each counts the
// remaining time from when it received the verdict.
const sameBanTolerance = 10 * time.Second

// applyBan applies a ban with time remaining that is new, or that ends more than sameBanTolerance
// later than the known one. It reports whether it did. The caller must hold the lock.
func (r *Registry) applyBan(v Verdict, now time.Time) bool {
	length := min(v.Remaining, maxBanDuration)
	until := now.Add(length)
	if old := r.bans[v.Identity]; old != nil && !until.After(old.until.Add(sameBanTolerance)) {
		return false
	}
	if length <= 0 {
		return false
	}
	since := now
	if s := r.suspects[v.Identity]; s != nil && !s.since().IsZero() {
		since = s.since()
	}
	r.storeBan(v.Identity, &ban{
		until:    until,
		duration: length,
		count:    v.BanCount,
		since:    since,
	}, now)
	r.log.Info("request is banned", "identity", v.Identity.String(), "for_ms", length.Milliseconds(), "times", v.BanCount,
		"by", "another instance")
	return true
}

// Suspected reports whether a suspect or a ban, in force or expired, is known for one of the keys.
func (r *Registry) Suspected(k Keys) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range k.all {
		if r.suspects[id] != nil || r.bans[id] != nil {
			return true
		}
	}
	return false
}

// HasSuspect reports whether crashes of an identity are being counted.
func (r *Registry) HasSuspect(id Identity) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspects[id] != nil
}

// BanOf returns the ban in force for one of the keys that ends last, or nil.
func (r *Registry) BanOf(k Keys) *Ban {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out *Ban
	for id, part := range k.all {
		b := r.bans[id]
		if b == nil || !b.active(now) {
			continue
		}
		if left := b.until.Sub(now); out == nil || left > out.Remaining {
			out = &Ban{
				Identity:  id,
				Part:      part,
				Remaining: left,
			}
		}
	}
	return out
}

// Verdicts returns what another instance that starts needs to know: the bans in force, and the
// suspects that are one crash short of a first ban.
func (r *Registry) Verdicts() []Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out []Verdict
	for id, b := range r.bans {
		if b.active(now) {
			out = append(out, Verdict{
				Identity:  id,
				State:     Banned,
				Remaining: b.until.Sub(now),
				BanCount:  b.count,
			})
		}
	}
	for id, s := range r.suspects {
		if s.settledCount() >= crashLimit-1 {
			out = append(out, suspicion(id, s))
		}
	}
	return out
}

// suspicion returns the verdict that makes instances report answers to requests of a suspect.
func suspicion(id Identity, s *suspect) Verdict {
	v := Verdict{
		Identity: id,
		State:    Suspected,
	}
	if s.part {
		v.Part, v.Since = true, s.since()
	}
	return v
}

// Stats returns the counters and the present numbers of suspects and bans.
func (r *Registry) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.stats
	now := r.now()
	f.Suspects = len(r.suspects)
	for _, b := range r.bans {
		if b.active(now) {
			f.Bans++
		}
	}
	return f
}
