// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Times of ListenAll.
const (
	// listenRetryInterval is the interval at which addresses that aren't available are tried again.
	listenRetryInterval = 100 * time.Millisecond
	// listenReportInterval is the shortest interval between two reports of the same error.
	listenReportInterval = 10 * time.Second
)

// Socket describes a listening socket.
type Socket struct {
	// Address is the address to listen on.
	Address string
	// Probed selects a listener whose connections have the options of Listen.
	Probed bool
	// Into receives the listener.
	Into *net.Listener
}

// ListenAll opens all sockets or none. While an address is in use or not assigned to the host, it reports
// that and tries again until ctx ends. It returns other errors at once. A server that uses one of the
// listeners retries after an error of Accept, unless the listener is closed.
func ListenAll(ctx context.Context, sockets []Socket, report func(error)) error {
	last := ""
	var reported time.Time
	for {
		err := ListenOnce(sockets)
		if err == nil || !mayPass(err) {
			return err
		}
		if err.Error() != last || time.Since(reported) >= listenReportInterval {
			report(err)
			last, reported = err.Error(), time.Now()
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), err.Error())
		case <-time.After(listenRetryInterval):
		}
	}
}

// ListenOnce is like ListenAll, but doesn't try again.
func ListenOnce(sockets []Socket) error {
	for i, s := range sockets {
		listen := listenPlain
		if s.Probed {
			listen = Listen
		}
		l, err := listen(s.Address)
		if err != nil {
			for _, opened := range sockets[:i] {
				// The socket has not been used, so an error has no effect.
				_ = (*opened.Into).Close()
				*opened.Into = nil
			}
			return errors.Wrap(err, "listen")
		}
		*s.Into = &persistentListener{
			Listener: l,
		}
	}
	return nil
}

// listenPlain listens on a TCP address with the default options.
func listenPlain(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// mayPass reports whether the cause of a failure to listen may disappear: another process or an outgoing
// connection uses the address, the host doesn't have it yet, or resources are exhausted.
func mayPass(err error) bool {
	for _, cause := range []error{
		syscall.EADDRINUSE,
		syscall.EADDRNOTAVAIL,
		syscall.EMFILE,
		syscall.ENFILE,
		syscall.ENOBUFS,
		syscall.ENOMEM,
	} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// persistentListener marks the errors of Accept as temporary while the listener is open. On Linux, Accept
// also returns errors of the network and of single connections (accept(2)), which would end a server.
type persistentListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l *persistentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return nil, &acceptError{
			cause: err,
		}
	}
	return c, err
}

// acceptError is an error after which a server calls Accept again.
type acceptError struct {
	cause error
}

// Error implements error.
func (e *acceptError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *acceptError) Unwrap() error { return e.cause }

// Timeout implements net.Error.
func (*acceptError) Timeout() bool { return false }

// Temporary implements net.Error.
func (*acceptError) Temporary() bool { return true }
