// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/go-faster/errors"
)

// Identity tells requests apart by what they ask for: all tries of one request have the
// same, at any instance. The zero value is that of no request.
type Identity uint64

// Identify returns the identity of a request by its target (path and query as the caller
// wrote them), who pays, and its body. The names that callers give their tries don't count.
// It is the start of a SHA-256, so that no caller can find a body that passes for another
// request.
func Identify(target, customer string, body []byte) Identity {
	h := sha256.New()
	// A hash takes all that is written.
	for _, part := range [...]string{target, customer} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	return Identity(binary.BigEndian.Uint64(h.Sum(nil)))
}

// ParseIdentity returns the identity that String wrote.
func ParseIdentity(text string) (Identity, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, errors.Wrap(err, "identity of a request")
	}
	return Identity(n), nil
}

// String returns the identity in hexadecimal, as logs have it.
func (i Identity) String() string {
	return strconv.FormatUint(uint64(i), 16)
}
