// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package member

import (
	"time"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/member/memberpb"
)

// failuresToReport is the number of failures in a row after which a peer is reported.
const failuresToReport = 2

// failuresForDown is the number of failures in a row after which an instance considers a peer as
// down without reports of other instances. To the others, its failures are a single report.
const failuresForDown = 6

// maxReports bounds the reports in one message.
const maxReports = 64

// addReport records that reporter could not reach the instance id. The caller must hold the lock.
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

// outgoingReports returns up to maxReports of the valid reports, with their ages, and removes the
// reports that are no longer valid.
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

// mergeReports merges the reports of others. It ignores reports about a peer that the instance has
// heard from since.
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

// isDown reports whether an instance is considered down, by reports or by failures of this
// instance's own calls. Listed is the number of listed instances, including this one. The caller
// must hold the lock.
func (m *Member) isDown(id string, listed int, now time.Time) bool {
	if m.fails[id] >= failuresForDown {
		return true
	}
	quorum := min(m.settings.Quorum, max(listed-1, 1))
	n := 0
	for _, at := range m.reports[id] {
		if now.Sub(at) <= m.settings.ReportAge {
			n++
		}
	}
	return n >= quorum
}
