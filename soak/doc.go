// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package soak runs the real programs as separate processes over stand-ins,
// injects faults from outside them, and holds what callers and endpoints saw
// against what the system promises.
//
// A schedule is drawn from a seed: signals to processes (SIGTERM, SIGKILL,
// SIGSTOP and SIGCONT, SIGHUP), faults of the store and of endpoints, loopback
// proxies that delay, reset, silence or cut connections one way, keys that are
// taken away, endpoints that leave, connections that go silent for good, the loss of
// all instances in an outage of the store, callers that leave at any moment. Faults overlap and repeat. Callers keep
// using their connections until the process is gone. At the end all faults are
// lifted and the system must be well again.
//
// Only processes that the soak itself started are signalled, by their ids.
package soak
