// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"io"
	"net/http"
)

// Limits on the body of a request.
const (
	// defaultMaxBody applies if the configuration sets no limit, in bytes.
	defaultMaxBody = 16 << 20
	// maxDiscard bounds how much of a body above the limit is read and discarded, in bytes.
	maxDiscard = 8 << 20
)

// read reads the body into the job. It returns a refusal if the body exceeds the limit or does
// not arrive completely.
func (j *job) read(r *http.Request) *refusal {
	limit := j.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		// A caller that is still sending might not read the answer.
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscard))
		return tooLarge()
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return &refusal{
			status: http.StatusBadRequest,
			reason: "body is cut short",
		}
	}
	if int64(len(data)) > limit {
		return tooLarge()
	}
	j.body = data
	return nil
}

// tooLarge returns the refusal of a body above the limit.
func tooLarge() *refusal {
	return &refusal{
		status: http.StatusRequestEntityTooLarge,
		reason: "body is too large",
	}
}
