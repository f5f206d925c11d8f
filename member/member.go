// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/member/memberpb"
)

// Settings configures a Member. A zero value selects the default.
type Settings struct {
	// Self is the instance's own entry in the list.
	Self instances.Instance
	// Seeds are the addresses of peers that are asked for the list of instances while the platform
	// doesn't provide it.
	Seeds []string
	// ProbeInterval is the interval of probes; the default is 500ms.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a probe and a request for the list; the default is 300ms.
	ProbeTimeout time.Duration
	// ListInterval is the interval of reading the list; the default is 1s.
	ListInterval time.Duration
	// Fanout is the number of random peers per probe interval; the default is 2.
	Fanout int
	// ReportAge is how long a report is valid; the default is 10s.
	ReportAge time.Duration
	// Quorum is the number of reports by which an instance is considered down; the default is 2.
	// With two listed instances one report suffices.
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

// Member tracks the instances.
type Member struct {
	// Done is closed when the member has stopped.
	Done chan struct{}

	settings Settings
	lister   instances.Lister
	prober   Prober
	log      logr.Logger
	cancel   context.CancelFunc
	view     atomic.Pointer[View]

	mu   sync.Mutex
	list instances.List
	// complete states that a list has been read, from the platform or a seed.
	complete bool
	// lowerVersions counts complete lists in a row with a lower version.
	lowerVersions int
	// fails counts the failed calls to each peer in a row.
	fails map[string]int
	// reports holds the times of the reports, by the instance that they are about and by reporter.
	reports map[string]map[string]time.Time
	// lastHeard is when each peer last sent a probe or answered one.
	lastHeard     map[string]time.Time
	stoppingPeers map[string]bool
	stopping      bool
	generation    func() int64
	// changed is closed and replaced at each change that Changed announces.
	changed chan struct{}
	// viewInputs is what the view was built from, and peers is the number of listed instances.
	viewInputs  viewInputs
	listedCount int
}

// New starts a member, which Close stops. The function generation returns the generation of the
// configuration in force, which answers to probes carry.
func New(s Settings, lister instances.Lister, prober Prober, generation func() int64, log logr.Logger) *Member {
	s.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	m := &Member{
		Done:          make(chan struct{}),
		settings:      s,
		lister:        lister,
		prober:        prober,
		log:           log,
		cancel:        cancel,
		fails:         make(map[string]int),
		reports:       make(map[string]map[string]time.Time),
		lastHeard:     make(map[string]time.Time),
		stoppingPeers: make(map[string]bool),
		generation:    generation,
		changed:       make(chan struct{}),
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

// View returns the present view.
func (m *Member) View() *View {
	return m.view.Load()
}

// Changed returns a channel that is closed when the available instances or the listed endpoints
// next change, or when the list is first read.
func (m *Member) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Stop marks the instance as stopping. Peers learn from the answers to their probes that it takes
// no new work.
func (m *Member) Stop() {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.rebuild()
}

// loop reads the list and probes peers until ctx ends.
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

// readList reads the platform's list. If that fails, the last list remains valid; an instance
// without a list asks a seed.
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
	m.applyList(l)
}

// maxLowerVersions is how many complete lists in a row must have a lower version for the last of
// them to be accepted. Versions are lower if the platform was set up anew.
const maxLowerVersions = 5

// applyList applies a list, or the changes since the known version, unless it is outdated.
func (m *Member) applyList(l instances.List) {
	m.mu.Lock()
	newer := !m.complete || l.Version > m.list.Version
	if l.Since > 0 && l.Since != m.list.Version {
		newer = false
	}
	if l.Since == 0 && l.Version < m.list.Version {
		m.lowerVersions++
		newer = m.lowerVersions >= maxLowerVersions
	} else {
		m.lowerVersions = 0
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

// askSeeds asks a random seed for the list.
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
	m.applyList(decodeList(reply.Instances))
}
