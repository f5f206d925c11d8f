// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// The measures of a ban.
const (
	// crashLimit is how many endpoints a request crashes, one after the other, until it
	// is banned. One crash or two are often another's fault: up to fifteen answers broke off
	// with each engine of the incident that this guards against, in which one request went on
	// to crash 49.
	crashLimit = 3
	// firstBanDuration is how long a first ban lasts. Callers of a request that crashes endpoints have
	// given up by then as a rule, and one that is banned wrongly waits no longer.
	firstBanDuration = 2 * time.Minute
	// banGrowthFactor is how many times as long each further ban lasts, and banLongest the longest:
	// a request that comes for days costs an endpoint on each.
	banGrowthFactor = 10
	maxBanDuration  = 24 * time.Hour
	// minBanRetention is how long a ban is remembered at least once it is over: a request whose
	// caller comes back each few minutes costs one endpoint then, and not three again.
	minBanRetention = time.Hour
	// suspectRetention is how long a suspect is remembered after its last crash: much longer than
	// callers take to come back.
	suspectRetention = 10 * time.Minute
)

// The bounds of what is remembered. With both reached a book takes 1.6 MB.
const (
	// maxSuspects are those of the loss of a failure domain with some hundred engines.
	maxSuspects = 4096
	// maxBans is far above what callers were seen to send, and what is told to an instance
	// that starts stays below 20 KB.
	maxBans = 512
)

// ban is a ban, and for some time after it the memory of it.
type ban struct {
	until time.Time
	// duration is how long it was as a whole.
	duration time.Duration
	count    int
	// retestRunning states that this instance has a request of the identity under way after the
	// ban.
	retestRunning bool
	// retestFrom is from when the next such one may run; zero until that was asked for.
	retestFrom time.Time
	// decidedAt is when this instance decidedAt on it by what it counted; zero when another one
	// did.
	decidedAt time.Time
	// recorded states that the platform's store has it.
	recorded bool
}

// active states whether the ban is in force.
func (b *ban) active(now time.Time) bool {
	return now.Before(b.until)
}

// retainUntil is until when the ban is remembered.
func (b *ban) retainUntil() time.Time {
	return b.until.Add(max(b.duration, minBanRetention))
}

// Registry is what one instance knows of requests that crash endpoints. It is safe for use by
// several goroutines.
type Registry struct {
	now  func() time.Time
	turn func(Identity) RetestTurn
	log  logr.Logger

	mu       sync.Mutex
	suspects map[Identity]*suspect
	bans     map[Identity]*ban
	// ends are the latest ends of endpoints, by address.
	ends map[string]*endpointEnd
	// pendingErasures are the identities whose record in the store is to go, as they were cleared.
	pendingErasures map[Identity]time.Time
	// listeners are those who hear of verdicts.
	listeners map[*func(Verdict)]struct{}
	// changed gets a value when the store may have to be written to.
	changed chan struct{}
	// stats count what happened.
	stats Stats
}

// Stats are what a book counts.
type Stats struct {
	// Crashes counts the crashes that were reported, Counted those that followed the one
	// before, and Common those that would have but for another cause.
	Crashes int `json:"crashes"`
	Counted int `json:"counted"`
	Common  int `json:"common"`
	// Suspects and Bans are what is known now, and Refused counts the tries that were
	// refused.
	Suspects int `json:"suspects"`
	Bans     int `json:"bans"`
	Refused  int `json:"refused"`
	// Cleared counts the identities that an answer cleared.
	Cleared int `json:"cleared"`
}

// New returns an empty book. Now returns the time, and turn the place of this instance in showing
// whether requests of an identity still crash endpoints once their ban is over; nil stands for
// that of the only one.
func New(now func() time.Time, turn func(Identity) RetestTurn, log logr.Logger) *Registry {
	if turn == nil {
		turn = func(Identity) RetestTurn { return RetestTurn{} }
	}
	return &Registry{
		now:             now,
		turn:            turn,
		log:             log,
		suspects:        make(map[Identity]*suspect),
		bans:            make(map[Identity]*ban),
		ends:            make(map[string]*endpointEnd),
		pendingErasures: make(map[Identity]time.Time),
		listeners:       make(map[*func(Verdict)]struct{}),
		changed:         make(chan struct{}, 1),
	}
}

// OnVerdict has a function called with each verdict that is new to this instance, until stop
// is called. It must not call the book.
func (r *Registry) OnVerdict(tell func(Verdict)) (stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners[&tell] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.listeners, &tell)
	}
}

// ReportCrash takes over a crash. It counts a moment later, once it is known what else ended then.
func (r *Registry) ReportCrash(c Crash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.stats.Crashes++
	e := r.recordEnd(c, now)
	if old := r.retainedBan(c.Identity, now); old != nil && c.StartedAt.Before(old.until) {
		// Its attempt began before the ban was known everywhere.
		return
	}
	if r.suspectFor(c.Identity, now).extend(c, e) {
		time.AfterFunc(SettleDelay, func() { r.settle(c.Identity, c.Attempt) })
	}
}

// retainedBan returns the ban of an identity, in force or over, while it is retainedBan. The
// caller holds the lock, as for the functions below.
func (r *Registry) retainedBan(id Identity, now time.Time) *ban {
	b := r.bans[id]
	if b == nil || now.After(b.retainUntil()) {
		return nil
	}
	return b
}

// suspectFor returns the suspectFor of an identity, a new one if none is remembered.
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

// ban bans an identity, for longer than the time before.
func (r *Registry) ban(id Identity, now time.Time) {
	r.dropExplained(r.suspects[id])
	length, times := firstBanDuration, 1
	if old := r.retainedBan(id, now); old != nil {
		length, times = min(old.duration*banGrowthFactor, maxBanDuration), old.count+1
	}
	r.storeBan(id, &ban{
		until:     now.Add(length),
		duration:  length,
		count:     times,
		decidedAt: now,
	}, now)
	r.log.Info("request is banned", "identity", id.String(), "for_ms", length.Milliseconds(), "times", times)
	r.notifyListeners(Verdict{
		Identity:  id,
		State:     Banned,
		Remaining: length,
		BanCount:  times,
	})
	r.signalChange()
}

// storeBan keeps a ban.
func (r *Registry) storeBan(id Identity, b *ban, now time.Time) {
	if len(r.bans) >= maxBans {
		r.evictBans(now)
	}
	r.bans[id] = b
	delete(r.suspects, id)
	delete(r.pendingErasures, id)
}

// notifyListeners tells all who want to hear of a verdict.
func (r *Registry) notifyListeners(v Verdict) {
	for tell := range r.listeners {
		(*tell)(v)
	}
}

// signalChange notes that the store may have to be written to.
func (r *Registry) signalChange() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// ReportAnswered notes a whole answer: requests of the identity don't crash each endpoint that runs
// them. It returns whether anything was thought of them.
func (r *Registry) ReportAnswered(id Identity) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clear(id)
}

// clear ends what is thought of an identity, and returns whether there was anything.
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

// ApplyVerdict takes over a verdict of another instance.
func (r *Registry) ApplyVerdict(v Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	switch v.State {
	case Cleared:
		r.clear(v.Identity)
	case Suspected:
		r.suspectFor(v.Identity, now)
	case Banned:
		if r.applyBan(v, now) {
			r.notifyListeners(v)
		}
	}
}

// sameBanTolerance is the difference up to which two instances mean the same ban: the way of a
// verdict, and that each counts from when it heard.
const sameBanTolerance = 10 * time.Second

// applyBan takes over a ban that is new or longer than what is known, and returns whether it
// did.
func (r *Registry) applyBan(v Verdict, now time.Time) bool {
	length := min(v.Remaining, maxBanDuration)
	until := now.Add(length)
	if old := r.bans[v.Identity]; old != nil && !until.After(old.until.Add(sameBanTolerance)) {
		return false
	}
	if length <= 0 {
		return false
	}
	r.storeBan(v.Identity, &ban{
		until:    until,
		duration: length,
		count:    v.BanCount,
	}, now)
	r.log.Info("request is banned", "identity", v.Identity.String(), "for_ms", length.Milliseconds(), "times", v.BanCount,
		"by", "another instance")
	return true
}

// Suspected states whether anything is thought of an identity.
func (r *Registry) Suspected(id Identity) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspects[id] != nil || r.bans[id] != nil
}

// HasSuspect states whether crashes of an identity are being counted.
func (r *Registry) HasSuspect(id Identity) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspects[id] != nil
}

// BanRemaining states whether requests of an identity must not run, and for how much longer.
func (r *Registry) BanRemaining(id Identity) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bans[id]
	if b == nil {
		return 0, false
	}
	left := b.until.Sub(r.now())
	return left, left > 0
}

// Verdicts returns what another instance should know that has just come: bans, and who is
// suspected.
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
			out = append(out, Verdict{
				Identity: id,
				State:    Suspected,
			})
		}
	}
	return out
}

// Stats returns what was counted.
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
