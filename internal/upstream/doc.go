// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package upstream sends requests of an instance to endpoints over HTTP/1.1 and pools the
// connections. It uses the message types of net/http but not its client. That client resends some
// requests on its own, ignores the idle timeout that a server announces, and accepts any response
// on a connection as the one to its request.
//
// This package writes a request once, to one connection, and its errors report whether the
// endpoint may have received any of it. Responses to other requests are skipped, and an idle
// connection with unexpected data on it is closed. The size of a response's head is limited.
package upstream
