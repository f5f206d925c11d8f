// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package soak runs the real programs as separate processes against stand-ins of the platform,
// injects faults from outside the processes, and checks the guarantees of the system on what
// callers and endpoints observed.
//
// A seed determines the schedule of faults: signals to processes (SIGTERM, SIGKILL, SIGSTOP
// and SIGCONT, SIGHUP), faults of the store and of endpoints, proxies that delay, reset or
// block connections in one or both directions, connections that discard all data, revoked
// keys, endpoints that leave or restart, drained failure domains, requests that crash
// endpoints, the loss of all instances during an outage of the store and, on request, instances cut
// from all endpoints and a store that comes back from a copy. Faults may overlap
// and repeat. Callers cancel some requests early and reuse a connection as long as the process
// keeps it open. After the last fault, the system must recover.
//
// The package only signals processes that it has started itself.
package soak
