// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package upstream

import (
	"io"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/wirehttp"
)

// ErrUnbounded is the cause of errors about a response that exceeds a limit and may have no end.
var ErrUnbounded = errors.New("response has more bytes than allowed")

// maxSkipped is the maximum size of the body of a response to another request in bytes.
const maxSkipped = 1 << 20

// headReader reads from a connection. While it reads a head, it fails with ErrUnbounded after
// wirehttp.MaxHead bytes, to which what the reader above has buffered is added.
type headReader struct {
	r io.Reader
	// inHead is set while a head is read, and left is how many bytes it may still have.
	inHead bool
	left   int
}

// begin starts to count the bytes of a head.
func (h *headReader) begin() {
	h.inHead, h.left = true, wirehttp.MaxHead
}

// end ends the head.
func (h *headReader) end() {
	h.inHead = false
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.inHead {
		return h.r.Read(p)
	}
	if h.left <= 0 {
		return 0, errors.Wrap(ErrUnbounded, "head")
	}
	n, err := h.r.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}
