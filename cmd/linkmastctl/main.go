// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Command linkmastctl is the command-line tool for operators and developers.
package main

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/linkmast/linkmast/internal/version"
)

// The exit codes.
const (
	exitOK = iota
	// exitFailed means that the command failed or that its check found a fault.
	exitFailed
	// exitUsage means that the command line is wrong.
	exitUsage
)

// root is the command line.
type root struct {
	Version func() `long:"version" description:"print the version and exit"`

	Check      checkCommand      `command:"check" description:"check a configuration file"`
	Publish    publishCommand    `command:"publish" description:"publish a configuration file"`
	Diff       diffCommand       `command:"diff" description:"compare a file with the configuration in force"`
	Show       showCommand       `command:"show" description:"print the configuration in force"`
	Status     statusCommand     `command:"status" description:"show nodes, endpoints, queues and generations"`
	Explain    explainCommand    `command:"explain" description:"tell why a request went where it went"`
	Release    releaseCommand    `command:"release" description:"let requests run again that were banned as they crashed endpoints"`
	Demo       demoCommand       `command:"demo" description:"run a whole deployment in this process"`
	Standin    standinCommand    `command:"standin" description:"run a stand-in for an outside system"`
	Load       loadCommand       `command:"load" description:"send requests and measure the answers"`
	Soak       soakCommand       `command:"soak" description:"run the real programs under drawn faults and check the promises"`
	Account    accountCommand    `command:"account" description:"tell from log lines what became of requests, by kind and cause"`
	Experiment experimentCommand `command:"experiment" description:"compare ways to decide on emulated days"`
	Fit        fitCommand        `command:"fit" description:"fit lines to the output of go test -bench, from standard input"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run runs the command line and returns the exit code.
func run(args []string) int {
	r := root{
		Version: func() {
			fmt.Println("linkmastctl", version.String())
			os.Exit(exitOK)
		},
	}
	parser := flags.NewParser(&r, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Operators check, publish and compare configurations, inspect the fleet and trace\n" +
		"requests. Developers run the demo, the stand-ins and the load tool.\n" +
		"Exit codes: 0 done, 1 failed or found wrong, 2 wrong command line."
	_, err := parser.ParseArgs(args)
	var f *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		fmt.Println(err)
		return exitOK
	case errors.As(err, &f):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}
