// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/linkmast/linkmast/platform/platformtest"
	"github.com/linkmast/linkmast/review/testbed"
)

// link is the connection side of an endpoint. While the endpoint is at fault, one in oneIn of its
// whole answers is followed by another answer, which comes late: when the next request has arrived on
// the connection.
type link struct {
	endpoint *platformtest.Endpoint
	address  string
	atFault  atomic.Bool
	// answers counts the answers while at fault, and extra the answers too many.
	answers atomic.Int64
	extra   atomic.Int64

	target string
	bed    *testbed.Bed
}

// newLink serves an endpoint and starts its link.
func newLink(bed *testbed.Bed, e *platformtest.Endpoint) (*link, error) {
	target, err := bed.Serve(e)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	out := &link{
		endpoint: e,
		address:  l.Addr().String(),
		target:   target,
		bed:      bed,
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go out.serve(c)
		}
	}()
	return out, nil
}

// serve forwards the requests of a connection, one after the other, and their answers.
func (l *link) serve(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	requests, answers := bufio.NewReader(caller), bufio.NewReader(server)
	owes := ""
	for {
		req, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(string(body))), int64(len(body))
		id := req.Header.Get("Request-Id")
		if err := req.Write(server); err != nil {
			return
		}
		res, err := http.ReadResponse(answers, req)
		if err != nil {
			return
		}
		if owes != "" {
			l.extra.Add(1)
			l.bed.Record.Printf("fault     %s sends an answer too many after the one to %s, where that to %s is due", l.endpoint.Instance, owes, id)
			if _, err := io.WriteString(caller, strings.ReplaceAll(extraAnswer, "\n", "\r\n")); err != nil {
				return
			}
			owes = ""
		}
		if err := res.Write(caller); err != nil {
			return
		}
		if l.atFault.Load() && l.answers.Add(1)%oneIn == 0 {
			owes = id
		}
	}
}
