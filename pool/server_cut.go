// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"
)

// cutSession is what an ended session had running.
type cutSession struct {
	// attempts are its attempts by id, with their service, and mark is their orphan mark.
	attempts map[string]string
	mark     int64
}

// leave returns what the session has running, and keeps it no longer.
func (x *session) leave() map[string]string {
	x.mu.Lock()
	defer x.mu.Unlock()
	left := x.attempts
	x.attempts = nil
	return left
}

// begin notes who is at the other end, unless the session has ended meanwhile, or its entry has
// given it up: nobody would end then what is begun here.
func (x *session) begin(entry string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.over || x.stream.Context().Err() != nil {
		return
	}
	x.entry = entry
	x.server.began(x)
}

// began notes the newest session of an entry. An older one of it has ended, even where
// nothing showed that: what it had running is the entry's again once it says so. It is ended
// here, too. An owner that wakes may hear of two sessions in either order; the one that lives
// would else stand without being given a place, in one soak for 25 s until its end
// (TestLateHello), where its entry now opens another one.
func (s *Server) began(x *session) {
	s.mu.Lock()
	old := s.sessions[x.entry]
	s.sessions[x.entry] = x
	s.mu.Unlock()
	if old != nil && old != x {
		old.replace()
		s.orphan(old)
	}
	x.stopMoves = s.scheduler.onMoves(x.entry, x.sendMove)
	x.tellChanges()
}

// sendMove tells the entry of an attempt that is to move.
func (x *session) sendMove(m move) {
	if err := x.send(moveMessage(&m)); err != nil {
		x.server.scheduler.log.V(1).Info("move not told", "entry", x.entry, "attempt", m.id, "cause", err.Error())
	}
}

// ended forgets an entry's session.
func (s *Server) ended(x *session) {
	if x.stopMoves != nil {
		x.stopMoves()
	}
	if x.stopTelling != nil {
		x.stopTelling()
	}
	s.mu.Lock()
	if s.sessions[x.entry] == x {
		delete(s.sessions, x.entry)
	}
	s.mu.Unlock()
	s.orphan(x)
}

// orphan marks what a session has running. It is forgotten when the entry is back and
// does not have it, at the latest after forgetAfter.
func (s *Server) orphan(x *session) {
	left := x.leave()
	if len(left) == 0 {
		return
	}
	s.scheduler.log.Info("session of an entry ended", "entry", x.entry, "running", len(left))
	mark := s.scheduler.orphan(left)
	s.mu.Lock()
	s.cut[x.entry] = append(s.cut[x.entry], cutSession{
		attempts: left,
		mark:     mark,
	})
	s.mu.Unlock()
	time.AfterFunc(forgetAfter, func() { s.forget(x.entry, mark) })
}

// greeted forgets what the entry had running before and has no more: it has said all that
// it has. It guards against taking engines for filled, until forgetAfter, with streams
// that have ended with the session.
func (s *Server) greeted(x *session) {
	s.mu.Lock()
	cut := s.cut[x.entry]
	delete(s.cut, x.entry)
	s.mu.Unlock()
	for _, c := range cut {
		s.scheduler.forget(c.attempts, c.mark)
	}
}

// forget ends what a session had running if its entry is not back.
func (s *Server) forget(entry string, mark int64) {
	s.mu.Lock()
	i := slices.IndexFunc(s.cut[entry], func(c cutSession) bool { return c.mark == mark })
	if i < 0 {
		s.mu.Unlock()
		return
	}
	c := s.cut[entry][i]
	s.cut[entry] = slices.Delete(s.cut[entry], i, i+1)
	if len(s.cut[entry]) == 0 {
		delete(s.cut, entry)
	}
	s.mu.Unlock()
	s.scheduler.forget(c.attempts, c.mark)
}
