// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Identity identifies requests with the same content. All retries of a request have the same
// identity at every instance. The zero value means that there is no request.
type Identity uint64

// Identify returns the identity of a request with the given target (path and query as the caller
// wrote them), customer and body. Request ids don't count. The identity is the start of a SHA-256
// hash, so that callers can't construct a body that collides with another request.
func Identify(target, customer string, body []byte) Identity {
	return identityOf(body, target, customer)
}

// IdentifyPart returns the identity of a part of prompts, given by its id, for the endpoints of a
// service. It differs from the identities of requests.
func IdentifyPart(service, id string) Identity {
	return identityOf([]byte(id), service)
}

// Incarnation identifies a process of an endpoint, of which there may be several at one address, one
// after the other. The zero value means that it is unknown.
type Incarnation uint64

// IdentifyIncarnation returns the incarnation of the endpoint with the given name that was started at a
// time, which counts in milliseconds. The time is zero if the endpoint has not restarted under its name.
func IdentifyIncarnation(name string, startedAt time.Time) Incarnation {
	return Incarnation(identityOf(binary.BigEndian.AppendUint64(nil, uint64(startedAt.UnixMilli())), name))
}

// identityOf hashes texts, each after its length, and then data.
func identityOf(data []byte, texts ...string) Identity {
	h := sha256.New()
	// Write never returns an error for a hash.
	for _, text := range texts {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(text))))
		_, _ = h.Write([]byte(text))
	}
	_, _ = h.Write(data)
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

// Texts returns the identities as they appear in logs.
func Texts(ids []Identity) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, id.String())
	}
	return out
}

// String returns the identity in hexadecimal, as it appears in logs.
func (i Identity) String() string {
	return strconv.FormatUint(uint64(i), 16)
}
