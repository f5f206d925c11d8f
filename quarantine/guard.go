// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import "time"

// Guard keeps requests from endpoints that crash the endpoints which run them. It is what
// those ask who send requests to endpoints.
type Guard interface {
	// Admit gives a request leave to run, or returns when it may come back.
	Admit(id Identity) (p Admission, after time.Duration, ok bool)
	// BanRemaining states whether a request must not run any more, and for how much longer.
	BanRemaining(id Identity) (after time.Duration, barred bool)
	// Suspected states whether attempts of a request have ended with their endpoints of late.
	Suspected(id Identity) bool
	// ReportCrash reports an attempt whose endpoint has ended.
	ReportCrash(c Crash)
	// ReportAnswered notes a whole answer.
	ReportAnswered(id Identity)
}

// BannedDetail is the reason of refusals to requests that are banned.
const BannedDetail = "the request ended several endpoints that ran it"
