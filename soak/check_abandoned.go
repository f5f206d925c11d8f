// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"time"

	"github.com/linkmast/linkmast/internal/tcp/tcptest"
	"github.com/linkmast/linkmast/platform/platformtest"
)

// abandonSlack is how long a run may continue after its caller canceled the request. It allows
// for a few messages and a scheduling delay of a busy host.
const abandonSlack = 500 * time.Millisecond

// checkAbandoned checks that a run ends soon after its caller canceled the request.
func (d *Deployment) checkAbandoned(x *Exchange, r *platformtest.Run, wrong func(guarantee, detail string)) {
	if !x.CancelsEarly || x.Whole || !r.At.Before(x.Ended) {
		return
	}
	ended := r.Ended
	if ended.IsZero() {
		ended = time.Now()
	}
	late := ended.Sub(x.Ended)
	if late <= abandonSlack || d.disturbed(x, ended) {
		return
	}
	wrong("runs end when their callers cancel", fmt.Sprintf("it continued for %s", late.Round(time.Millisecond)))
}

// disturbed reports whether a fault may have kept the endpoint from learning of the cancellation.
// This is so if, between the sending of the request and the end of its run, the instance of the
// request was frozen or the link to any endpoint was faulty.
func (d *Deployment) disturbed(x *Exchange, ended time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.played {
		if p.ended().Before(x.Sent) || p.began.After(ended) {
			continue
		}
		_, link := endpointLinks[p.fault.Kind]
		// A partition that drops packets also keeps a cancellation from the endpoint, at the cut
		// instance and where that one forwards for others.
		link = link || p.fault.Kind == endpointsSilent || partitionFaults[p.fault.Kind] == tcptest.Drop
		frozen := p.fault.Kind == "freeze" && p.fault.Target%len(d.processes) == x.Instance
		if link || frozen {
			return true
		}
	}
	return false
}
