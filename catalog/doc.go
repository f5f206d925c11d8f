// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package catalog is what an instance knows from the platform's store: the
// configuration in force, the endpoints and the other instances.
//
// Each feed of the store is read whole once and then followed by long polls. A
// configuration with a higher version replaces a lower one, never the other way
// round. The age of the configuration counts from when the read that confirmed
// it was sent, by the monotonic clock, so it can only be overestimated; a caller
// compares it with how soon keys that were taken away must be refused.
//
// Endpoints that vanish from the store while it is, or has just been, out of
// reach are kept for Hold after it is back: their entries lapse when they can't
// renew them.
package catalog
