// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package catalog is what an instance knows from the platform's store: the
// configuration in force, the endpoints and the other instances.
//
// Few instances read the store: the first ones in the order of rendezvous hashing among
// those with a processor and link that can carry others. Each feed is read whole once
// and then followed by long polls. All other instances follow one of them over gRPC, or
// one of the carriers that follow it: with n instances n/32 carry, so that two readers
// and two levels reach 2,000. A follower says by sums what it has, and gets the records
// of the parts that differ, as they were read, with their offsets; a record with a
// higher offset replaces one with a lower one, whichever way it came. An instance that
// knows too little holds those that want to follow it for a moment and then sends them
// on. One that finds nobody reads the store itself, the later in the order the later
// and the more seldom; a reader that the store turns away follows others. An instance
// that starts asks one of a few contacts, which its settings name, whom to follow; the
// first contact reads who is there for all of them. Entries go up to whom an instance
// follows, and are written by who reads the store, those of many at once. An instance
// that nobody answers reads the store itself, or is told who is there by the carrier that
// it would follow.
//
// A configuration with a higher version replaces a lower one, never the other
// way round. The age of the configuration counts from when the read that
// confirmed it was sent, by the monotonic clock, so it can only be
// overestimated; a follower adds the time from when it asked, and an age is sent only
// after all changes that it covers. A caller compares
// the age with how soon keys that were taken away must be refused.
//
// The operator's requests to empty a failure domain stand beside the configuration, in one
// feed: they come as soon and as widely as it does, and their age is that of the
// configuration. One that a whole read no longer shows is over.
//
// Endpoints that vanish from the store while it is, or has just been, out of
// reach are kept for Hold after it is back: their entries lapse when they can't
// renew them.
package catalog
