// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"net/http"
	"time"
)

// checkFinalState checks that no endpoint runs requests or holds reserved tokens after the
// load has ended, and that no instance exited unexpectedly.
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
		p.mu.Lock()
		if p.unexpectedExits > 0 {
			out = append(out, Violation{
				Guarantee: "instances do not exit unexpectedly",
				Detail:    fmt.Sprintf("%s exited unexpectedly %d times", p.name, p.unexpectedExits),
			})
		}
		p.mu.Unlock()
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
