// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package wirehttp

import (
	"net/http"
	"slices"
)

// Framing is how the end of a response's body is marked (RFC 9112, section 6.3).
type Framing int

const (
	// ByLength means that the header states the length of the body, or that there is no body.
	ByLength Framing = iota
	// ByChunks means that the last chunk ends the body.
	ByChunks
	// ByClose means that the end of the connection ends the body. A body that was interrupted
	// then looks like a complete one, unless the connection was reset.
	ByClose
)

// String returns a word for the log.
func (f Framing) String() string {
	switch f {
	case ByLength:
		return "length"
	case ByChunks:
		return "chunks"
	case ByClose:
		return "close"
	}
	return "unknown"
}

// FramingOf returns the framing of a response that was read from a connection.
func FramingOf(res *http.Response) Framing {
	switch {
	case slices.Contains(res.TransferEncoding, "chunked"):
		return ByChunks
	case res.ContentLength < 0 && res.Body != http.NoBody:
		return ByClose
	}
	return ByLength
}
