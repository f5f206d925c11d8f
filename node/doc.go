// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package node runs one instance on a platform with a log.
//
// It connects the entry (which serves callers), the owner of endpoints, membership, the rollout of
// configurations, the claims on once-only keys, the customers' quotas, and the connections
// between instances.
//
// All instances run the same components. Rendezvous hashing over the available instances
// determines which endpoints, customers' quotas and partitions of claims an instance is responsible
// for.
package node
