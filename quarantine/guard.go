// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import "time"

// MinProgress is the number of events of a stream that show that the parts of its prompt don't crash
// the endpoint. One that crashes as it begins to answer may have sent the first.
const MinProgress = 3

// Guard decides whether a request may be sent to endpoints, depending on whether requests of its
// identity, or with one of its parts, crash them.
type Guard interface {
	// Admit admits a request, or returns the ban that prevents it.
	Admit(k Keys) (Admission, *Ban)
	// BanOf returns the ban in force for a request, or nil.
	BanOf(k Keys) *Ban
	// Suspected reports whether the identity or a part has recent crashes, or a ban that is still
	// kept.
	Suspected(k Keys) bool
	// ReportCrash reports an attempt whose endpoint has ended.
	ReportCrash(c Crash)
	// ReportAnswered reports a complete answer to an attempt that was started at the given time. It
	// clears the identity, and the parts if the attempt was started after their first crash.
	ReportAnswered(k Keys, startedAt time.Time)
	// ReportProgress reports that MinProgress events of a stream have arrived. It clears parts as a
	// complete answer does, and is called once for an attempt, instead of naming the parts later.
	ReportProgress(parts []Identity, startedAt time.Time)
}
