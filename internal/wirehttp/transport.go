// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package wirehttp

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// checkedTransport is an http.Transport that returns an error for a response with a malformed head.
type checkedTransport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			return CheckNames(http.Header(header))
		},
	}
	res, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(res); err != nil {
		// The transport already reuses the connection if the response seems to have no body. Errors have
		// no consequence, as nothing more is read.
		_ = conn.Close()
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}
