// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package problem

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Ran states whether a request ran on an endpoint.
type Ran string

// The values of Ran.
const (
	// NotRun means that no endpoint started the request and none will.
	NotRun Ran = "not_run"
	// MayHaveRun means that an endpoint may have started the request.
	MayHaveRun Ran = "may_have_run"
	// DidRun means that an endpoint started the request.
	DidRun Ran = "ran"
)

// Code is the stable code of an error.
type Code string

// The codes of errors.
const (
	CodeBadRequest     Code = "bad_request"
	CodeTooLarge       Code = "too_large"
	CodeUnauthorized   Code = "unauthorized"
	CodeForbidden      Code = "forbidden"
	CodeNotFound       Code = "not_found"
	CodeRateLimited    Code = "rate_limited"
	CodeConcurrency    Code = "concurrency_limited"
	CodeDeadline       Code = "deadline_unreachable"
	CodeDeadlinePassed Code = "deadline_passed"
	CodeNoEndpoint     Code = "no_endpoint"
	CodeNeverFits      Code = "never_fits"
	CodeCrashes        Code = "crashes_endpoints"
	CodeBusy           Code = "busy"
	CodeNotReady       Code = "not_ready"
	CodeEndpointFailed Code = "endpoint_failed"
	CodeStalled        Code = "stalled"
	CodeBadAnswer      Code = "bad_answer"
	CodeKeyUsed        Code = "key_used"
	CodeKeyExpired     Code = "key_expired"
	CodeLogDown        Code = "log_unavailable"
	CodeCancelled      Code = "cancelled"
	CodeInternal       Code = "internal"
)

// MediaType is the content type of an encoded Error.
const MediaType = "application/problem+json"

// Error is an error that a caller receives.
type Error struct {
	// Code is the stable code of the error.
	Code Code
	// Status is the HTTP status code.
	Status int
	// Ran states whether the request ran.
	Ran Ran
	// Detail explains the error to a person.
	Detail string
	// Field is the part of the input that was rejected, if any.
	Field string
	// RetryAfter is how long the caller should wait before it retries; zero means that the
	// answer doesn't state it.
	RetryAfter time.Duration
}

// Error returns the code, whether the request ran, and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Ran, e.Detail)
}

// New returns the error for a request that did not run.
func New(code Code, status int, detail string) *Error {
	return &Error{
		Code:   code,
		Status: status,
		Ran:    NotRun,
		Detail: detail,
	}
}

// Bad returns the error for a rejected input field.
func Bad(field, detail string) *Error {
	e := New(CodeBadRequest, http.StatusBadRequest, detail)
	e.Field = field
	return e
}

// Busy returns the error, with status 503, for a request that did not run and that the caller may
// retry after the given time.
func Busy(code Code, detail string, after time.Duration) *Error {
	e := New(code, http.StatusServiceUnavailable, detail)
	e.RetryAfter = after
	return e
}

// body is the JSON encoding of an Error.
type body struct {
	Type       string  `json:"type"`
	Title      string  `json:"title"`
	Status     int     `json:"status"`
	Detail     string  `json:"detail"`
	Code       Code    `json:"code"`
	Ran        Ran     `json:"ran"`
	Field      string  `json:"field,omitempty"`
	RetryAfter float64 `json:"retry_after_seconds,omitempty"`
	Request    string  `json:"request_id,omitempty"`
}

// Marshal returns the JSON encoding of e for the request with the given ID.
func (e *Error) Marshal(request string) []byte {
	b := body{
		Type:       "about:blank",
		Title:      http.StatusText(e.Status),
		Status:     e.Status,
		Detail:     e.Detail,
		Code:       e.Code,
		Ran:        e.Ran,
		Field:      e.Field,
		RetryAfter: e.RetryAfter.Seconds(),
		Request:    request,
	}
	out, err := json.Marshal(b)
	if err != nil {
		return []byte(`{"code":"internal"}`)
	}
	return out
}

// Write sends e as the complete answer to a request.
func (e *Error) Write(w http.ResponseWriter, request string) {
	w.Header().Set("Content-Type", MediaType)
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(e.Status)
	// An error means that the caller has closed the connection.
	_, _ = w.Write(e.Marshal(request))
}

// Parse decodes the JSON encoding of an Error. It returns false if data is not such an encoding.
func Parse(data []byte) (*Error, bool) {
	var b body
	if err := json.Unmarshal(data, &b); err != nil || b.Code == "" {
		return nil, false
	}
	e := &Error{
		Code:       b.Code,
		Status:     b.Status,
		Ran:        b.Ran,
		Detail:     b.Detail,
		Field:      b.Field,
		RetryAfter: time.Duration(b.RetryAfter * float64(time.Second)),
	}
	return e, true
}
