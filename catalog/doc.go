// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package catalog is what an instance knows from the platform's store: the
// configuration in force, the endpoints and the other instances.
//
// Few instances read the store: the first Readers in the order of rendezvous
// hashing, and those that others follow. Each feed is read whole once and then
// followed by long polls. All other instances follow one of them over gRPC and
// get records as they were read, with their offsets; a record with a higher
// offset replaces one with a lower one, whichever way it came. An instance that
// finds nobody to follow, or only such that know too little, reads the store
// itself, and a reader that the store turns away follows others.
//
// A configuration with a higher version replaces a lower one, never the other
// way round. The age of the configuration counts from when the read that
// confirmed it was sent, by the monotonic clock, so it can only be
// overestimated; a follower adds the time from when it asked. A caller compares
// the age with how soon keys that were taken away must be refused.
//
// Endpoints that vanish from the store while it is, or has just been, out of
// reach are kept for Hold after it is back: their entries lapse when they can't
// renew them.
package catalog
