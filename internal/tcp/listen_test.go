// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package tcp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
)

// failingListener returns errors from Accept before it accepts connections.
type failingListener struct {
	net.Listener

	errs []error
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.Listener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// server is a server that a listener is given to.
type server interface {
	Serve(l net.Listener) error
}

// TestErrorsOfAccept guards against a server that ends after an error of Accept.
func TestErrorsOfAccept(t *testing.T) {
	for _, row := range []struct {
		name   string
		server server
		stop   func(server)
	}{
		{"http", &http.Server{}, func(s server) { s.(*http.Server).Close() }},
		{"grpc", grpc.NewServer(), func(s server) { s.(*grpc.Server).Stop() }},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var l net.Listener
			is.NoErr(ListenOnce([]Socket{{Address: "127.0.0.1:0", Into: &l}}))
			address := l.Addr().String()
			l.(*persistentListener).Listener = &failingListener{
				Listener: l.(*persistentListener).Listener,
				errs:     []error{syscall.EPROTO, syscall.ENOBUFS, syscall.EPERM, syscall.ENETUNREACH},
			}
			ended := make(chan error, 1)
			go func() { ended <- row.server.Serve(l) }()
			select {
			case err := <-ended:
				t.Fatalf("server ended: %v", err)
			case <-time.After(300 * time.Millisecond):
			}
			is.NoErr(Check(t.Context(), address))
			row.stop(row.server)
			<-ended
		})
	}
}

// TestListenAllOrNone guards against sockets that stay open while another address is in use.
func TestListenAllOrNone(t *testing.T) {
	is := is.New(t)
	used, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer used.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	free.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var first, second net.Listener
	reports := 0
	err = ListenAll(ctx, []Socket{
		{Address: free.Addr().String(), Into: &first},
		{Address: used.Addr().String(), Into: &second},
	}, func(error) {
		reports++
		cancel()
	})
	is.True(errors.Is(err, context.Canceled))
	is.Equal(reports, 1)
	is.True(first == nil && second == nil)
	is.True(Check(t.Context(), free.Addr().String()) != nil)
}
