// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"net/http"
	"time"
)

// judgeEnd checks what is left once all callers have gone.
func (w *World) judgeEnd() []Violation {
	var out []Violation
	for _, e := range w.endpoints {
		if n := e.Running(); n > 0 {
			out = append(out, Violation{
				Promise: "what nobody waits for ends",
				Detail:  fmt.Sprintf("endpoint %s still runs %d requests", e.Name(), n),
			})
		}
		if n := e.ReservedTokens(); n > 0 {
			out = append(out, Violation{
				Promise: "memory is given back",
				Detail:  fmt.Sprintf("endpoint %s still holds %d tokens", e.Name(), n),
			})
		}
	}
	for _, p := range w.processes {
		p.mu.Lock()
		if p.ended > 0 {
			out = append(out, Violation{
				Promise: "instances don't end by themselves",
				Detail:  fmt.Sprintf("%s ended %d times", p.name, p.ended),
			})
		}
		p.mu.Unlock()
	}
	return out
}

// judgeRecovery checks that requests are served once all faults are lifted.
func judgeRecovery(history []Exchange, from time.Time) []Violation {
	served, all := 0, 0
	for _, x := range history {
		if x.Sent.Before(from) || x.GaveUp || x.Key != steadyKey {
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
		Promise: "it recovers",
		Detail:  fmt.Sprintf("%d of %d requests were served after all faults had ended", served, all),
	}}
}

// recoveredShare is the part of requests that must be served after recovery.
const recoveredShare = 0.98
