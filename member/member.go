// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/member/memberpb"
)

// Settings are the measures of a Member. A zero value means the default.
type Settings struct {
	// Self is the instance's own entry.
	Self instances.Instance
	// Seeds are addresses of peers to ask for the list of instances while the
	// platform does not give it.
	Seeds []string
	// ProbeInterval is how often peers are probed; the default is 500ms.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a probe; the default is 300ms.
	ProbeTimeout time.Duration
	// ListInterval is how often the list is read; the default is 1s.
	ListInterval time.Duration
	// Fanout is how many peers are probed each time; the default is 2.
	Fanout int
	// ReportAge is how long a report counts; the default is 10s.
	ReportAge time.Duration
	// Quorum is how many reports make an instance down; the default is 2. It
	// is one where there are only two instances.
	Quorum int
}

const (
	defaultProbe     = 500 * time.Millisecond
	defaultTimeout   = 300 * time.Millisecond
	defaultList      = time.Second
	defaultFanout    = 2
	defaultReportAge = 10 * time.Second
	defaultQuorum    = 2
)

// failsReport is how many probes in a row must fail before they are reported.
const failsReport = 2

// failsAlone is how many probes in a row must fail before an instance takes a
// peer as down for itself, without a report of another. Others hear of it only
// as one report.
const failsAlone = 6

// maxReports bounds the reports in one message.
const maxReports = 64

func (s *Settings) setDefaults() {
	for _, d := range []struct {
		v   *time.Duration
		def time.Duration
	}{
		{&s.ProbeInterval, defaultProbe},
		{&s.ProbeTimeout, defaultTimeout},
		{&s.ListInterval, defaultList},
		{&s.ReportAge, defaultReportAge},
	} {
		if *d.v == 0 {
			*d.v = d.def
		}
	}
	if s.Fanout == 0 {
		s.Fanout = defaultFanout
	}
	if s.Quorum == 0 {
		s.Quorum = defaultQuorum
	}
}

// Prober sends probes to other instances.
type Prober interface {
	// Probe asks the instance at an address for a sign of life.
	Probe(ctx context.Context, address string, in *memberpb.ProbeRequest) (*memberpb.ProbeReply, error)
}

// Member follows the system's instances.
type Member struct {
	// Done is closed when the member has stopped.
	Done chan struct{}

	settings Settings
	lister   instances.Lister
	prober   Prober
	log      logr.Logger
	cancel   context.CancelFunc
	view     atomic.Pointer[View]

	mu         sync.Mutex
	list       instances.List
	complete   bool
	fails      map[string]int
	reports    map[string]map[string]time.Time
	heard      map[string]time.Time
	stops      map[string]bool
	stopping   bool
	generation func() int64
	changed    chan struct{}
	// built is what the view was made from, and peers how many nodes it lists.
	built built
	peers int
}

// New starts a member. Close ends it. Generation returns the generation of the
// configuration in force, which probes carry.
func New(s Settings, lister instances.Lister, prober Prober, generation func() int64, log logr.Logger) *Member {
	s.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	m := &Member{
		Done:       make(chan struct{}),
		settings:   s,
		lister:     lister,
		prober:     prober,
		log:        log,
		cancel:     cancel,
		fails:      make(map[string]int),
		reports:    make(map[string]map[string]time.Time),
		heard:      make(map[string]time.Time),
		stops:      make(map[string]bool),
		generation: generation,
		changed:    make(chan struct{}),
	}
	m.rebuild()
	go m.loop(ctx)
	return m
}

// Close stops the member and waits for it.
func (m *Member) Close() {
	m.cancel()
	<-m.Done
}

// View returns what the instance believes now.
func (m *Member) View() *View {
	return m.view.Load()
}

// Changed returns a channel that is closed at the next change of the view.
func (m *Member) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Stop tells peers, by the answers to their probes, that the instance takes no
// new work.
func (m *Member) Stop() {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.rebuild()
}

// loop reads the list and probes until ctx ends.
func (m *Member) loop(ctx context.Context) {
	defer close(m.Done)
	probe := time.NewTicker(m.settings.ProbeInterval)
	defer probe.Stop()
	list := time.NewTicker(m.settings.ListInterval)
	defer list.Stop()
	m.readList(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-list.C:
			m.readList(ctx)
		case <-probe.C:
			m.probeSome(ctx)
		}
	}
}

// readList takes over the platform's list. While the platform gives none, the
// last one holds; an instance that has none asks a seed.
func (m *Member) readList(ctx context.Context) {
	m.mu.Lock()
	complete, since := m.complete, m.list.Version
	m.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, m.settings.ProbeTimeout)
	l, err := m.lister.List(call, since)
	cancel()
	if err != nil {
		if !complete {
			m.askSeeds(ctx)
		}
		return
	}
	m.take(l)
}

// take takes over a list, unless it is older than the one known.
func (m *Member) take(l instances.List) {
	m.mu.Lock()
	newer := !m.complete || l.Version > m.list.Version
	if l.Since > 0 && l.Since != m.list.Version {
		newer = false
	}
	if newer {
		m.list = m.list.Apply(l)
		m.complete = true
	}
	m.mu.Unlock()
	if newer {
		m.rebuild()
	}
}

// askSeeds asks one seed for the list.
func (m *Member) askSeeds(ctx context.Context) {
	if len(m.settings.Seeds) == 0 {
		return
	}
	seed := m.settings.Seeds[rand.IntN(len(m.settings.Seeds))]
	call, cancel := context.WithTimeout(ctx, m.settings.ProbeTimeout)
	defer cancel()
	reply, err := m.prober.Probe(call, seed, &memberpb.ProbeRequest{
		From:          m.settings.Self.ID,
		WantInstances: true,
	})
	if err != nil || len(reply.Instances) == 0 {
		return
	}
	m.take(decodeList(reply.Instances))
}

// probeSome probes a few random peers together.
func (m *Member) probeSome(ctx context.Context) {
	targets := m.targets()
	var wait sync.WaitGroup
	for _, t := range targets {
		wait.Go(func() { m.probe(ctx, t) })
	}
	wait.Wait()
	m.rebuild()
}

// maxSuspects bounds the peers in doubt that are probed beside random ones.
const maxSuspects = 4

// targets picks peers to probe among all that are listed: random ones, and a
// few that are in doubt, because of a failed probe or a report of another, so
// that doubt ends soon however many peers there are.
func (m *Member) targets() []instances.Instance {
	v := m.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make([]instances.Instance, 0, len(v.Listed))
	var suspects []instances.Instance
	for id, n := range v.Listed {
		switch {
		case id == m.settings.Self.ID:
		case m.fails[id] > 0 && m.fails[id] < failsReport, len(m.reports[id]) > 0 && m.fails[id] < failsReport:
			suspects = append(suspects, n)
		default:
			peers = append(peers, n)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	rand.Shuffle(len(suspects), func(i, j int) { suspects[i], suspects[j] = suspects[j], suspects[i] })
	peers = peers[:min(len(peers), m.settings.Fanout)]
	return append(peers, suspects[:min(len(suspects), maxSuspects)]...)
}

// probe asks one peer, and notes the outcome.
func (m *Member) probe(ctx context.Context, t instances.Instance) {
	call, cancel := context.WithTimeout(ctx, m.settings.ProbeTimeout)
	defer cancel()
	reply, err := m.prober.Probe(call, t.Address, &memberpb.ProbeRequest{
		From:    m.settings.Self.ID,
		Reports: m.outgoing(),
	})
	if ctx.Err() != nil {
		return
	}
	if err != nil || reply.Instance != t.ID {
		m.failed(t.ID)
		return
	}
	m.mu.Lock()
	m.reached(t.ID)
	m.stops[t.ID] = reply.Stopping
	m.mu.Unlock()
	m.incoming(reply.Reports)
}

// Suspect notes a failed exchange with a peer, as a failed probe.
func (m *Member) Suspect(id string) {
	m.failed(id)
	m.rebuild()
}

func (m *Member) failed(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fails[id]++
	if m.fails[id] >= failsReport {
		m.report(id, m.settings.Self.ID, time.Now())
	}
}

// reached ends the instance's own report of a peer. The caller holds the lock.
func (m *Member) reached(id string) {
	m.fails[id] = 0
	m.heard[id] = time.Now()
	delete(m.reports[id], m.settings.Self.ID)
}

// report notes that reporter could not reach id. The caller holds the lock.
func (m *Member) report(id, reporter string, at time.Time) {
	if id == m.settings.Self.ID {
		return
	}
	by := m.reports[id]
	if by == nil {
		by = make(map[string]time.Time)
		m.reports[id] = by
	}
	if at.After(by[reporter]) {
		by[reporter] = at
	}
}

// outgoing returns the reports to pass on, with their ages.
func (m *Member) outgoing() []*memberpb.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var out []*memberpb.Report
	for id, by := range m.reports {
		for reporter, at := range by {
			age := now.Sub(at)
			if age > m.settings.ReportAge {
				delete(by, reporter)
				continue
			}
			if len(out) < maxReports {
				out = append(out, &memberpb.Report{
					Instance: id,
					Reporter: reporter,
					AgeMs:    age.Milliseconds(),
				})
			}
		}
		if len(by) == 0 {
			delete(m.reports, id)
		}
	}
	return out
}

// incoming takes over the reports of others. A report about a peer that the
// instance has heard from since is not taken over.
func (m *Member) incoming(reports []*memberpb.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, r := range reports {
		at := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		if r.Reporter == m.settings.Self.ID || at.Before(m.heard[r.Instance]) {
			continue
		}
		m.report(r.Instance, r.Reporter, at)
	}
}

// down states whether enough instances report id. The caller holds the lock.
func (m *Member) down(id string, peers int, now time.Time) bool {
	if m.fails[id] >= failsAlone {
		return true
	}
	quorum := min(m.settings.Quorum, max(peers-1, 1))
	n := 0
	for _, at := range m.reports[id] {
		if now.Sub(at) <= m.settings.ReportAge {
			n++
		}
	}
	return n >= quorum
}

// built is what a view was made from.
type built struct {
	list     int64
	complete bool
	stopping bool
	out      uint64
}

// state returns what a view made now would be made from. The caller holds the
// lock.
func (m *Member) state(now time.Time) built {
	b := built{
		list:     m.list.Version,
		complete: m.complete,
		stopping: m.stopping,
	}
	for id, stops := range m.stops {
		if stops {
			b.out ^= xxhash.Sum64String("stops " + id)
		}
	}
	for id := range m.fails {
		if m.down(id, m.peers, now) {
			b.out ^= xxhash.Sum64String("down " + id)
		}
	}
	for id := range m.reports {
		if _, failed := m.fails[id]; !failed && m.down(id, m.peers, now) {
			b.out ^= xxhash.Sum64String("down " + id)
		}
	}
	return b
}

// rebuild makes the view anew when something has changed, and announces it.
func (m *Member) rebuild() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	state := m.state(now)
	if m.view.Load() != nil && state == m.built {
		return
	}
	m.built = state
	listed := make(map[string]instances.Instance)
	usable := make(map[string]instances.Instance)
	endpoints := make(map[string]instances.Instance)
	for _, i := range m.list.Instances {
		if i.Kind == instances.KindNode {
			listed[i.ID] = i
			continue
		}
		if known, ok := endpoints[i.Address]; !ok || known.State == instances.Leaving {
			endpoints[i.Address] = i
		}
	}
	self := m.settings.Self
	if _, ok := listed[self.ID]; !ok {
		listed[self.ID] = self
	}
	for id, n := range listed {
		out := n.State == instances.Leaving || m.stops[id] || m.down(id, len(listed), now)
		if id == self.ID {
			out = m.stopping
		}
		if !out {
			usable[id] = n
		}
	}
	m.peers = len(listed)
	old := m.view.Load()
	v := newView(listed, usable, endpoints, m.complete)
	m.view.Store(v)
	if old == nil || !sameNodes(old.Nodes, usable) || !sameNodes(old.Endpoints, endpoints) || old.Complete != v.Complete {
		m.log.Info("members", "usable", len(usable), "listed", len(listed), "endpoints", len(endpoints))
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

func sameNodes(a, b map[string]instances.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if b[k] != v {
			return false
		}
	}
	return true
}
