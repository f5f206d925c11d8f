// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package policy decides where a request runs and in what order requests start. It uses neither the
// clock nor the network: callers pass in the state, the request and the time, and get a decision
// with its reason. Owners refuse requests by its estimates, such as Ledger.MinTime.
//
// An engine is modelled as follows. It prefills prompts at a rate of R tokens per second in
// order of priority, and each step of duration D generates one token for every request whose
// prompt is complete. A request with p prompt tokens, of which h are cached, and at most o
// answer tokens has
//
//	prefill P = (p-h)/R
//	work    W = P + o·D
//
// The priority combines the rank of the tier with a class of prompt length: lower ranks go
// first and, within a rank, shorter classes. Ageing improves the rank by one for each MaxWait
// that a request has waited, which bounds how long others can overtake it.
package policy
