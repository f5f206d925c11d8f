// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package tcptest_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/tcp/tcptest"
)

// dialFrom connects to an address from a local IP address.
func dialFrom(host, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: 200 * time.Millisecond,
		LocalAddr: &net.TCPAddr{
			IP: net.ParseIP(host),
		},
	}
	return d.Dial("tcp", address)
}

// echoes reports whether a connection returns a byte.
func echoes(c net.Conn) bool {
	if _, err := c.Write([]byte{1}); err != nil {
		return false
	}
	if err := c.SetReadDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// TestPartitionOfOneHost checks that a partition concerns one host alone, new connections and, by its
// kind, open ones, and that it ends.
func TestPartitionOfOneHost(t *testing.T) {
	for name, row := range map[string]struct {
		kind tcptest.Partition
		open bool
	}{
		"new connections": {tcptest.RefuseNew, true},
		"reset":           {tcptest.ResetAll, false},
		"drop":            {tcptest.Drop, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go io.Copy(c, c)
				}
			}()
			p, err := tcptest.NewProxy(l.Addr().String())
			is.NoErr(err)
			defer p.Close()
			const cut, other = "127.0.0.77", "127.0.0.78"
			before, err := dialFrom(cut, p.Address)
			is.NoErr(err)
			is.True(echoes(before))
			is.NoErr(p.Partition(cut, row.kind))
			is.NoErr(p.Partition(cut, row.kind))
			is.Equal(echoes(before), row.open)
			_, err = dialFrom(cut, p.Address)
			is.True(err != nil)
			c, err := dialFrom(other, p.Address)
			is.NoErr(err)
			is.True(echoes(c))
			is.NoErr(p.Heal(cut))
			_, err = dialFrom(cut, p.Address)
			is.True(err != nil) // the second partition goes on
			is.NoErr(p.Heal(cut))
			c, err = dialFrom(cut, p.Address)
			is.NoErr(err)
			is.True(echoes(c))
		})
	}
}
