// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package tcptest

import (
	"encoding/binary"
	"maps"
	"net"
	"slices"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Partition drops the packets that new connections of a host, given by its IPv4 address, send to the
// proxy, so that they hang. What happens to its open connections depends on the kind: with ResetAll
// they are reset, with Drop they stop receiving, with RefuseNew they go on. The caller must call Heal
// once for each call.
func (p *Proxy) Partition(host string, kind Partition) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropped[host]++
	for c := range p.conns {
		if remoteHost(c) != host {
			continue
		}
		switch kind {
		case ResetAll:
			reset(c)
		case Drop:
			if err := attach(c, dropAll); err != nil {
				return err
			}
		case Connected, RefuseNew:
		}
	}
	return p.filter()
}

// Heal ends a partition of a host.
func (p *Proxy) Heal(host string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropped[host]--
	if p.dropped[host] > 0 {
		return nil
	}
	delete(p.dropped, host)
	for c := range p.conns {
		if remoteHost(c) != host {
			continue
		}
		if err := attach(c, acceptAll); err != nil {
			return err
		}
	}
	return p.filter()
}

// filter sets the filter of new connections. The caller holds p.mu.
func (p *Proxy) filter() error {
	return attach(p.listener, dropFrom(slices.Sorted(maps.Keys(p.dropped))))
}

// remoteHost returns the IP address of the other end of a connection.
func remoteHost(c net.Conn) string {
	a, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}
	return a.IP.String()
}

// Instructions of a packet filter (Linux, Documentation/networking/filter.rst).
const (
	// loadWord loads a word of the packet, jumpIfEqual compares it and ret ends the filter.
	loadWord    = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS
	jumpIfEqual = unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K
	ret         = unix.BPF_RET | unix.BPF_K
	// networkHeader is the offset of the network header, and sourceAddress that of the source address
	// in an IPv4 header.
	networkHeader = -0x100000
	sourceAddress = 12
	// keepAll is the length to which an accepted packet is cut.
	keepAll = 0xffffffff
)

// dropAll and acceptAll are the filters for single connections.
var (
	dropAll   = []unix.SockFilter{{Code: ret, K: 0}}
	acceptAll = []unix.SockFilter{{Code: ret, K: keepAll}}
)

// dropFrom returns a filter that drops the packets from IPv4 addresses.
func dropFrom(hosts []string) []unix.SockFilter {
	offset := int32(networkHeader + sourceAddress)
	out := []unix.SockFilter{{Code: loadWord, K: uint32(offset)}}
	for i, h := range hosts {
		out = append(out, unix.SockFilter{
			Code: jumpIfEqual,
			Jt:   uint8(len(hosts) - i),
			K:    binary.BigEndian.Uint32(net.ParseIP(h).To4()),
		})
	}
	return append(out, acceptAll[0], dropAll[0])
}

// attach sets the filter of the packets that a socket receives. A closed socket is no error.
func attach(socket any, filter []unix.SockFilter) error {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return errors.Errorf("%T has no file descriptor", socket)
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
			Len:    uint16(len(filter)),
			Filter: &filter[0],
		})
	})
	if err != nil {
		// The socket is closed.
		return nil
	}
	if failed != nil {
		return errors.Wrap(failed, "set packet filter")
	}
	return nil
}
