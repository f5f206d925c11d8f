// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package order brings endpoints to the model, version and adapters that the
// configuration names.
//
// The owner of an endpoint compares the desired state with the reported one,
// and orders what is missing. An order carries a fence: the offset of a record
// in the log, taken only when an order is due. An endpoint that checks fences
// refuses an order below the highest fence that it has seen, so a holder that
// was paused and wakes changes nothing there. An endpoint that does not check
// them is given an order only after it has been in the owner's hands for
// HolderLease, so that orders of the former holder have arrived, and the state
// is compared again afterwards: what a stale holder changes is put right.
//
// Before an order to fetch weights, the owner takes a permit of the weight
// store. Where the store's limit is used up, endpoints that requests wait for
// go first: a lower Demand waits longer before it asks again.
package order
