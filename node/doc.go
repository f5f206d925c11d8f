// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package node assembles one instance of the system from its parts: the entry
// for callers, the owner of endpoints, membership, the configuration, claims
// and limits, and the connections between instances.
//
// All instances are alike. Which endpoints, customers and partitions an
// instance looks after follows from rendezvous hashing over the instances that
// are there.
package node
