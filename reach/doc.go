// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package reach opens connections to endpoints, directly or through another instance.
//
// An instance may lose its own paths to endpoints while callers, the store and other instances
// still reach it, and while the other instances still reach the endpoints. A Dialer then requests a
// connection from another instance, whose Server dials the endpoint and forwards the bytes. All
// decisions about a request stay with the instance that received it: the forwarding instance sees
// only bytes, and never forwards to a third instance.
//
// A second instance is asked after each direct dial that fails or takes long. So a Dialer can tell
// a fault of its own paths from a fault of the endpoint: only if another instance that reaches
// endpoints fails to reach this one is the endpoint at fault.
package reach
