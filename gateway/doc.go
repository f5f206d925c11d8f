// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package gateway is one instance on a platform with a store.
//
// It puts the parts together: the catalog that follows the store, the scheduler
// of pools, the relay that serves callers, and the adapter in package platform.
// All instances are alike and keep nothing.
package gateway
