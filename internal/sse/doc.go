// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package sse finds the complete events in streams of server-sent events (HTML Standard, section
// 9.2). A stream may end lines with LF, CR or CR LF and begin with a byte order mark; a line that
// begins with a colon is a comment.
//
// A stream that ends inside an event is incomplete, whatever the protocol below says about its end.
package sse
