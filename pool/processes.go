// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/pool/poolpb"
)

// process identifies one process of an instance.
type process struct {
	instance string
	// id is drawn at the start of the process.
	id uint64
}

// processRecord is what is known of a process.
type processRecord struct {
	startedAt time.Time
	// connected is set while the process has a session with this instance, and always for this
	// process. Otherwise endedAt is when this instance last heard of it.
	connected bool
	endedAt   time.Time
}

// processes holds the processes of all instances that have sent requests lately, as far as they are
// known, and the present one of each connected instance.
type processes struct {
	self    process
	records map[process]*processRecord
	current map[string]process
	// listed has the instances of the catalog, with the time when each was last connected, or was
	// first listed if it never was.
	listed map[string]time.Time
}

// newProcesses returns the processes that are known at the start of a process.
func newProcesses(self process, now time.Time) processes {
	return processes{
		self: self,
		records: map[process]*processRecord{
			self: {
				startedAt: now,
				connected: true,
			},
		},
		current: map[string]process{
			self.instance: self,
		},
		listed: make(map[string]time.Time),
	}
}

// list sets the instances of the catalog.
func (t *processes) list(peers map[string]catalog.Peer, now time.Time) {
	maps.DeleteFunc(t.listed, func(instance string, _ time.Time) bool {
		_, ok := peers[instance]
		return !ok
	})
	for instance := range peers {
		if _, ok := t.listed[instance]; !ok {
			t.listed[instance] = now
		}
	}
	t.listed[t.self.instance] = now
}

// absentAfter is the time without a connection after which an instance that stays in the catalog is
// taken to be gone for good.
const absentAfter = time.Minute

// sharing returns the number of instances among which the retry budget is divided: those in the
// catalog without those that are gone. An instance that is connected to less than half of the others
// can't tell whether they are gone or it is cut off itself, and counts them all.
func (t *processes) sharing(now time.Time) int {
	connected, absent := 0, 0
	for instance, seen := range t.listed {
		if r := t.records[t.current[instance]]; r != nil && r.connected {
			t.listed[instance] = now
			connected++
			continue
		}
		if now.Sub(seen) > absentAfter {
			absent++
		}
	}
	if 2*connected < len(t.listed) {
		return len(t.listed)
	}
	return len(t.listed) - absent
}

// connect records that a process has opened a session.
func (t *processes) connect(p process, startedAt time.Time) {
	t.records[p] = &processRecord{
		startedAt: startedAt,
		connected: true,
	}
	t.current[p.instance] = p
}

// disconnect records that the last session of a process has ended.
func (t *processes) disconnect(p process, now time.Time) {
	if r := t.records[p]; r != nil && p != t.self {
		r.connected, r.endedAt = false, now
		if _, ok := t.listed[p.instance]; ok {
			t.listed[p.instance] = now
		}
	}
}

// mention records that another instance knows of a process.
func (t *processes) mention(p process, startedAt, now time.Time) {
	r := t.records[p]
	if r == nil {
		r = &processRecord{
			startedAt: startedAt,
		}
		t.records[p] = r
	}
	if !r.connected {
		r.endedAt = now
	}
}

// of returns the process of an entry instance whose request arrives now.
func (t *processes) of(entry string) process {
	if p, ok := t.current[entry]; ok {
		return p
	}
	return process{
		instance: entry,
	}
}

// expire removes the processes that ended longer than a window ago.
func (t *processes) expire(window time.Duration, now time.Time) {
	maps.DeleteFunc(t.records, func(_ process, r *processRecord) bool {
		return !r.connected && now.Sub(r.endedAt) > window
	})
}

// firstStarts returns when the first known process of each instance was started.
func (t *processes) firstStarts() map[string]time.Time {
	out := make(map[string]time.Time, len(t.records))
	for p, r := range t.records {
		if first, ok := out[p.instance]; !ok || r.startedAt.Before(first) {
			out[p.instance] = r.startedAt
		}
	}
	return out
}

// medianStart returns a time before which at least half of the connected processes were started.
func (t *processes) medianStart() time.Time {
	var starts []time.Time
	for _, r := range t.records {
		if r.connected {
			starts = append(starts, r.startedAt)
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	return starts[(len(starts)-1)/2]
}

// AnswersKnownSince returns the time since which this instance and the entry instances with sessions know
// the answers that they have received: half of them have been running for so long.
func (s *Scheduler) AnswersKnownSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes.medianStart()
}

// connectProcess records that a process of an entry instance has opened a session.
func (s *Scheduler) connectProcess(p process, running time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes.connect(p, s.settings.Now().Add(-running))
	s.recomputeRetries()
}

// disconnectProcess records that the session of a process has ended.
func (s *Scheduler) disconnectProcess(p process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes.disconnect(p, s.settings.Now())
	s.expireProcesses()
}

// recomputeRetries makes all pools compute the use of their retry budgets anew. The caller must hold
// s.mu.
func (s *Scheduler) recomputeRetries() {
	for _, p := range s.pools {
		p.retries.stale = true
	}
}

// expireProcesses removes the processes that ended longer than a window ago, and their sends. The
// caller must hold s.mu.
func (s *Scheduler) expireProcesses() {
	s.processes.expire(2*s.settings.Retries.Window, s.settings.Now())
	for _, p := range s.pools {
		p.retries.expire(&s.processes)
	}
}

// running returns how long ago this process was started.
func (s *Scheduler) running() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings.Now().Sub(s.processes.records[s.processes.self].startedAt)
}

// CountFirst counts a request of this instance, wherever it is placed. It must be called once for
// each request of a caller, whose placement requests have Counted set then, or are placed by others.
func (s *Scheduler) CountFirst(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(service).retries.countFirst(&s.processes, s.processes.self, s.settings.Now())
}

// setDecider records which instance decides on the requests of an entry instance to a service.
func (s *Scheduler) setDecider(entry, service, decider string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(service).retries.setDecider(s.processes.of(entry), decider, s.settings.Now())
}

// sends returns the messages with the known sends of all processes within the window.
func (s *Scheduler) sends() []*poolpb.FromEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Now()
	var out []*poolpb.FromEntry
	for service, p := range s.pools {
		for by, r := range p.retries.records {
			known := s.processes.records[by]
			if known == nil {
				continue
			}
			m := p.retries.encode(p.retries.record(by, now), now)
			m.Service, m.Instance, m.Process, m.Decider = service, by.instance, by.id, r.decider
			m.RunningUs = now.Sub(known.startedAt).Microseconds()
			out = append(out, &poolpb.FromEntry{
				Kind: &poolpb.FromEntry_Sends{
					Sends: m,
				},
			})
		}
	}
	return out
}

// applySends applies the sends of a process that an entry instance reports. What a process reports
// of itself replaces what is known of it; what is reported of others is used if they are not
// connected here, and if it has more retries than are known.
func (s *Scheduler) applySends(reporter string, m *poolpb.Sends) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Now()
	from := s.processes.of(reporter)
	of := process{
		instance: m.GetInstance(),
		id:       m.GetProcess(),
	}
	if of == s.processes.self {
		return
	}
	s.processes.mention(of, now.Add(-microseconds(m.GetRunningUs())), now)
	ledger := &s.pool(m.GetService()).retries
	reported := ledger.decode(m, now)
	known := ledger.record(of, now)
	if of == from || !s.processes.records[of].connected && reported.window.sum().retries >= known.window.sum().retries {
		ledger.replace(of, reported)
	}
}
