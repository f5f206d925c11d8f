// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"net"

	"github.com/go-faster/errors"
)

// Range of the ports that instances and endpoints listen on. It lies below Linux's default range of
// ephemeral ports, so that the kernel does not assign a selected port to another socket while no one
// listens on it.
const (
	firstPort = 20_000
	portCount = 10_000
	// portsPerBlock is the number of ports that a soak reserves at a time.
	portsPerBlock = 100
)

// ports hands out the ports of blocks that no other soak on this host uses. A soak holds a block by
// listening on its first port. Without this, an instance or endpoint that is down could lose its port
// to another soak. The zero value holds no block.
type ports struct {
	held []net.Listener
	// next is the next port to hand out, and end the first port after the last block.
	next int
	end  int
}

// address returns a loopback address on which nothing listens, with a port that it has not handed out
// before.
func (p *ports) address() (string, error) {
	for {
		if p.next == p.end {
			if err := p.reserve(); err != nil {
				return "", err
			}
		}
		address := loopback(p.next)
		p.next++
		l, err := net.Listen("tcp", address)
		if err != nil {
			// A program that is no soak uses the port.
			continue
		}
		_ = l.Close()
		return address, nil
	}
}

// reserve takes hold of a block.
func (p *ports) reserve() error {
	for first := firstPort; first < firstPort+portCount; first += portsPerBlock {
		l, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue
		}
		p.held = append(p.held, l)
		p.next, p.end = first+1, first+portsPerBlock
		return nil
	}
	return errors.New("no free block of ports")
}

// close gives the blocks up.
func (p *ports) close() {
	for _, l := range p.held {
		_ = l.Close()
	}
	*p = ports{}
}

// loopback returns the loopback address with a port.
func loopback(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}
