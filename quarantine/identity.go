// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/go-faster/errors"
)

// Identity identifies requests with the same content. All retries of a request have the same
// identity at every instance. The zero value means that there is no request.
type Identity uint64

// Identify returns the identity of a request with the given target (path and query as the caller
// wrote them), customer and body. Request ids don't count. The identity is the start of a SHA-256
// hash, so that callers can't construct a body that collides with another request.
func Identify(target, customer string, body []byte) Identity {
	h := sha256.New()
	// Write never returns an error for a hash.
	for _, part := range [...]string{target, customer} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	return Identity(binary.BigEndian.Uint64(h.Sum(nil)))
}

// ParseIdentity parses the output of String.
func ParseIdentity(text string) (Identity, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, errors.Wrap(err, "parse request identity")
	}
	return Identity(n), nil
}

// String returns the identity in hexadecimal, as it appears in logs.
func (i Identity) String() string {
	return strconv.FormatUint(uint64(i), 16)
}
