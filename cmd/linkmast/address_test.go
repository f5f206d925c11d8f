// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// hold listens on an address until the returned function is called or the test ends.
func hold(t *testing.T, address string) func() {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return func() { l.Close() }
}

// TestAddressInUseAtStart guards against an instance that ends because an address is in use while it starts.
func TestAddressInUseAtStart(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"callers", "ready", "peers"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t, startStore(t))
			release := hold(t, h.addresses()[name])
			p := startOn(t, h)
			p.wantLine("waiting for an address")
			time.Sleep(time.Second)
			release()
			p.wantServing()
			p.wantStops()
		})
	}
	t.Run("admin", func(t *testing.T) {
		t.Parallel()
		h := newHost(t, startStore(t))
		release := hold(t, h.addresses()["admin"])
		p := startOn(t, h)
		p.wantServing()
		release()
		p.await("metrics", func() bool { return p.hasMetrics() })
		p.wantStops()
	})
}

// TestNodeAddressInUseAtStart guards against a node that ends because an address is in use while it starts.
func TestNodeAddressInUseAtStart(t *testing.T) {
	t.Parallel()
	h := newHost(t, "")
	release := hold(t, h.addresses()["callers"])
	p := startProgram(t, h, writeSettings(t, fmt.Sprintf("id = \"n1\"\nregion = \"r1\"\nfailure_domain = \"d1\"\nlisten = %q\n"+
		"peer_listen = %q\nadmin_listen = %q\n[platform]\nlog = \"127.0.0.1:1\"\ninstances = \"127.0.0.1:1\"\n",
		h.addresses()["callers"], h.addresses()["peers"], h.addresses()["admin"])))
	p.wantLine("waiting for an address")
	release()
	p.wantLine("started")
}

// TestTerminationWhileAddressInUse guards against an instance that can't be stopped while it waits for an address.
func TestTerminationWhileAddressInUse(t *testing.T) {
	t.Parallel()
	h := newHost(t, startStore(t))
	hold(t, h.addresses()["callers"])
	p := startOn(t, h)
	p.wantLine("waiting for an address")
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.wantExit(exitOK, time.Second)
}

// TestImpossibleAddress guards against an instance that waits for an address that it can never get.
func TestImpossibleAddress(t *testing.T) {
	t.Parallel()
	h := newHost(t, startStore(t))
	text := strings.Replace(h.settings(t), h.addresses()["callers"], "no-such-host.invalid:8227", 1)
	p := startProgram(t, h, writeSettings(t, text))
	p.wantExit(exitFailed, readyWithin)
}
