// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package quarantine stops requests that crash the endpoints that run them.
//
// Requests with the same path, query, customer and body share an Identity. Callers retry when an
// endpoint fails, with a new request id and at any instance, so the identity is the only link
// between the crashes that such a request causes.
//
// When an attempt is interrupted or its endpoint falls silent, a Detector checks whether the
// endpoint still accepts connections, and reports a Crash if it does not. A Registry counts
// consecutive crashes of one identity: a crash counts only if its attempt started after the
// previous crash, so that many copies of a request on endpoints that fail together count once. A
// crash doesn't count if another endpoint that did not run the request, alone or in a joint
// prefill, ended at the same moment. After three consecutive crashes the identity is banned, and no
// instance sends its requests to endpoints. A complete answer to any attempt ends both suspicion
// and ban.
//
// Bans expire. Then each instance admits requests of the identity again, one at a time, and the
// instances start to do so one after another. While the expired ban is kept, the next crash bans
// the identity for ten times as long, up to a day.
//
// Each instance has a Registry and sends its decisions to other instances as Verdicts. Where entry
// instances have sessions with the owner of a pool, package pool carries crashes to the owner and
// verdicts back. A Recorder then writes bans to the platform's store, where they survive a restart
// of all instances. Elsewhere a PeerGuard sends both by calls between instances. Code that sends
// requests to endpoints uses the Guard interface.
package quarantine
