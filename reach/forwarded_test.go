// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package reach_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/tcp/tcptest"
)

// addEndpoint adds an endpoint that calls serve for each connection until the test ends, and returns its
// index. It closes the connection after that, with a reset if reset is set.
func (f *fleet) addEndpoint(reset bool, serve func(c net.Conn)) int {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				serve(c)
				if reset {
					c.(*net.TCPConn).SetLinger(0)
				}
				c.Close()
			}()
		}
	}()
	f.endpoints = append(f.endpoints, l.Addr().String())
	return len(f.endpoints) - 1
}

// TestEndpointClosesForwarded checks that the end of the connection at the endpoint is passed on.
func TestEndpointClosesForwarded(t *testing.T) {
	for name, reset := range map[string]bool{
		"closed": false,
		"reset":  true,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 2)
			e := f.addEndpoint(reset, func(c net.Conn) { io.ReadFull(c, make([]byte, 1)) })
			f.instances[0].links.Set(tcptest.RefuseNew)
			c, err := f.dial(e)
			is.NoErr(err)
			defer c.Close()
			_, err = c.Write([]byte{1})
			is.NoErr(err)
			_, err = c.Read(make([]byte, 1))
			is.Equal(errors.Is(err, io.EOF), !reset)
			is.Equal(errors.Is(err, syscall.ECONNRESET), reset)
		})
	}
}

// TestForwardingInstanceLost guards against a connection that seems to end in order when the instance that
// forwards it is lost.
func TestForwardingInstanceLost(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	f.instances[0].links.Set(tcptest.RefuseNew)
	c, err := f.dial(0)
	is.NoErr(err)
	defer c.Close()
	is.Equal(via(c), f.instances[1].peer.ID)
	time.AfterFunc(20*time.Millisecond, f.instances[1].rpc.Stop)
	_, err = c.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.True(!errors.Is(err, io.EOF))
}

// TestResetDuringForwardedUpload guards against a reset that becomes an orderly end because data for the
// endpoint met it.
func TestResetDuringForwardedUpload(t *testing.T) {
	f := newFleet(t, 2)
	e := f.addEndpoint(true, func(c net.Conn) {
		c.Write([]byte("answer"))
		time.Sleep(5 * time.Millisecond)
	})
	f.instances[0].links.Set(tcptest.RefuseNew)
	for range 50 {
		is := is.New(t)
		c, err := f.dial(e)
		is.NoErr(err)
		go func() {
			for {
				if _, err := c.Write(make([]byte, 64<<10)); err != nil {
					return
				}
			}
		}()
		_, err = io.ReadAll(c)
		is.True(err != nil) // io.ReadAll returns no error at an orderly end
		c.Close()
	}
}
