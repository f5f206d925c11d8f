// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package member

import (
	"time"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/member/memberpb"
)

// failuresToReport is how many probes in a row must fail before they are reported.
const failuresToReport = 2

// failuresForDown is how many probes in a row must fail before an instance takes a
// peer as down for itself, without a report of another. Others hear of it only
// as one report.
const failuresForDown = 6

// maxReports bounds the reports in one message.
const maxReports = 64

// addReport notes that reporter could not reach id. The caller holds the lock.
func (m *Member) addReport(id, reporter string, at time.Time) {
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

// outgoingReports returns the reports to pass on, with their ages.
func (m *Member) outgoingReports() []*memberpb.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := steady.Now()
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

// mergeReports takes over the reports of others. A report about a peer that the
// instance has heard from since is not taken over.
func (m *Member) mergeReports(reports []*memberpb.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := steady.Now()
	for _, r := range reports {
		at := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		if r.Reporter == m.settings.Self.ID || at.Before(m.lastHeard[r.Instance]) {
			continue
		}
		m.addReport(r.Instance, r.Reporter, at)
	}
}

// isDown states whether enough instances report id. The caller holds the lock.
func (m *Member) isDown(id string, peers int, now time.Time) bool {
	if m.fails[id] >= failuresForDown {
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
