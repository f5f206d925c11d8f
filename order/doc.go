// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package order makes endpoints load the model, version and adapters that the configuration
// names.
//
// The owner of an endpoint compares the desired state with the reported one and orders what is
// missing. Each order carries a fence: the offset of a record in the log, which is appended
// only when an order is due. An endpoint that checks fences refuses an order with a lower fence
// than the highest it has seen, so a late order of a former owner can't undo a newer one. An
// endpoint that does not check fences gets an order only after the new owner has owned it for
// Settings.TakeoverDelay, so that orders of the former owner have arrived by then. Later
// reconciliations correct whatever a former owner still changes.
//
// Before an order that makes an endpoint fetch weights, the owner obtains a permit from the
// weight store. When the store's rate limit is exhausted, endpoints with waiting requests go
// first: for the others the owner waits longer before it asks for a permit again.
package order
