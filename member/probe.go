// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package member

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/member/memberpb"
)

// Prober sends probes to other instances.
type Prober interface {
	// Probe sends a probe to the instance at an address and returns its reply.
	Probe(ctx context.Context, address string, in *memberpb.ProbeRequest) (*memberpb.ProbeReply, error)
}

// probeSome probes a few peers concurrently and rebuilds the view.
func (m *Member) probeSome(ctx context.Context) {
	targets := m.targets()
	var wait sync.WaitGroup
	for _, t := range targets {
		wait.Go(func() { m.probe(ctx, t) })
	}
	wait.Wait()
	m.rebuild()
}

// maxDoubtfulTargets bounds the doubtful peers that are probed in addition to the random ones.
const maxDoubtfulTargets = 4

// targets picks the peers to probe: a few of the doubtful ones, and random ones of the other
// listed peers. A peer with fewer than failuresToReport failures in a row is doubtful if the last
// call to it failed or another instance reported it. Probing doubtful peers resolves the doubt
// soon in a fleet of any size.
func (m *Member) targets() []instances.Instance {
	v := m.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make([]instances.Instance, 0, len(v.Listed))
	var doubtful []instances.Instance
	for id, n := range v.Listed {
		switch {
		case id == m.settings.Self.ID:
		case m.fails[id] > 0 && m.fails[id] < failuresToReport, len(m.reports[id]) > 0 && m.fails[id] < failuresToReport:
			doubtful = append(doubtful, n)
		default:
			peers = append(peers, n)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	rand.Shuffle(len(doubtful), func(i, j int) { doubtful[i], doubtful[j] = doubtful[j], doubtful[i] })
	peers = peers[:min(len(peers), m.settings.Fanout)]
	return append(peers, doubtful[:min(len(doubtful), maxDoubtfulTargets)]...)
}

// probe probes one peer and records the result.
func (m *Member) probe(ctx context.Context, t instances.Instance) {
	call, cancel := context.WithTimeout(ctx, m.settings.ProbeTimeout)
	defer cancel()
	reply, err := m.prober.Probe(call, t.Address, &memberpb.ProbeRequest{
		From:    m.settings.Self.ID,
		Reports: m.outgoingReports(),
	})
	if ctx.Err() != nil {
		return
	}
	if err != nil || reply.Instance != t.ID {
		m.recordFailure(t.ID)
		return
	}
	m.mu.Lock()
	m.recordSuccess(t.ID)
	m.stoppingPeers[t.ID] = reply.Stopping
	m.mu.Unlock()
	m.mergeReports(reply.Reports)
}

// ReportFailure records a failed call to a peer as if a probe had failed.
func (m *Member) ReportFailure(id string) {
	m.recordFailure(id)
	m.rebuild()
}

func (m *Member) recordFailure(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fails[id]++
	if m.fails[id] >= failuresToReport {
		m.addReport(id, m.settings.Self.ID, steady.Now())
	}
}

// recordSuccess resets the failures of a peer and removes the instance's own report of it. The
// caller must hold the lock.
func (m *Member) recordSuccess(id string) {
	m.fails[id] = 0
	m.lastHeard[id] = steady.Now()
	delete(m.reports[id], m.settings.Self.ID)
}
