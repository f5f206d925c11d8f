// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package worth computes the worth of a request: what answering it brings, on time or late.
//
// The worth reflects what customers pay for: the engine time that requests of a route usually
// take, within the route the size of the request, and the priority that the customer bought.
// With w the engine time of a typical request of the route, u that of a typical request of the
// service, and the settings Fixed and Late,
//
//	on time = baseWorth × (Fixed + w/u) × (Fixed + (1 − Fixed) × size/mean size) × tier/mean tier
//	late    = Late × on time
//
// The size is the engine time of the request's tokens if each took as long as in a short prompt.
// The tier falls with the rank of the customer and, less steeply, with that of the route, so
// that a customer's rank takes precedence over the ranks of routes. The mean tier is taken over
// recent requests: where all have the same rank, tiers have no effect.
//
// A worth that only grew with the length of the prompt would favour long requests over urgent
// ones when engines are scarce.
//
// In its unit, a short prompt is worth about 1.3. The worth of requests decides on their placement,
// which requests they may displace, the price of engine time, and refusals.
package worth
