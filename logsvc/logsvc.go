// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package logsvc

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/wirehttp"
)

// Record is a record of a stream.
type Record struct {
	// Offset is the position of the record in its stream, starting at 1.
	Offset int64 `json:"offset"`
	// Data is the content of the record as it was appended.
	Data []byte `json:"data"`
}

// Batch is the result of a read.
type Batch struct {
	// Earliest is the lowest offset that the log still keeps. The highest is
	// Next-1.
	Earliest int64 `json:"earliest"`
	// Next is the offset that the next appended record will get.
	Next int64 `json:"next"`
	// Records are in the order of their offsets, without gaps. The stream may have
	// further records.
	Records []Record `json:"records"`
}

// Log is the platform's log.
type Log interface {
	// Append appends records to a stream and returns the offset of the first.
	// An error is an *Error.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns records of a stream, starting at the offset from. If there are
	// none, it waits for one, for at most the duration wait.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
}

// Error reports that an append or a read failed.
type Error struct {
	// Unknown is true if an append may have taken effect.
	Unknown bool
	// Err is the underlying error.
	Err error
}

// Error returns the underlying error with a prefix that says whether the effect is
// unknown.
func (e *Error) Error() string {
	if e.Unknown {
		return fmt.Sprintf("log: effect unknown: %v", e.Err)
	}
	return fmt.Sprintf("log: no effect: %v", e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error {
	return e.Err
}

// IsUnknown reports whether the append that returned err may have taken effect.
func IsUnknown(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Unknown
}

// AppendBody is the JSON body of the request for an append.
type AppendBody struct {
	// Records are appended in this order.
	Records [][]byte `json:"records"`
}

// AppendAnswer is the JSON body of the response to an append.
type AppendAnswer struct {
	// Offset is the offset of the first appended record.
	Offset int64 `json:"offset"`
}

// HTTP implements Log over HTTP.
type HTTP struct {
	client *http.Client
	base   string
}

// NewHTTP returns a client of the log at address, a host and port.
func NewHTTP(client *http.Client, address string) *HTTP {
	return &HTTP{
		client: client,
		base:   "http://" + address,
	}
}

// Append implements Log.
func (h *HTTP) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	data, err := json.Marshal(AppendBody{
		Records: records,
	})
	if err != nil {
		return 0, &Error{
			Err: err,
		}
	}
	ctx, connected := wirehttp.TraceConnection(ctx)
	path := h.base + "/v1/streams/" + url.PathEscape(stream)
	body := wirehttp.Once(bytes.NewReader(data))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, path, body)
	if err != nil {
		return 0, &Error{
			Err: err,
		}
	}
	res, err := h.client.Do(req)
	if err != nil {
		return 0, &Error{
			Unknown: connected.Load(),
			Err:     err,
		}
	}
	defer wirehttp.Drain(res.Body)
	if res.StatusCode != http.StatusOK {
		return 0, &Error{
			Unknown: res.StatusCode/100 == 5 && res.StatusCode != http.StatusServiceUnavailable,
			Err:     errors.Errorf("append: status %d", res.StatusCode),
		}
	}
	var a AppendAnswer
	if err := wirehttp.DecodeJSON(res.Body, &a); err != nil {
		return 0, &Error{
			Unknown: true,
			Err:     err,
		}
	}
	return a.Offset, nil
}

// Read implements Log.
func (h *HTTP) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	var b Batch
	query := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	path := h.base + "/v1/streams/" + url.PathEscape(stream) + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return b, &Error{
			Err: err,
		}
	}
	res, err := h.client.Do(req)
	if err != nil {
		return b, &Error{
			Err: err,
		}
	}
	defer wirehttp.Drain(res.Body)
	if res.StatusCode != http.StatusOK {
		return b, &Error{
			Err: errors.Errorf("read: status %d", res.StatusCode),
		}
	}
	if err := wirehttp.DecodeJSON(res.Body, &b); err != nil {
		return b, &Error{
			Err: err,
		}
	}
	return b, nil
}
