// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import "time"

// Pass is the leave of one request to run.
type Pass struct {
	// Once states that it may be sent to one endpoint only: its identity was banned, and
	// shows now whether it still crashes endpoints.
	Once bool
	// Leave ends the pass; it may be called once.
	Leave func()
}

// tryAfter is when a request may come back while another of its identity shows whether it
// still crashes endpoints: the time of a short answer.
const tryAfter = 2 * time.Second

// Enter gives a request leave to run, or returns when it may come back. After a ban one
// request of the identity runs at a time at this instance.
func (b *Book) Enter(id Identity) (p Pass, after time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	free := Pass{
		Leave: func() {},
	}
	now := b.now()
	one := b.remembered(id, now)
	if one == nil {
		return free, 0, true
	}
	if one.active(now) || one.trying {
		b.figures.Refused++
		return Pass{}, max(one.until.Sub(now), tryAfter), false
	}
	one.trying = true
	return Pass{
		Once: true,
		Leave: func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			one.trying = false
		},
	}, 0, true
}
