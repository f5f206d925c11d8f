// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Command linkmast is one instance of the system.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"

	"github.com/linkmast/linkmast/internal/version"
	"github.com/linkmast/linkmast/node"
	"github.com/linkmast/linkmast/settings"
)

// The exit codes.
const (
	exitOK = iota
	// exitFailed means that the instance could not start.
	exitFailed
	// exitUsage means that the command line or the settings are wrong.
	exitUsage
)

// options are the command line.
type options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" description:"settings of this instance (TOML)"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Verbose  bool   `short:"v" long:"verbose" description:"also write a line for each lease given"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Runs one instance of linkmast. SIGTERM and SIGINT are a planned stop: the instance hands\n" +
		"over what it owns and serves requests in flight to their end. A second signal stops it at once.\n" +
		"Exit codes: 0 stopped as planned, 1 could not start, 2 wrong command line or settings."
	if _, err := parser.ParseArgs(args); err != nil {
		return usage(err)
	}
	if o.Version {
		fmt.Println("linkmast", version.String())
		return exitOK
	}
	if o.Settings == "" {
		return usage(errors.New("--settings is missing; see --help"))
	}
	s, err := settings.Read(o.Settings)
	if err != nil {
		return usage(err)
	}
	if o.Check {
		fmt.Println("settings are fine")
		return exitOK
	}
	return serve(s, o.Verbose)
}

// usage prints what is wrong with the command line, or the help asked for.
func usage(err error) int {
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Println(err)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return exitUsage
}

// serve runs the instance until it is stopped.
func serve(s *settings.File, verbose bool) int {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	handler := slog.NewJSONHandler(os.Stdout, &slog.HandlerOptions{
		Level: level,
	})
	log := logr.FromSlogHandler(handler).WithValues("instance", s.ID)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	n, err := node.New(s, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	log.Info("started", "version", version.String(), "listen", n.Listen, "peers", n.PeerListen, "admin", n.AdminListen)
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	n.Stop(ctx)
	return exitOK
}
