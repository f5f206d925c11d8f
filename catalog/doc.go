// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package catalog maintains each instance's view of the platform's store: the configuration in
// force, the endpoints and the other instances.
//
// Only a few instances, the readers, read the store: the first ones in a rendezvous order of
// the instances that have enough capacity. A reader reads each feed in full once and then
// follows it by long polls. All other instances are followers. Over gRPC they follow either a
// reader or a relay, which is an instance that follows a reader and has followers itself. With
// n instances there are about n/32 relays, so two readers and two levels serve 2,000 instances.
// The keys of a feed are hashed into parts. A follower sends a checksum of the records that it
// has of each part, and receives the records of the parts that differ, unchanged and with their
// offsets. A record with a higher offset replaces one with a lower offset, whichever instance
// sent it.
//
// An instance whose data is stale accepts only followers that have no configuration yet. It may
// hold the requests of others briefly before it rejects them. An instance that finds no
// upstream reads the store itself, after a delay that grows with its position in the order. A
// reader that can't read the store follows other instances. A starting instance asks one of a few
// seeds, which its settings name, for instances to follow; the first seed reads the list of
// instances for all of them. If no seed answers, the instance reads the store itself, unless a
// relay introduces itself first. Entries of starting instances are forwarded upstream, and the
// instance that reads the store writes many of them in one call.
//
// A configuration with a higher version replaces a lower one, never the other way round. The
// age of the configuration counts from when the read that confirmed it was sent, by the
// monotonic clock, so it can only be overestimated. A follower adds the time since it sent its
// ping, and an age is sent only after all changes that it covers. Callers compare the age with
// the time within which revoked keys must be refused.
//
// Operator requests to drain a failure domain are in the same feed as the configuration, so
// they arrive as fast and have the same age. A drain request that a full read no longer contains
// has ended.
//
// The entries of endpoints expire during an outage of the store, because the endpoints can't
// renew them. An endpoint whose entry vanishes during an outage, or shortly afterwards, is
// therefore kept until the store has been readable for Settings.Hold.
package catalog
