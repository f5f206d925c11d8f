// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// resumes reports whether events of the stream were already sent to the caller, and returns the
// time until the next event is late, which may be negative. If another instance sent the
// events, the time counts from the arrival of the request. Without a gap target resumes returns
// false.
func (j *job) resumes() (bool, time.Duration) {
	gap := j.route.GapTarget
	e := &j.out.progress
	if gap == 0 || e.last == "" {
		return false, 0
	}
	if e.at.IsZero() {
		return true, gap - steady.Since(j.arrived)
	}
	return true, gap - time.Since(e.at)
}
