// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package wirehttp

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

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
// (RFC 9110, section 5.1). The parser ignores a field such as "Transfer-Encoding : chunked", although the sender
// may have meant it to delimit the body.
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformedHead, "field name %q", name)
		}
	}
	return nil
}

// ReadResponse is like http.ReadResponse, but returns an error whose cause is ErrMalformedHead for a response
// that CheckHead rejects, and for one of HTTP/1.0 with a Transfer-Encoding field, whose framing is faulty (RFC
// 9112, section 6.1). It finds that field only in the part of the head that fits into the buffer of r.
func ReadResponse(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	if err := checkCoding(r); err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(r, req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(res); err != nil {
		return nil, err
	}
	return res, nil
}

// checkCoding looks for the Transfer-Encoding field of a response of HTTP/1.0 without consuming it, as
// http.ReadResponse drops the field and takes the coded body for the content. It waits for no more bytes than the
// parser needs to fail. Its error at an early end of the data is io.ErrUnexpectedEOF, as the parser's is.
func checkCoding(r *bufio.Reader) error {
	version := []byte("HTTP/1.0 ")
	for {
		// A Peek of what is buffered doesn't fail.
		head, _ := r.Peek(r.Buffered())
		known := min(len(head), len(version))
		if !bytes.Equal(head[:known], version[:known]) {
			return nil
		}
		coded, ended := findCoding(head)
		if coded {
			return errors.Wrap(ErrMalformedHead, "transfer coding in a response of HTTP/1.0")
		}
		if ended || len(head) == r.Size() {
			return nil
		}
		_, err := r.Peek(len(head) + 1)
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
}

// findCoding reports whether the complete lines of a head contain a Transfer-Encoding field, and whether they
// contain the end of the head.
func findCoding(head []byte) (coded, ended bool) {
	for {
		line, rest, complete := bytes.Cut(head, []byte("\n"))
		if !complete {
			return false, false
		}
		if len(bytes.TrimRight(line, "\r")) == 0 {
			return false, true
		}
		name, _, _ := strings.Cut(string(line), ":")
		if strings.EqualFold(name, "Transfer-Encoding") {
			return true, false
		}
		head = rest
	}
}
