// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import "time"

// Guard decides whether a request may be sent to endpoints, depending on whether requests of its
// identity crash them.
type Guard interface {
	// Admit admits a request, or returns the time after which the caller may retry.
	Admit(id Identity) (a Admission, after time.Duration, ok bool)
	// BanRemaining returns how much longer a request is banned, and whether it is banned.
	BanRemaining(id Identity) (remaining time.Duration, banned bool)
	// Suspected reports whether the identity has recent crashes, or a ban that is still kept.
	Suspected(id Identity) bool
	// ReportCrash reports an attempt whose endpoint has ended.
	ReportCrash(c Crash)
	// ReportAnswered reports a complete answer, which clears the identity.
	ReportAnswered(id Identity)
}

// BannedDetail is the reason in refusals of banned requests.
const BannedDetail = "the request ended several endpoints that ran it"
