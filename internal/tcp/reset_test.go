// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package tcp_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/tcp"
)

// connect returns both sides of a new connection. The client's side detects resets.
func connect(t *testing.T) (client net.Conn, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var d net.Dialer
	c, err := tcp.DetectResets(d.DialContext)(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return c, s.(*net.TCPConn)
}

// TestDetectResets guards against a reset that reads as the end of the data because a write has reported it.
func TestDetectResets(t *testing.T) {
	reset := func(s *net.TCPConn) {
		s.SetLinger(0)
		s.Close()
	}
	for _, row := range []struct {
		name string
		end  func(s *net.TCPConn)
		// writes states that the client writes between the end and its read.
		writes bool
		want   error
	}{
		{"closed", func(s *net.TCPConn) { s.Close() }, false, io.EOF},
		{"write side closed", func(s *net.TCPConn) { s.CloseWrite() }, true, io.EOF},
		{"reset", reset, false, syscall.ECONNRESET},
		{"reset, reported to a write", reset, true, syscall.ECONNRESET},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			client, server := connect(t)
			row.end(server)
			time.Sleep(20 * time.Millisecond)
			if row.writes {
				client.Write([]byte("x"))
			}
			client.SetReadDeadline(time.Now().Add(time.Second))
			_, err := client.Read(make([]byte, 1))
			is.True(errors.Is(err, row.want))
		})
	}
}
