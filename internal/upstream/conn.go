// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// bufferBytes is the size of the read buffer and of the write buffer of a connection; most
// requests and many responses fit.
const bufferBytes = 8 << 10

// Conn is a connection to an endpoint.
type Conn struct {
	net net.Conn
	// address is the endpoint's host and port.
	address string
	// reader reads from head, which limits the size of heads.
	reader *bufio.Reader
	head   *headReader
	writer *bufio.Writer
	// idleSince is when the connection became idle, and idleTimeout how long it may be reused
	// from then on.
	idleSince   time.Time
	idleTimeout time.Duration
}

// newConn wraps a new connection to an address.
func newConn(c net.Conn, address string) *Conn {
	head := &headReader{
		r: c,
	}
	return &Conn{
		net:         c,
		address:     address,
		reader:      bufio.NewReaderSize(head, bufferBytes),
		head:        head,
		writer:      bufio.NewWriterSize(c, bufferBytes),
		idleTimeout: defaultIdleTimeout,
	}
}

// quieter is a connection without a file descriptor. Quiet reports whether it is open and has no
// data to read.
type quieter interface {
	Quiet() bool
}

// via returns the ID of the instance that forwards the connection; empty for a direct one.
func (c *Conn) via() string {
	if f, ok := c.net.(interface{ Via() string }); ok {
		return f.Via()
	}
	return ""
}

// reusable reports whether an idle connection is still open and has no data to read, which it
// determines with a read that does not block.
func (c *Conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if q, ok := c.net.(quieter); ok {
		return q.Quiet()
	}
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// readKeepAlive sets idleTimeout from the Keep-Alive header of a response, if there is one.
func (c *Conn) readKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			c.idleTimeout = max(time.Duration(n)*time.Second-idleTimeoutMargin, 0)
		}
	}
}

// close closes the connection.
func (c *Conn) close() {
	// The connection is not used any more, so an error has no consequence.
	_ = c.net.Close()
}
