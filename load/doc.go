// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package load sends requests to a deployment and measures the answers.
//
// Arrivals are open-loop: their times are drawn beforehand as a Poisson process
// from a seed, and a slow answer holds back no later request. Every time is
// measured from when the request was due, not from when it was sent, so a
// stalled sender hides nothing (coordinated omission). Times go into HDR
// histograms.
//
// Each answer is compared with what the stand-in engines give to its prompt,
// so a crossed, cut or doubled answer is counted and not taken for a good one.
package load
