// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package wirehttp

import (
	"net/http"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead is the cause of errors about a response whose head is not one of HTTP/1. Such a
// response doesn't tell whether the request ran, and where its body begins and ends is unknown.
var ErrMalformedHead = errors.New("malformed head of response")

// The range of status codes, which is narrower than what three digits hold (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an error whose cause is ErrMalformedHead unless the head of a response that net/http
// has parsed follows RFC 9110 and RFC 9112. The parser accepts any status code of three characters, any
// version, any reason phrase, and spaces in the names of fields, also before the colon.
func CheckHead(res *http.Response) error {
	switch {
	case res.ProtoMajor != 1:
		return errors.Wrapf(ErrMalformedHead, "version %q", res.Proto)
	case res.StatusCode < minStatus || res.StatusCode > maxStatus:
		return errors.Wrapf(ErrMalformedHead, "status %q", res.Status)
	case res.StatusCode == http.StatusSwitchingProtocols:
		// None of the requests asks for another protocol.
		return errors.Wrapf(ErrMalformedHead, "unexpected status %q", res.Status)
	case !httpguts.ValidHeaderFieldValue(res.Status):
		// A reason phrase has the same characters as a field's value.
		return errors.Wrapf(ErrMalformedHead, "control character in status %q", res.Status)
	}
	return CheckNames(res.Header)
}

// CheckNames returns an error whose cause is ErrMalformedHead unless the names of all fields are tokens
// (RFC 9110, section 5.1). A field such as "Transfer-Encoding : chunked" may be meant to delimit the body,
// for which the parser ignores it.
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformedHead, "field name %q", name)
		}
	}
	return nil
}
