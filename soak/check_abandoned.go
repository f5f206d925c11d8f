// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"time"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// abandonSlack is how long after its caller has left a run may go on: a few messages,
// and the pause of a busy machine.
const abandonSlack = 500 * time.Millisecond

// checkAbandoned checks that a run ends when its caller leaves.
func (w *World) checkAbandoned(x *Exchange, r *platformtest.Run, wrong func(promise, detail string)) {
	if !x.GaveUp || x.Whole || !r.At.Before(x.Ended) {
		return
	}
	ended := r.Ended
	if ended.IsZero() {
		ended = time.Now()
	}
	late := ended.Sub(x.Ended)
	if late <= abandonSlack || w.disturbed(x, ended) {
		return
	}
	wrong("what its caller leaves ends", fmt.Sprintf("it ran on for %s", late.Round(time.Millisecond)))
}

// disturbed states whether, between the sending of a request and the end of its run,
// there was a fault that keeps an endpoint from learning that the caller has left: the
// caller's instance was stopped, or a link before any endpoint failed.
func (w *World) disturbed(x *Exchange, ended time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.played {
		if p.ended().Before(x.Sent) || p.began.After(ended) {
			continue
		}
		_, link := endpointLinks[p.step.Kind]
		link = link || p.step.Kind == endpointsSilent
		frozen := p.step.Kind == "freeze" && p.step.Target%len(w.processes) == x.Instance
		if link || frozen {
			return true
		}
	}
	return false
}
