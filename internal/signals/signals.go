// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package signals receives the signals of a process.
//
// Importing it registers them, because the default action of SIGHUP ends a process, and the
// initialization of other packages takes long enough for a signal to arrive. It also makes the process
// ignore SIGPIPE, so that a write to a standard stream whose reader has gone fails and doesn't end the
// process.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// terminationQueue is the number of terminations that are kept until they are received.
const terminationQueue = 8

// The channels are separate, so that many hangups can't displace a termination.
var (
	terminations = notify(terminationQueue, syscall.SIGTERM, os.Interrupt)
	hangups      = notify(1, syscall.SIGHUP)
)

// notify returns a channel that receives the given signals.
func notify(queue int, s ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, queue)
	signal.Notify(c, s...)
	return c
}

func init() {
	signal.Ignore(syscall.SIGPIPE)
}

// Terminations returns the channel that receives SIGTERM and SIGINT.
func Terminations() <-chan os.Signal {
	return terminations
}

// Hangups returns the channel that receives SIGHUP. Several of them that aren't received yet count as one.
func Hangups() <-chan os.Signal {
	return hangups
}
