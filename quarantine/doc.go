// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package quarantine keeps requests from endpoints that crash the endpoints which run them.
//
// A request is known again by its Identity: its path, who pays for it, and its body. Callers
// name each try anew, send it to any instance, and try again when an endpoint breaks off,
// so that nothing else links the crashes.
//
// An instance whose attempt broke off looks whether its endpoint has ended (Detector), and reports
// a Crash if it takes no connection. A Registry counts those of one identity that follow each other: an attempt that was under
// way while the one before crashed its endpoint adds nothing, so that many equal requests
// under way on endpoints that stop together count once. Nor does a crash at the moment of
// which an endpoint ended as well that did not run the request, alone or in a joint reading. After three in a row the
// identity is banned, and no instance sends it to an endpoint. An answer that is whole, of any
// attempt, ends suspicion and ban.
//
// A ban lapses. Instances then let a request of the identity run in turn; the next crash bans it
// again, for ten times as long.
//
// Each instance has a Registry. What one decides it tells others as a Verdict. Where entries have
// sessions with the owner of a pool, package pool carries crashes there and verdicts back, and
// a Recorder keeps bans in the platform's store, so that they outlast all instances. Where they
// have none, a PeerGuard does, by calls between instances. Those who send requests ask a Guard.
package quarantine
