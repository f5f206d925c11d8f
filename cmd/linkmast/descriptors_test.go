// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"fmt"
	"io"
	"net"
	"os/exec"
	"testing"
	"time"
)

// TestDescriptorsExhausted guards against an instance that ends, or stays without new connections, after it
// had no descriptors left.
func TestDescriptorsExhausted(t *testing.T) {
	t.Parallel()
	const descriptors = 100
	h := newHost(t, startStore(t))
	script := fmt.Sprintf("ulimit -n %d; exec %s --settings %s", descriptors, binary(t), writeSettings(t, h.settings(t)))
	p := startCommand(t, h, exec.Command("/bin/sh", "-c", script))
	go io.Copy(p, p.out)
	p.wantServing()
	var open []net.Conn
	for range 2 * descriptors {
		c, err := net.DialTimeout("tcp", h.addresses()["callers"], time.Second)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	p.await("line about a failed accept", func() bool { return p.hasLineWith("too many open files") })
	for _, c := range open {
		c.Close()
	}
	p.wantServing()
	p.wantStops()
}
