// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package member tracks which instances are available, and determines which instance owns what.
//
// The platform's list of instances lags behind. Each instance therefore probes a few random peers
// at regular intervals. Two failed probes in a row create a report, and probes and their answers
// carry the reports. An instance is considered down if at least Quorum instances report it, so that
// a single partitioned instance can't mark others as down for everyone. An instance also considers
// a peer as down for itself after more failures in a row. A reporter removes its report when it
// reaches the peer again; the copies of the report at other instances end by age.
//
// The owner of an endpoint is the instance of the endpoint's region that wins rendezvous hashing
// (Thaler and Ravishankar, 1998) among the listed instances that are not leaving, down or stopping.
// Views of instances may differ temporarily; correctness doesn't depend on them.
package member
