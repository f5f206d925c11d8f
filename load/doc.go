// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package load sends requests to a deployment and measures the answers.
//
// The load is open-loop: arrivals are a Poisson process that is drawn from a seed
// beforehand, and a slow answer delays no later request. Times are measured from when a
// request was due rather than from when it was sent, so that a stalled sender doesn't hide
// latency (coordinated omission). They are recorded in HDR histograms.
//
// Each completion is compared with the one that the stand-in engines give to its prompt. An
// answer that differs is counted as answered and as wrong, and a truncated one as failed.
// Answers to plain calls are not compared.
package load
