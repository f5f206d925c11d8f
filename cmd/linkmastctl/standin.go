// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/linkmast/linkmast/fleet"
	"github.com/linkmast/linkmast/standin"
)

// standinCommand runs a stand-in as a process.
type standinCommand struct {
	Engine   engineCommand   `command:"engine" description:"a model engine"`
	Service  serviceCommand  `command:"service" description:"a plain service"`
	Platform platformCommand `command:"platform" description:"the platform: log, list of instances, weight store"`
}

// serveOptions are the address of a stand-in and its initial faults.
type serveOptions struct {
	Listen string        `long:"listen" default:"127.0.0.1:0" description:"where to listen"`
	Slow   float64       `long:"slow" description:"multiply every step"`
	Frozen bool          `long:"frozen" description:"start frozen"`
	Lag    time.Duration `long:"lag" description:"how old lists are"`
	Outage bool          `long:"outage" description:"start with an outage"`
}

// faults returns the faults of the command line. While the stand-in runs, PUT /faults replaces
// them by those of a JSON object such as {"frozen":true}.
func (o *serveOptions) faults() standin.Faults {
	return standin.Faults{
		Slowdown: o.Slow,
		Frozen:   o.Frozen,
		Lag:      o.Lag,
		Outage:   o.Outage,
	}
}

// serve serves until the process receives SIGTERM or SIGINT.
func (o *serveOptions) serve(h http.Handler) error {
	s, address, err := fleet.Serve(o.Listen, h)
	if err != nil {
		return err
	}
	fmt.Println("listening on", address)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	return s.Close()
}

// engineCommand runs a stand-in engine.
type engineCommand struct {
	serveOptions

	Instance     string        `long:"instance" default:"engine-1" description:"name of the endpoint instance"`
	Model        string        `long:"model" default:"m1" description:"model that is loaded"`
	Loaded       string        `long:"loaded" default:"1" description:"version that is loaded"`
	Memory       int64         `long:"memory" description:"KV memory in bytes (default 400000 tokens)"`
	KV           int64         `long:"kv" description:"KV bytes per token (default 1024)"`
	Prefill      float64       `long:"prefill" description:"prefill tokens a second (default 40000)"`
	Step         time.Duration `long:"step" description:"time between tokens (default 20ms)"`
	ChecksOrders bool          `long:"checks-orders" description:"refuse orders with a stale fence"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	e := standin.NewEngine(standin.EngineSettings{
		Instance:               c.Instance,
		Model:                  c.Model,
		Version:                c.Loaded,
		MemoryBytes:            c.Memory,
		KVBytesPerToken:        c.KV,
		PrefillTokensPerSecond: c.Prefill,
		DecodeStep:             c.Step,
		ChecksOrders:           c.ChecksOrders,
	})
	e.SetFaults(c.faults())
	defer e.Stop()
	return c.serve(e.Handler())
}

// serviceCommand runs a stand-in service.
type serviceCommand struct {
	serveOptions

	Instance string        `long:"instance" default:"service-1" description:"name of the endpoint instance"`
	Work     time.Duration `long:"work" description:"time of a call (default 5ms)"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	v := standin.NewService(standin.ServiceSettings{
		Instance: c.Instance,
		Work:     c.Work,
	})
	v.SetFaults(c.faults())
	return c.serve(v.Handler())
}

// platformCommand runs a stand-in platform.
type platformCommand struct {
	serveOptions

	Appends   float64       `long:"appends" description:"appends a second (default 100)"`
	Retention time.Duration `long:"retention" description:"how long records are kept (default 24h)"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	p := standin.NewPlatform(standin.LogSettings{
		AppendsPerSecond: c.Appends,
		Retention:        c.Retention,
	})
	p.Log.SetFaults(c.faults())
	p.Instances.SetFaults(c.faults())
	return c.serve(p.Handler())
}
