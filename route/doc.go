// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package route holds the serving table: which service answers a request,
// within which time, and for whom.
//
// A Table is made from one version of the configuration and never changes. The
// route of a request is the one with the longest path prefix among the routes
// of its host; a route names one service, or several with weights. A request
// keeps the table that it began with to its end.
package route
