// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// The measures of a ban.
const (
	// crashesTolerated is how many endpoints a request crashes, one after the other, until it
	// is banned. One crash or two are often another's fault: up to fifteen answers broke off
	// with each engine of the incident that this guards against, in which one request went on
	// to crash 49.
	crashesTolerated = 3
	// banFirst is how long a first ban lasts. Callers of a request that crashes endpoints have
	// given up by then as a rule, and one that is banned wrongly waits no longer.
	banFirst = 2 * time.Minute
	// banGrowth is how many times as long each further ban lasts, and banLongest the longest:
	// a request that comes for days costs an endpoint on each.
	banGrowth  = 10
	banLongest = 24 * time.Hour
	// rememberedFor is how long a ban is remembered at least once it is over: a request whose
	// caller comes back each few minutes costs one endpoint then, and not three again.
	rememberedFor = time.Hour
	// suspectFor is how long a suspect is remembered after its last crash: much longer than
	// callers take to come back.
	suspectFor = 10 * time.Minute
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
	// length is how long it was as a whole.
	length time.Duration
	times  int
	// trying states that this instance has a request of the identity under way after the
	// ban.
	trying bool
	// tryFrom is from when the next such one may run; zero until that was asked for.
	tryFrom time.Time
	// decided is when this instance decided on it by what it counted; zero when another one
	// did.
	decided time.Time
	// recorded states that the platform's store has it.
	recorded bool
}

// active states whether the ban is in force.
func (b *ban) active(now time.Time) bool {
	return now.Before(b.until)
}

// forgetAt is until when the ban is remembered.
func (b *ban) forgetAt() time.Time {
	return b.until.Add(max(b.length, rememberedFor))
}

// Book is what one instance knows of requests that crash endpoints. It is safe for use by
// several goroutines.
type Book struct {
	now  func() time.Time
	turn func(Identity) Turn
	log  logr.Logger

	mu       sync.Mutex
	suspects map[Identity]*suspect
	bans     map[Identity]*ban
	// ends are the latest ends of endpoints, by address.
	ends map[string]*end
	// erase are the identities whose record in the store is to go, as they were cleared.
	erase map[Identity]time.Time
	// tell are those who hear of verdicts.
	tell map[*func(Verdict)]struct{}
	// changed gets a value when the store may have to be written to.
	changed chan struct{}
	// figures count what happened.
	figures Figures
}

// Figures are what a book counts.
type Figures struct {
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
func New(now func() time.Time, turn func(Identity) Turn, log logr.Logger) *Book {
	if turn == nil {
		turn = func(Identity) Turn { return Turn{} }
	}
	return &Book{
		now:      now,
		turn:     turn,
		log:      log,
		suspects: make(map[Identity]*suspect),
		bans:     make(map[Identity]*ban),
		ends:     make(map[string]*end),
		erase:    make(map[Identity]time.Time),
		tell:     make(map[*func(Verdict)]struct{}),
		changed:  make(chan struct{}, 1),
	}
}

// OnVerdict has a function called with each verdict that is new to this instance, until stop
// is called. It must not call the book.
func (b *Book) OnVerdict(tell func(Verdict)) (stop func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tell[&tell] = struct{}{}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.tell, &tell)
	}
}

// Report takes over a crash. It counts a moment later, once it is known what else ended then.
func (b *Book) Report(c Crash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.figures.Crashes++
	e := b.endOf(c, now)
	if old := b.remembered(c.Identity, now); old != nil && c.Began.Before(old.until) {
		// Its attempt began before the ban was known everywhere.
		return
	}
	if b.suspect(c.Identity, now).extend(c, e) {
		time.AfterFunc(SettleAfter, func() { b.settle(c.Identity, c.Attempt) })
	}
}

// remembered returns the ban of an identity, in force or over, while it is remembered. The
// caller holds the lock, as for the functions below.
func (b *Book) remembered(id Identity, now time.Time) *ban {
	one := b.bans[id]
	if one == nil || now.After(one.forgetAt()) {
		return nil
	}
	return one
}

// suspect returns the suspect of an identity, a new one if none is remembered.
func (b *Book) suspect(id Identity, now time.Time) *suspect {
	s := b.suspects[id]
	if s == nil || now.Sub(s.at) > suspectFor {
		if len(b.suspects) >= maxSuspects {
			b.forgetSuspects(now)
		}
		s = &suspect{}
		b.suspects[id] = s
	}
	s.at = now
	return s
}

// ban bans an identity, for longer than the time before.
func (b *Book) ban(id Identity, now time.Time) {
	b.explain(b.suspects[id])
	length, times := banFirst, 1
	if old := b.remembered(id, now); old != nil {
		length, times = min(old.length*banGrowth, banLongest), old.times+1
	}
	b.put(id, &ban{
		until:   now.Add(length),
		length:  length,
		times:   times,
		decided: now,
	}, now)
	b.log.Info("request is banned", "identity", id.String(), "for_ms", length.Milliseconds(), "times", times)
	b.told(Verdict{
		Identity: id,
		State:    Banned,
		For:      length,
		Times:    times,
	})
	b.changes()
}

// put keeps a ban.
func (b *Book) put(id Identity, one *ban, now time.Time) {
	if len(b.bans) >= maxBans {
		b.forgetBans(now)
	}
	b.bans[id] = one
	delete(b.suspects, id)
	delete(b.erase, id)
}

// told tells all who want to hear of a verdict.
func (b *Book) told(v Verdict) {
	for tell := range b.tell {
		(*tell)(v)
	}
}

// changes notes that the store may have to be written to.
func (b *Book) changes() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// Served notes a whole answer: requests of the identity don't crash each endpoint that runs
// them. It returns whether anything was thought of them.
func (b *Book) Served(id Identity) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clear(id)
}

// clear ends what is thought of an identity, and returns whether there was anything.
func (b *Book) clear(id Identity) bool {
	s, one := b.suspects[id], b.bans[id]
	if s == nil && one == nil {
		return false
	}
	delete(b.suspects, id)
	delete(b.bans, id)
	b.figures.Cleared++
	b.log.Info("request is cleared", "identity", id.String(), "banned", one != nil)
	if one != nil && (one.recorded || !one.decided.IsZero()) {
		b.erase[id] = b.now()
		b.changes()
	}
	b.told(Verdict{
		Identity: id,
		State:    Cleared,
	})
	return true
}

// Learn takes over a verdict of another instance.
func (b *Book) Learn(v Verdict) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	switch v.State {
	case Cleared:
		b.clear(v.Identity)
	case Suspected:
		b.suspect(v.Identity, now)
	case Banned:
		if b.learnBan(v, now) {
			b.told(v)
		}
	}
}

// sameBan is the difference up to which two instances mean the same ban: the way of a
// verdict, and that each counts from when it heard.
const sameBan = 10 * time.Second

// learnBan takes over a ban that is new or longer than what is known, and returns whether it
// did.
func (b *Book) learnBan(v Verdict, now time.Time) bool {
	length := min(v.For, banLongest)
	until := now.Add(length)
	if old := b.bans[v.Identity]; old != nil && !until.After(old.until.Add(sameBan)) {
		return false
	}
	if length <= 0 {
		return false
	}
	b.put(v.Identity, &ban{
		until:  until,
		length: length,
		times:  v.Times,
	}, now)
	b.log.Info("request is banned", "identity", v.Identity.String(), "for_ms", length.Milliseconds(), "times", v.Times,
		"by", "another instance")
	return true
}

// Suspected states whether anything is thought of an identity.
func (b *Book) Suspected(id Identity) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects[id] != nil || b.bans[id] != nil
}

// Counting states whether crashes of an identity are being counted.
func (b *Book) Counting(id Identity) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects[id] != nil
}

// Barred states whether requests of an identity must not run, and for how much longer.
func (b *Book) Barred(id Identity) (time.Duration, bool) {
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
func (b *Book) Verdicts() []Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var out []Verdict
	for id, one := range b.bans {
		if one.active(now) {
			out = append(out, Verdict{
				Identity: id,
				State:    Banned,
				For:      one.until.Sub(now),
				Times:    one.times,
			})
		}
	}
	for id, s := range b.suspects {
		if s.settled() >= crashesTolerated-1 {
			out = append(out, Verdict{
				Identity: id,
				State:    Suspected,
			})
		}
	}
	return out
}

// Figures returns what was counted.
func (b *Book) Figures() Figures {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.figures
	now := b.now()
	f.Suspects = len(b.suspects)
	for _, one := range b.bans {
		if one.active(now) {
			f.Bans++
		}
	}
	return f
}
