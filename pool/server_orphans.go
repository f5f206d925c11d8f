// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"
)

// orphanSet is what an ended session had running.
type orphanSet struct {
	// attempts are its attempts by id, with their service, and mark is their orphan mark.
	attempts map[string]string
	mark     int64
}

// takeAttempts returns what the session has running, and keeps it no longer.
func (x *session) takeAttempts() map[string]string {
	x.mu.Lock()
	defer x.mu.Unlock()
	left := x.attempts
	x.attempts = nil
	return left
}

// register notes who is at the other end, unless the session has ended meanwhile, or its entry has
// given it up: nobody would end then what is begun here.
func (x *session) register(entry string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ending || x.stream.Context().Err() != nil {
		return
	}
	x.entry = entry
	x.server.registerSession(x)
}

// registerSession notes the newest session of an entry. An older one of it has ended, even where
// nothing showed that: what it had running is the entry's again once it says so. It is ended
// here, too. An owner that wakes may hear of two sessions in either order; the one that lives
// would else stand without being given a place, in one soak for 25 s until its end
// (TestLateHello), where its entry now opens another one.
func (s *Server) registerSession(x *session) {
	s.mu.Lock()
	old := s.sessions[x.entry]
	s.sessions[x.entry] = x
	s.mu.Unlock()
	if old != nil && old != x {
		old.replace()
		s.orphanAttempts(old)
	}
	x.stopMigrations = s.scheduler.onMigrations(x.entry, x.sendMigration)
	x.notifyChanges()
}

// sendMigration tells the entry of an attempt that is to move.
func (x *session) sendMigration(m migration) {
	if err := x.send(migrationMessage(&m)); err != nil {
		x.server.scheduler.log.V(1).Info("move not told", "entry", x.entry, "attempt", m.id, "cause", err.Error())
	}
}

// unregisterSession forgets an entry's session.
func (s *Server) unregisterSession(x *session) {
	if x.stopMigrations != nil {
		x.stopMigrations()
	}
	if x.stopNotifying != nil {
		x.stopNotifying()
	}
	s.mu.Lock()
	if s.sessions[x.entry] == x {
		delete(s.sessions, x.entry)
	}
	s.mu.Unlock()
	s.orphanAttempts(x)
}

// orphanAttempts marks what a session has running. It is forgotten when the entry is back and
// does not have it, at the latest after forgetAfter.
func (s *Server) orphanAttempts(x *session) {
	left := x.takeAttempts()
	if len(left) == 0 {
		return
	}
	s.scheduler.log.Info("session of an entry ended", "entry", x.entry, "running", len(left))
	mark := s.scheduler.markOrphans(left)
	s.mu.Lock()
	s.orphans[x.entry] = append(s.orphans[x.entry], orphanSet{
		attempts: left,
		mark:     mark,
	})
	s.mu.Unlock()
	time.AfterFunc(orphanTimeout, func() { s.expireOrphans(x.entry, mark) })
}

// endMissingOrphans forgets what the entry had running before and has no more: it has said all that
// it has. It guards against taking engines for filled, until forgetAfter, with streams
// that have ended with the session.
func (s *Server) endMissingOrphans(x *session) {
	s.mu.Lock()
	cut := s.orphans[x.entry]
	delete(s.orphans, x.entry)
	s.mu.Unlock()
	for _, c := range cut {
		s.scheduler.endOrphans(c.attempts, c.mark)
	}
}

// expireOrphans ends what a session had running if its entry is not back.
func (s *Server) expireOrphans(entry string, mark int64) {
	s.mu.Lock()
	i := slices.IndexFunc(s.orphans[entry], func(c orphanSet) bool { return c.mark == mark })
	if i < 0 {
		s.mu.Unlock()
		return
	}
	c := s.orphans[entry][i]
	s.orphans[entry] = slices.Delete(s.orphans[entry], i, i+1)
	if len(s.orphans[entry]) == 0 {
		delete(s.orphans, entry)
	}
	s.mu.Unlock()
	s.scheduler.endOrphans(c.attempts, c.mark)
}
