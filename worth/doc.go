// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package worth computes the value of answering a request, on time or late.
//
// The value reflects what customers pay for: the engine time that requests of a route usually
// take, within the route the size of the request, and the priority that the customer bought.
// With w the engine time of a typical request of the route, u that of a typical request of the
// service, and the settings Fixed and Late,
//
//	on time = baseValue × (Fixed + w/u) × (Fixed + (1 − Fixed) × size/mean size) × tier/mean tier
//	late    = Late × on time
//
// The tier falls with the rank of the customer and, less steeply, with that of the route, so
// that a customer's rank takes precedence over the ranks of routes. The mean tier is taken over
// recent requests: where all have the same rank, tiers have no effect.
//
// A value that only grew with the length of the prompt would favour long requests over urgent
// ones when engines are scarce.
//
// Values are in units in which a short prompt is worth about 1.3. The same values decide on the
// placement of a request, which requests it may displace, the price of engine time, refusals,
// and when callers may come back.
package worth
