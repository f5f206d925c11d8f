// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"time"

	"github.com/linkmast/linkmast/internal/steady"
)

// resumes states whether the caller has events of its stream, and returns the time left
// until the next one would be late. A caller that takes a stream up again with another
// instance does not say when it was cut; the owner of the pool may know.
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
