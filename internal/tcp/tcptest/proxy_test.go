// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package tcptest

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

// echo starts a server that sends back what it receives, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func TestProxy(t *testing.T) {
	for _, row := range []struct {
		name string
		link Link
		want string
	}{
		{"no fault", Link{}, "hello"},
		{"slow", Link{Delay: 20 * time.Millisecond}, "hello"},
		{"blocked up", Link{BlockUp: true}, ""},
		{"blocked down", Link{BlockDown: true}, ""},
		{"reset", Link{Reset: true}, ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			p, err := NewProxy(echo(t))
			is.NoErr(err)
			defer p.Close()
			p.Set(row.link)
			is.Equal(echoFrom(t, p.Address), row.want)
		})
	}
}

// TestRefuse guards against a proxy that accepts connections between Refuse and Resume, or
// does not recover after it.
func TestRefuse(t *testing.T) {
	is := is.New(t)
	p, err := NewProxy(echo(t))
	is.NoErr(err)
	defer p.Close()
	p.Refuse()
	_, err = net.Dial("tcp", p.Address)
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.NoErr(p.Resume())
	is.Equal(echoFrom(t, p.Address), "hello")
}

// TestSilence guards against data on a connection after Silence, and against an effect on
// later connections.
func TestSilence(t *testing.T) {
	is := is.New(t)
	p, err := NewProxy(echo(t))
	is.NoErr(err)
	defer p.Close()
	c, err := net.Dial("tcp", p.Address)
	is.NoErr(err)
	defer c.Close()
	is.Equal(echoOn(c), "hello")
	p.Silence()
	is.Equal(echoOn(c), "")
	is.Equal(echoFrom(t, p.Address), "hello")
}

// echoFrom sends "hello" to an address on a new connection and returns the reply. A link that
// resets may do so already during the dial.
func echoFrom(t *testing.T, address string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if errors.Is(err, syscall.ECONNRESET) {
		return ""
	}
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return echoOn(c)
}

// echoOn sends "hello" on a connection and returns up to five bytes that arrive within 300 ms.
func echoOn(c net.Conn) string {
	c.Write([]byte("hello"))
	c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	buf := make([]byte, 5)
	n, _ := io.ReadFull(c, buf)
	return string(buf[:n])
}

// TestResetDuringUpload guards against a proxy that forwards a reset as an orderly end, because data for the
// target met it.
func TestResetDuringUpload(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Write([]byte("answer"))
			time.Sleep(5 * time.Millisecond)
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	p, err := NewProxy(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	var d net.Dialer
	for n := range 100 {
		c, err := tcp.DetectResets(d.DialContext)(t.Context(), "tcp", p.Address)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				if _, err := c.Write(make([]byte, 64<<10)); err != nil {
					return
				}
			}
		}()
		if _, err := io.ReadAll(c); err == nil {
			t.Fatalf("connection %d ended in order", n)
		}
		c.Close()
	}
}
