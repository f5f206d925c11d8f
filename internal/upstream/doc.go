// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package upstream is the connections of an instance to endpoints, HTTP/1.1
// with the messages of net/http.
//
// net/http's own client sends some requests again by itself, does not heed the
// idle time that a server names, and takes whatever comes next on a connection
// for the answer that is due. Here a request is written once to one connection,
// an error says whether any byte of it can have arrived, an answer that belongs
// to another request is skipped, and a connection with anything unexpected on it
// is closed.
package upstream
