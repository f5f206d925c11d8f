// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package worth tells what the answer to a request is worth to who pays for it.
//
// Customers pay for the engines' time that a request of a route usually takes, within the
// route by the size of the request, and for the priority that they bought. With w the work
// of a usual request of the route, in time of one engine, and u that of a usual request of
// the service,
//
//	in time = unit × (fixed + w/u) × (fixed + (1 − fixed) × size/mean size) × tier/mean tier
//	late    = late × in time
//
// The tier falls with the rank of the customer, and less with that of the route, so that a
// customer's rank goes before its routes'. The mean is over the requests of late: where
// all are of one rank, tiers change nothing.
//
// It guards against urgent requests that are refused for long ones where engines are
// scarce, as they would be with one line over the length of the prompt for all.
//
// Worth is in units of which a short prompt is worth some 1.3. All that decides on a
// request asks this package: where it is placed, whom it may displace, what the engines'
// time costs, who is refused, and when callers may return.
package worth
