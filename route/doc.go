// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package route holds the routing table, which determines the service, the time limits and the
// access rules for each request.
//
// A Table is built from one version of the configuration and is immutable. A request matches
// the route with the longest path prefix among the routes of its host. A route leads to one
// service, or to several with weights. A request uses the same table from start to end.
package route
