// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"slices"
	"time"

	"github.com/linkmast/linkmast/pool/poolpb"
)

// orphanSet has the attempts that were running when a session ended.
type orphanSet struct {
	// attempts has the service of each attempt by ID. mark is the orphan mark that the scheduler
	// gave them.
	attempts map[string]string
	mark     int64
}

// takeAttempts returns the running attempts and closes the session for further ones.
func (x *session) takeAttempts() map[string]string {
	x.mu.Lock()
	defer x.mu.Unlock()
	attempts := x.attempts
	x.attempts = nil
	return attempts
}

// register sets the entry instance and its process and registers the session. It does nothing if
// the session is ending or the entry instance has cancelled it, because nothing would unregister it
// then.
func (x *session) register(hello *poolpb.Hello) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ending || x.stream.Context().Err() != nil {
		return
	}
	x.entry = hello.GetEntry()
	x.process = process{
		instance: hello.GetEntry(),
		id:       hello.GetProcess(),
	}
	x.server.registerSession(x, microseconds(hello.GetRunningUs()))
}

// registerSession makes x the newest session of its entry instance, whose process has been running
// for the given time. An older session is ended, and
// its attempts become orphans until x reports them. An owner that was frozen may handle two
// sessions in either order. If that ends the live one, the entry instance opens another.
func (s *Server) registerSession(x *session, running time.Duration) {
	s.mu.Lock()
	old := s.sessions[x.entry]
	s.sessions[x.entry] = x
	s.mu.Unlock()
	if old != nil && old != x {
		old.replace()
		s.orphanAttempts(old)
	}
	if old != nil {
		s.scheduler.disconnectProcess(old.process)
	}
	s.scheduler.connectProcess(x.process, running)
	x.stopMigrations = s.scheduler.onMigrations(x.entry, x.sendMigration)
	x.notifyChanges()
}

// sendMigration orders the entry instance to migrate an attempt.
func (x *session) sendMigration(m migration) {
	if err := x.send(migrationMessage(&m)); err != nil {
		x.server.scheduler.log.V(1).Info("migration not sent", "entry", x.entry, "attempt", m.id, "cause", err.Error())
	}
}

// unregisterSession undoes registerSession and marks the running attempts as orphans.
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
		s.scheduler.disconnectProcess(x.process)
	}
	s.mu.Unlock()
	s.orphanAttempts(x)
}

// orphanAttempts marks the running attempts of an ended session as orphans. They are ended when the
// entry instance is back without them, or after orphanTimeout.
func (s *Server) orphanAttempts(x *session) {
	attempts := x.takeAttempts()
	if len(attempts) == 0 {
		return
	}
	s.scheduler.log.Info("session of an entry ended", "entry", x.entry, "running", len(attempts))
	mark := s.scheduler.markOrphans(attempts)
	s.mu.Lock()
	s.orphans[x.entry] = append(s.orphans[x.entry], orphanSet{
		attempts: attempts,
		mark:     mark,
	})
	s.mu.Unlock()
	time.AfterFunc(orphanTimeout, func() { s.expireOrphans(x.entry, mark) })
}

// endMissingOrphans ends the orphans that the entry instance did not report in the greeting of its
// new session. Otherwise they would count as load until orphanTimeout.
func (s *Server) endMissingOrphans(x *session) {
	s.mu.Lock()
	sets := s.orphans[x.entry]
	delete(s.orphans, x.entry)
	s.mu.Unlock()
	for _, set := range sets {
		s.scheduler.endOrphans(set.attempts, set.mark)
	}
}

// expireOrphans ends the attempts of an ended session if the entry instance has not come back in
// time.
func (s *Server) expireOrphans(entry string, mark int64) {
	s.mu.Lock()
	i := slices.IndexFunc(s.orphans[entry], func(set orphanSet) bool { return set.mark == mark })
	if i < 0 {
		s.mu.Unlock()
		return
	}
	set := s.orphans[entry][i]
	s.orphans[entry] = slices.Delete(s.orphans[entry], i, i+1)
	if len(s.orphans[entry]) == 0 {
		delete(s.orphans, entry)
	}
	s.mu.Unlock()
	s.scheduler.endOrphans(set.attempts, set.mark)
}
