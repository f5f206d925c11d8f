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
func (b *Registry) OnVerdict(tell func(Verdict)) (stop func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listeners[&tell] = struct{}{}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.listeners, &tell)
	}
}

// ReportCrash takes over a crash. It counts a moment later, once it is known what else ended then.
func (b *Registry) ReportCrash(c Crash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.stats.Crashes++
	e := b.recordEnd(c, now)
	if old := b.retainedBan(c.Identity, now); old != nil && c.StartedAt.Before(old.until) {
		// Its attempt began before the ban was known everywhere.
		return
	}
	if b.suspectFor(c.Identity, now).extend(c, e) {
		time.AfterFunc(SettleDelay, func() { b.settle(c.Identity, c.Attempt) })
	}
}

// retainedBan returns the ban of an identity, in force or over, while it is retainedBan. The
// caller holds the lock, as for the functions below.
func (b *Registry) retainedBan(id Identity, now time.Time) *ban {
	one := b.bans[id]
	if one == nil || now.After(one.retainUntil()) {
		return nil
	}
	return one
}

// suspectFor returns the suspectFor of an identity, a new one if none is remembered.
func (b *Registry) suspectFor(id Identity, now time.Time) *suspect {
	s := b.suspects[id]
	if s == nil || now.Sub(s.lastSeen) > suspectRetention {
		if len(b.suspects) >= maxSuspects {
			b.evictSuspects(now)
		}
		s = &suspect{}
		b.suspects[id] = s
	}
	s.lastSeen = now
	return s
}

// ban bans an identity, for longer than the time before.
func (b *Registry) ban(id Identity, now time.Time) {
	b.dropExplained(b.suspects[id])
	length, times := firstBanDuration, 1
	if old := b.retainedBan(id, now); old != nil {
		length, times = min(old.duration*banGrowthFactor, maxBanDuration), old.count+1
	}
	b.storeBan(id, &ban{
		until:     now.Add(length),
		duration:  length,
		count:     times,
		decidedAt: now,
	}, now)
	b.log.Info("request is banned", "identity", id.String(), "for_ms", length.Milliseconds(), "times", times)
	b.notifyListeners(Verdict{
		Identity:  id,
		State:     Banned,
		Remaining: length,
		BanCount:  times,
	})
	b.signalChange()
}

// storeBan keeps a ban.
func (b *Registry) storeBan(id Identity, one *ban, now time.Time) {
	if len(b.bans) >= maxBans {
		b.evictBans(now)
	}
	b.bans[id] = one
	delete(b.suspects, id)
	delete(b.pendingErasures, id)
}

// notifyListeners tells all who want to hear of a verdict.
func (b *Registry) notifyListeners(v Verdict) {
	for tell := range b.listeners {
		(*tell)(v)
	}
}

// signalChange notes that the store may have to be written to.
func (b *Registry) signalChange() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// ReportAnswered notes a whole answer: requests of the identity don't crash each endpoint that runs
// them. It returns whether anything was thought of them.
func (b *Registry) ReportAnswered(id Identity) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clear(id)
}

// clear ends what is thought of an identity, and returns whether there was anything.
func (b *Registry) clear(id Identity) bool {
	s, one := b.suspects[id], b.bans[id]
	if s == nil && one == nil {
		return false
	}
	delete(b.suspects, id)
	delete(b.bans, id)
	b.stats.Cleared++
	b.log.Info("request is cleared", "identity", id.String(), "banned", one != nil)
	if one != nil && (one.recorded || !one.decidedAt.IsZero()) {
		b.pendingErasures[id] = b.now()
		b.signalChange()
	}
	b.notifyListeners(Verdict{
		Identity: id,
		State:    Cleared,
	})
	return true
}

// ApplyVerdict takes over a verdict of another instance.
func (b *Registry) ApplyVerdict(v Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	switch v.State {
	case Cleared:
		b.clear(v.Identity)
	case Suspected:
		b.suspectFor(v.Identity, now)
	case Banned:
		if b.applyBan(v, now) {
			b.notifyListeners(v)
		}
	}
}

// sameBanTolerance is the difference up to which two instances mean the same ban: the way of a
// verdict, and that each counts from when it heard.
const sameBanTolerance = 10 * time.Second

// applyBan takes over a ban that is new or longer than what is known, and returns whether it
// did.
func (b *Registry) applyBan(v Verdict, now time.Time) bool {
	length := min(v.Remaining, maxBanDuration)
	until := now.Add(length)
	if old := b.bans[v.Identity]; old != nil && !until.After(old.until.Add(sameBanTolerance)) {
		return false
	}
	if length <= 0 {
		return false
	}
	b.storeBan(v.Identity, &ban{
		until:    until,
		duration: length,
		count:    v.BanCount,
	}, now)
	b.log.Info("request is banned", "identity", v.Identity.String(), "for_ms", length.Milliseconds(), "times", v.BanCount,
		"by", "another instance")
	return true
}

// Suspected states whether anything is thought of an identity.
func (b *Registry) Suspected(id Identity) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects[id] != nil || b.bans[id] != nil
}

// HasSuspect states whether crashes of an identity are being counted.
func (b *Registry) HasSuspect(id Identity) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects[id] != nil
}

// BanRemaining states whether requests of an identity must not run, and for how much longer.
func (b *Registry) BanRemaining(id Identity) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.bans[id]
	if one == nil {
		return 0, false
	}
	left := one.until.Sub(b.now())
	return left, left > 0
}

// Verdicts returns what another instance should know that has just come: bans, and who is
// suspected.
func (b *Registry) Verdicts() []Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var out []Verdict
	for id, one := range b.bans {
		if one.active(now) {
			out = append(out, Verdict{
				Identity:  id,
				State:     Banned,
				Remaining: one.until.Sub(now),
				BanCount:  one.count,
			})
		}
	}
	for id, s := range b.suspects {
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
func (b *Registry) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.stats
	now := b.now()
	f.Suspects = len(b.suspects)
	for _, one := range b.bans {
		if one.active(now) {
			f.Bans++
		}
	}
	return f
}
