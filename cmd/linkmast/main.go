// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Command linkmast runs one instance: a gateway if the settings name a store of the
// platform, or else a node.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"reflect"
	"runtime"
	"runtime/debug"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"
	"google.golang.org/grpc/grpclog"

	"github.com/linkmast/linkmast/gateway"
	"github.com/linkmast/linkmast/internal/jsonlog"
	"github.com/linkmast/linkmast/internal/signals"
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

// options are the options of the command line.
type options struct {
	Settings string `short:"s" long:"settings" env:"LINKMAST_NODE_FILE" value-name:"FILE" description:"settings of this instance (TOML)"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Verbose  bool   `short:"v" long:"verbose" description:"also write a line for each lease given"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run runs the command line and returns the exit code.
func run(args []string) int {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Runs one instance of linkmast. SIGTERM and SIGINT are a planned stop: the instance hands\n" +
		"over what it owns and serves requests in flight to their end. A second SIGINT stops it at once.\n" +
		"SIGHUP checks the settings file again.\n" +
		"Exit codes: 0 stopped as planned, 1 could not start, 2 wrong command line or settings."
	if _, err := parser.ParseArgs(args); err != nil {
		return reportUsage(err)
	}
	if o.Version {
		fmt.Println("linkmast", version.String())
		return exitOK
	}
	if o.Settings == "" {
		return reportUsage(errors.New("--settings is missing; see --help"))
	}
	if o.Check {
		if _, err := settings.Read(o.Settings); err != nil {
			return reportUsage(err)
		}
		fmt.Println("settings are valid")
		return exitOK
	}
	return serve(o)
}

// reportUsage prints the requested help or the error, and returns the exit code.
func reportUsage(err error) int {
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Println(err)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	return exitUsage
}

// instance is a node or a gateway.
type instance interface {
	// Stop serves new requests for a short time and ends the instance after the last one. It
	// cuts off the remaining requests when ctx ends or the instance's own time limit is
	// reached.
	Stop(ctx context.Context)
}

// start starts a gateway or a node, as the settings require. While an address is not available, it
// waits until ctx ends. The function dropped returns the number of log lines that were dropped.
func start(ctx context.Context, s *settings.File, log logr.Logger, dropped func() int64) (instance, error) {
	if s.Platform.Store != "" {
		g, err := gateway.New(ctx, s, gateway.Parts{
			Log:          log,
			DroppedLines: dropped,
		})
		if err != nil {
			return nil, err
		}
		log.Info("started", "version", version.String(), "listen", g.Listen, "ready", g.ReadyListen, "admin", g.AdminListen)
		return g, nil
	}
	n, err := node.New(ctx, s, node.Parts{
		Log: log,
	})
	if err != nil {
		return nil, err
	}
	log.Info("started", "version", version.String(), "listen", n.Listen, "peers", n.PeerListen, "admin", n.AdminListen)
	return n, nil
}

// serve runs the instance until a signal stops it, and returns the exit code.
func serve(o options) int {
	level := slog.LevelInfo
	if o.Verbose {
		level = slog.LevelDebug
	}
	lines := jsonlog.New(os.Stdout)
	defer lines.Close()
	handler := slog.NewJSONHandler(lines, &slog.HandlerOptions{
		Level: level,
	})
	logLibraries(handler)
	log := logr.FromSlogHandler(handler)
	status := runInstance(o, log, lines.Dropped)
	log.Info("exiting", "status", status)
	return status
}

// logLibraries makes net/http and grpc write to the handler. Their own output is the standard error, which
// blocks them while nobody reads it.
func logLibraries(h slog.Handler) {
	slog.SetDefault(slog.New(h))
	grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, io.Discard, slog.NewLogLogger(h, slog.LevelError).Writer()))
}

// runInstance starts the instance, runs it until a signal stops it, and returns the exit code. The function
// dropped returns the number of log lines that were dropped.
func runInstance(o options, log logr.Logger, dropped func() int64) int {
	log.Info("starting", "version", version.String(), "pid", os.Getpid(), "processors", runtime.GOMAXPROCS(0), "settings", o.Settings)
	terminated, terminate := context.WithCancel(context.Background())
	defer terminate()
	go func() {
		sig := <-signals.Terminations()
		log.Info("signal received", "signal", sig.String())
		terminate()
	}()
	s, err := awaitSettings(terminated, o.Settings, log)
	switch {
	case err != nil && terminated.Err() != nil:
		return exitOK
	case err != nil:
		return reportFailure(log, err, exitUsage)
	}
	log = log.WithValues("instance", s.ID)
	limitMemory(s.MemoryBytes())
	n, err := start(terminated, s, log, dropped)
	switch {
	case err != nil && terminated.Err() != nil:
		return exitOK
	case err != nil:
		return reportFailure(log, err, exitFailed)
	}
	// A settings file that can't be read at the moment must not delay the stop.
	go followHangups(o.Settings, s, log)
	<-terminated.Done()
	stop(n)
	return exitOK
}

// runtimeMemoryShare is the share of the process's memory that the Go runtime may use. The rest is for the
// program itself, thread stacks of the C library and the kernel's buffers of connections.
const runtimeMemoryShare = 0.8

// limitMemory makes the garbage collector run more often as the process approaches its memory limit. Zero
// means that there is none.
func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(float64(bytes) * runtimeMemoryShare))
	}
}

// reportFailure reports that the start failed and returns the status.
func reportFailure(log logr.Logger, err error, status int) int {
	log.Error(err, "start failed")
	fmt.Fprintln(os.Stderr, err)
	return status
}

// awaitSettings reads the settings. It waits for a short time if they aren't valid, as the file may be in
// the middle of a change.
func awaitSettings(ctx context.Context, path string, log logr.Logger) (*settings.File, error) {
	return settings.Await(ctx, path, func(err error) { log.Error(err, "waiting for settings") })
}

// followHangups checks the settings file again after each SIGHUP. It doesn't return.
func followHangups(path string, s *settings.File, log logr.Logger) {
	for range signals.Hangups() {
		reload(path, s, log)
	}
}

// stop ends the instance gracefully, and immediately on a further SIGINT.
func stop(n instance) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for sig := range signals.Terminations() {
			if sig == os.Interrupt {
				cancel()
			}
		}
	}()
	n.Stop(ctx)
}

// reload checks the settings file again and logs whether it has changed. Settings are fixed
// while the process runs, so a change takes effect at the next start.
func reload(path string, s *settings.File, log logr.Logger) {
	fresh, err := awaitSettings(context.Background(), path, log)
	switch {
	case err != nil:
		log.Error(err, "reload: settings are invalid; the next start would fail")
	case reflect.DeepEqual(fresh, s):
		log.Info("reload: settings are unchanged")
	default:
		log.Info("reload: settings have changed; they take effect at the next start")
	}
}
