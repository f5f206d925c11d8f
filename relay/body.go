// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Limits on the body of a request.
const (
	// defaultMaxBody applies if the configuration sets no limit, in bytes.
	defaultMaxBody = 16 << 20
	// maxDiscard bounds how much of a body above the limit is read and discarded, in bytes.
	maxDiscard = 8 << 20
)

// firstBlock is the size of the first buffer of a body, in bytes. Most bodies fit.
const firstBlock = 64 << 10

// errNoRoom is the cause of a body that was not kept.
var errNoRoom = errors.New("bodies of other requests take up the memory")

// bodyMemory bounds the size of the bodies that all requests hold.
type bodyMemory struct {
	// limit is in bytes; zero means that there is no limit.
	limit int64
	held  atomic.Int64
}

// take adds n bytes and returns true, unless that would exceed the limit.
func (m *bodyMemory) take(n int64) bool {
	if m.held.Add(n) > m.limit && m.limit > 0 {
		m.held.Add(-n)
		return false
	}
	return true
}

// readInTime is like read, but refuses a body that doesn't arrive before the job's deadline or before the end
// of ctx, which is a context of sendContext.
func (j *job) readInTime(ctx context.Context, w http.ResponseWriter, r *http.Request, m *bodyMemory) *refusal {
	if r.ContentLength == 0 {
		return j.read(r, m)
	}
	conn := http.NewResponseController(w)
	// An error means that the connection is closed already, or that w is not one of net/http's server.
	_ = conn.SetReadDeadline(time.Now().Add(j.left()))
	ended := make(chan struct{})
	unregister := context.AfterFunc(ctx, func() {
		defer close(ended)
		_ = conn.SetReadDeadline(time.Now())
	})
	ref := j.read(r, m)
	if !unregister() {
		<-ended
	}
	switch {
	case ref == nil:
		// The deadline must not end the connection while the answer is written.
		_ = conn.SetReadDeadline(time.Time{})
	case ref.status == http.StatusRequestTimeout && errors.Is(context.Cause(ctx), errStopping):
		return refuseStopping()
	}
	return ref
}

// read reads the body into the job. It returns a refusal if the body exceeds the limit, does not
// arrive completely or finds no room. The caller must call releaseBody in any case.
func (j *job) read(r *http.Request, m *bodyMemory) *refusal {
	limit := j.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		discard(r.Body)
		return tooLarge()
	}
	data, err := j.readAll(r.Body, r.ContentLength, limit, m)
	switch {
	case errors.Is(err, errNoRoom):
		discard(r.Body)
		return serviceUnavailable(err.Error(), defaultRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{
			status: http.StatusRequestTimeout,
			reason: "body did not arrive in time",
		}
	case err != nil:
		return &refusal{
			status: http.StatusBadRequest,
			reason: "body is cut short",
		}
	case int64(len(data)) > limit:
		return tooLarge()
	}
	j.body = data
	return nil
}

// discard reads the rest of a body that is refused, since a caller that is still sending might not read
// the answer.
func discard(body io.Reader) {
	// A failed read means that the caller has disconnected.
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDiscard))
}

// readAll reads a body of the given size, or of at most one byte more than limit if the size is negative.
// It takes the memory as the body arrives.
func (j *job) readAll(body io.Reader, size, limit int64, m *bodyMemory) ([]byte, error) {
	most := limit + 1
	if size >= 0 {
		most = size
	}
	var data []byte
	for int64(len(data)) < most {
		if len(data) == cap(data) {
			next := min(max(2*int64(cap(data)), firstBlock), most)
			if !m.take(next - int64(cap(data))) {
				return nil, errNoRoom
			}
			j.bodyHeld = next
			data = append(make([]byte, 0, next), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) && (size < 0 || int64(len(data)) == size) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return data, nil
}

// releaseBody gives the memory of the job's body back.
func (j *job) releaseBody(m *bodyMemory) {
	m.held.Add(-j.bodyHeld)
	j.bodyHeld = 0
}

// tooLarge returns the refusal of a body above the limit.
func tooLarge() *refusal {
	return &refusal{
		status: http.StatusRequestEntityTooLarge,
		reason: "body is too large",
	}
}
