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
	// Probe asks the instance at an address for a sign of life.
	Probe(ctx context.Context, address string, in *memberpb.ProbeRequest) (*memberpb.ProbeReply, error)
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

// maxDoubtfulTargets bounds the peers in doubt that are probed beside random ones.
const maxDoubtfulTargets = 4

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
		case m.fails[id] > 0 && m.fails[id] < failuresToReport, len(m.reports[id]) > 0 && m.fails[id] < failuresToReport:
			suspects = append(suspects, n)
		default:
			peers = append(peers, n)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	rand.Shuffle(len(suspects), func(i, j int) { suspects[i], suspects[j] = suspects[j], suspects[i] })
	peers = peers[:min(len(peers), m.settings.Fanout)]
	return append(peers, suspects[:min(len(suspects), maxDoubtfulTargets)]...)
}

// probe asks one peer, and notes the outcome.
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

// ReportFailure notes a failed exchange with a peer, as a failed probe.
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

// recordSuccess ends the instance's own report of a peer. The caller holds the lock.
func (m *Member) recordSuccess(id string) {
	m.fails[id] = 0
	m.lastHeard[id] = steady.Now()
	delete(m.reports[id], m.settings.Self.ID)
}
