// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestHangupDuringStart guards against an instance that SIGHUP ends while it starts.
func TestHangupDuringStart(t *testing.T) {
	t.Parallel()
	h := newHost(t, startStore(t))
	text := h.settings(t)
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProgram(t, h, path)
	f, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the instance reads
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		p.cmd.Process.Signal(syscall.SIGHUP)
	}
	if _, err := f.WriteString(text); err != nil {
		t.Fatal(err)
	}
	f.Close()
	p.wantServing()
	p.wantStops()
}

// TestTerminationDuringRead guards against an instance that can't be stopped while its settings can't be read.
func TestTerminationDuringRead(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProgram(t, newHost(t, ""), path)
	f, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the instance reads
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.wantExit(exitOK, time.Second)
}
