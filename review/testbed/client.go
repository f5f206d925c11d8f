// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package testbed

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// Host is the host name of all routes.
const Host = "desk.example"

// Exchange is one attempt of a client, with what it saw.
type Exchange struct {
	// Caller has what the headers of the request state.
	Caller platformtest.Caller
	// Address is that of the instance, and Method, Path and Body are those of the request.
	Address string
	Method  string
	Path    string
	Body    string

	// Sent is when the client began to send, and Ended when it had the whole answer or an error.
	Sent  time.Time
	Ended time.Time
	// Status is zero without an answer, and Err is the error of the client.
	Status int
	Err    error
	// Header and Answer are the header and the body of the answer.
	Header http.Header
	Answer string
}

// NewClient returns a client with connections of its own that it keeps.
func NewClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
			DisableCompression:  true,
		},
	}
}

// Do sends the request, waits as long as the client says, and records both.
func (x *Exchange) Do(client *http.Client, r *Record) {
	ctx, cancel := context.WithTimeout(context.Background(), x.Caller.Wait)
	defer cancel()
	x.Sent = time.Now()
	defer func() {
		x.Ended = time.Now()
		r.PrintfAt(x.Sent, "sent      %s %s %s to %s", x.Caller.ID, x.Method, x.Path, x.Address)
		r.Printf("answered  %s status %d after %d ms, error %v", x.Caller.ID, x.Status, x.Ended.Sub(x.Sent).Milliseconds(), x.Err)
	}()
	// The client can't rewind a MultiReader and therefore never sends a request again.
	req, err := http.NewRequestWithContext(ctx, x.Method, "http://"+x.Address+x.Path, io.MultiReader(strings.NewReader(x.Body)))
	if err != nil {
		x.Err = err
		return
	}
	req.ContentLength = int64(len(x.Body))
	if x.Body == "" {
		req.Body = nil
	}
	req.Host = Host
	x.Caller.Set(req.Header)
	res, err := client.Do(req)
	if err != nil {
		x.Err = err
		return
	}
	defer func() { _ = res.Body.Close() }()
	x.Status, x.Header = res.StatusCode, res.Header
	data, err := io.ReadAll(res.Body)
	x.Answer, x.Err = string(data), err
}
