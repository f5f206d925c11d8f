// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import "time"

// Keys has the identities by which a request may be banned: its own, and those of the parts of its
// prompt that it may share with other requests.
type Keys struct {
	// Request is the identity of the request.
	Request Identity
	// Parts are the identities of the parts, each once; nil if there are none or they are not known.
	Parts []Identity
}

// all calls yield with each identity and whether it is a part, until yield returns false.
func (k Keys) all(yield func(id Identity, part bool) bool) {
	if !yield(k.Request, false) {
		return
	}
	for _, id := range k.Parts {
		if !yield(id, true) {
			return
		}
	}
}

// Ban is the reason why a request may not run now.
type Ban struct {
	// Identity is what is banned, and Part is set if it is a part of the prompt.
	Identity Identity
	Part     bool
	// Remaining is the time after which the caller may retry.
	Remaining time.Duration
}

// Detail returns the reason for refusals.
func (b *Ban) Detail() string {
	if b.Part {
		return "a part of the prompt ended several endpoints that began to answer it"
	}
	return "the request ended several endpoints that ran it"
}
