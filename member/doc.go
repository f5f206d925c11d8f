// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package member knows which of the system's instances are there, and who owns
// what.
//
// The platform's list says who should be there; it lags. Each instance probes
// a few random peers in each interval. A probe that fails twice becomes a
// report, and reports travel with probes. An instance is taken as down when at
// least Quorum instances report it, so that one instance that is cut off
// declares nobody gone for others. For itself, an instance does not count on a
// peer that it has not reached for long. A report ends when its reporter reaches the
// instance again, or by its age.
//
// An endpoint's owner is the instance of the endpoint's region that wins
// rendezvous hashing (Thaler and Ravishankar, 1998) among those that are
// listed as live, not down and not stopping. Views differ for a while; nothing
// that must hold rests on them.
package member
