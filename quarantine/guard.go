// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import "time"

// Guard keeps requests from endpoints that crash the endpoints which run them. It is what
// those ask who send requests to endpoints.
type Guard interface {
	// Enter gives a request leave to run, or returns when it may come back.
	Enter(id Identity) (p Pass, after time.Duration, ok bool)
	// Barred states whether a request must not run any more, and for how much longer.
	Barred(id Identity) (after time.Duration, barred bool)
	// Suspected states whether attempts of a request have ended with their endpoints of late.
	Suspected(id Identity) bool
	// Crashed reports an attempt whose endpoint has ended.
	Crashed(c Crash)
	// Served notes a whole answer.
	Served(id Identity)
}

// Refused is the reason of refusals to requests that are banned.
const Refused = "the request ended several endpoints that ran it"
