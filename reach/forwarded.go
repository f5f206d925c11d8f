// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package reach

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/linkmast/linkmast/reach/reachpb"
)

// Forwarded is a connection to an endpoint through another instance. It implements net.Conn without
// deadlines.
type Forwarded struct {
	stream reachpb.Forwarding_ForwardClient
	cancel context.CancelFunc
	peer   Peer
	// onLeaving is called with 1 when the other instance announces its stop, and with -1 when the
	// stream has ended after that.
	onLeaving func(delta int64)
	// wanted reports whether a new request may use the connection, as there is no direct one.
	wanted func() bool

	// received has the data read from the stream. It is closed at the stream's end, after readErr
	// was set.
	received chan []byte
	readErr  error
	// leaving is set if the other instance will stop, or the stream has ended.
	leaving atomic.Bool

	// rest is the data that was received but not read yet. Only Read uses it.
	rest []byte
	// sending orders the calls of Send.
	sending sync.Mutex
}

// newForwarded returns a connection through p on a stream that has been opened.
func (d *Dialer) newForwarded(s reachpb.Forwarding_ForwardClient, cancel context.CancelFunc, p Peer, address string) *Forwarded {
	f := &Forwarded{
		stream:    s,
		cancel:    cancel,
		peer:      p,
		onLeaving: func(delta int64) { d.leaving.Add(delta) },
		wanted:    func() bool { return d.links.suspected(address) },
		received:  make(chan []byte),
	}
	go f.receive()
	return f
}

// receive reads the stream until its end.
func (f *Forwarded) receive() {
	defer close(f.received)
	defer f.leaving.Store(true)
	for {
		m, err := f.stream.Recv()
		if err != nil {
			f.readErr = connError(err)
			return
		}
		switch k := m.GetKind().(type) {
		case *reachpb.FromEndpoint_Data:
			select {
			case f.received <- k.Data:
			case <-f.stream.Context().Done():
				f.readErr = net.ErrClosed
				return
			}
		case *reachpb.FromEndpoint_Leaving:
			if !f.leaving.Swap(true) {
				f.onLeaving(1)
				defer f.onLeaving(-1)
			}
		}
	}
}

// connError returns the error of a connection for the error of its stream.
func connError(err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return io.EOF
	case status.Code(err) == codes.Canceled:
		return net.ErrClosed
	}
	return errors.Wrap(syscall.ECONNRESET, status.Convert(err).Message())
}

// Via returns the ID of the instance that forwards the connection.
func (f *Forwarded) Via() string {
	return f.peer.ID
}

// Quiet reports whether a new request may use the connection: it is open and has no data to read,
// the other instance goes on, and the direct path is still assumed to be broken.
func (f *Forwarded) Quiet() bool {
	if f.leaving.Load() || len(f.rest) > 0 || !f.wanted() {
		return false
	}
	select {
	case data, ok := <-f.received:
		if ok {
			f.rest = data
		}
		return false
	default:
		return true
	}
}

// Read implements net.Conn.
func (f *Forwarded) Read(p []byte) (int, error) {
	if len(f.rest) == 0 {
		data, ok := <-f.received
		if !ok {
			return 0, f.readErr
		}
		f.rest = data
	}
	n := copy(p, f.rest)
	f.rest = f.rest[n:]
	return n, nil
}

// maxFrame is the size of the data in one message, in bytes.
const maxFrame = 32 << 10

// Write implements net.Conn.
func (f *Forwarded) Write(p []byte) (int, error) {
	f.sending.Lock()
	defer f.sending.Unlock()
	n := 0
	for n < len(p) {
		part := p[n:min(n+maxFrame, len(p))]
		err := f.stream.Send(&reachpb.ToEndpoint{
			Kind: &reachpb.ToEndpoint_Data{
				Data: part,
			},
		})
		if err != nil {
			return n, connError(err)
		}
		n += len(part)
	}
	return n, nil
}

// Close implements net.Conn.
func (f *Forwarded) Close() error {
	f.cancel()
	return nil
}

// LocalAddr implements net.Conn.
func (f *Forwarded) LocalAddr() net.Addr {
	return forwardedAddr(f.peer.ID)
}

// RemoteAddr implements net.Conn.
func (f *Forwarded) RemoteAddr() net.Addr {
	return forwardedAddr(f.peer.ID)
}

// SetDeadline implements net.Conn. It returns os.ErrNoDeadline.
func (f *Forwarded) SetDeadline(time.Time) error {
	return os.ErrNoDeadline
}

// SetReadDeadline implements net.Conn. It returns os.ErrNoDeadline.
func (f *Forwarded) SetReadDeadline(time.Time) error {
	return os.ErrNoDeadline
}

// SetWriteDeadline implements net.Conn. It returns os.ErrNoDeadline.
func (f *Forwarded) SetWriteDeadline(time.Time) error {
	return os.ErrNoDeadline
}

// forwardedAddr is the ID of the instance that forwards a connection.
type forwardedAddr string

// Network implements net.Addr.
func (forwardedAddr) Network() string {
	return "forwarded"
}

// String implements net.Addr.
func (a forwardedAddr) String() string {
	return string(a)
}
