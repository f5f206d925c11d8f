// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package gateway runs one instance on a platform with a store.
//
// It connects the catalog (the records of the store), the scheduler of pools, the relay (which serves
// callers) and the adapters of package platform. All instances run the same components and keep no
// persistent state.
package gateway
