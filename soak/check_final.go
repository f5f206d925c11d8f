// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// checkFinalState checks that no endpoint runs requests or holds reserved tokens after the
// load has ended, and that instances exited only as planned and stayed within their memory.
func (d *Deployment) checkFinalState() []Violation {
	var out []Violation
	for _, e := range d.endpoints {
		if n := e.Running(); n > 0 {
			out = append(out, Violation{
				Guarantee: "no request runs after the load has ended",
				Detail:    fmt.Sprintf("endpoint %s still runs %d requests", e.Name(), n),
			})
		}
		if n := e.ReservedTokens(); n > 0 {
			out = append(out, Violation{
				Guarantee: "reserved tokens are released",
				Detail:    fmt.Sprintf("endpoint %s still holds %d tokens", e.Name(), n),
			})
		}
	}
	for _, p := range d.processes {
		out = append(out, p.check()...)
	}
	return out
}

// check checks the exits of an instance and its memory.
func (p *process) check() []Violation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Violation
	if n := len(p.unexpectedExits); n > 0 {
		out = append(out, Violation{
			Guarantee: "instances do not exit unexpectedly",
			Detail:    fmt.Sprintf("%s exited unexpectedly %d times: %s", p.name, n, strings.Join(p.unexpectedExits, "; ")),
		})
	}
	if n := len(p.failedStops); n > 0 {
		out = append(out, Violation{
			Guarantee: "planned stops exit with status 0",
			Detail:    fmt.Sprintf("%s exited with another status %d times: %s", p.name, n, strings.Join(p.failedStops, "; ")),
		})
	}
	const kilobyte = 1024
	if peak := max(p.peakMemory, p.peakMemoryNow()); peak*kilobyte > memoryMB*1_000_000 {
		out = append(out, Violation{
			Guarantee: "instances stay within their memory",
			Detail:    fmt.Sprintf("%s used %d KB, %d MB allowed", p.name, peak, memoryMB),
		})
	}
	return out
}

// checkRecovery checks that requests that were sent and ended between the given times are served. It
// ignores requests that were canceled early or used another key than steadyKey. The next fault, which
// begins at the second time, may have ended the others.
func checkRecovery(history []Exchange, from, to time.Time) []Violation {
	served, all := 0, 0
	for _, x := range history {
		if x.Sent.Before(from) || x.Ended.After(to) || x.CancelsEarly || x.Key != steadyKey {
			continue
		}
		all++
		if x.Status == http.StatusOK && x.Whole {
			served++
		}
	}
	if all > 0 && float64(served) >= recoveredShare*float64(all) {
		return nil
	}
	return []Violation{{
		Guarantee: "system recovers after the last fault",
		Detail:    fmt.Sprintf("%d of %d requests were served after the time for recovery", served, all),
	}}
}

// recoveredShare is the share of requests that must be served after recovery.
const recoveredShare = 0.98
