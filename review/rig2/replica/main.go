// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Command replica is an endpoint of the second review's cases: an engine or a plain service in a process of
// its own. It prints its address, and then a line for the begin and the end of each request.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/linkmast/linkmast/platform/platformtest"
	"github.com/linkmast/linkmast/review/rig2"
)

// options are the options of the command line.
type options struct {
	Name     string        `long:"name" required:"true"`
	Service  string        `long:"service" required:"true"`
	Listen   string        `long:"listen" default:"127.0.0.1:0"`
	Events   int           `long:"events" default:"60"`
	Work     time.Duration `long:"work" default:"60ms"`
	Unframed bool          `long:"unframed" description:"the end of the connection ends an answer"`
	Pause    time.Duration `long:"pause" description:"pause in the middle of a plain answer"`
	Spoil    int           `long:"spoil" description:"every so many answers lack the proof of origin; zero means none"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(rig2.ExitFailed)
	}
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(rig2.ExitFailed)
	}
	e := &platformtest.Endpoint{
		Instance: o.Name,
		Events:   o.Events,
		Work:     o.Work,
	}
	if o.Service == rig2.Engines {
		e.Engine = rig2.Model()
	}
	e.SetFaults(platformtest.EndpointFaults{
		Unframed: o.Unframed,
	})
	fmt.Println(l.Addr())
	s := &http.Server{
		Handler:           handler(e, &o),
		ReadHeaderTimeout: time.Minute,
	}
	fmt.Fprintln(os.Stderr, s.Serve(l))
}

// handler serves the requests of an endpoint, and prints when each begins and ends.
func handler(e *platformtest.Endpoint, o *options) http.Handler {
	var mu sync.Mutex
	var answers atomic.Int64
	printLine := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		if id == "" {
			e.ServeHTTP(w, r)
			return
		}
		printLine("begins %s", id)
		defer printLine("ends %s", id)
		if o.Spoil > 0 && answers.Add(1)%int64(o.Spoil) == 0 {
			printLine("spoils %s", id)
			w = &spoilingWriter{
				ResponseWriter: w,
			}
		}
		if o.Pause > 0 && o.Service == rig2.Plain {
			w = &pausingWriter{
				ResponseWriter: w,
				pause:          o.Pause,
			}
		}
		e.ServeHTTP(w, r)
	})
}

// pausingWriter sends the first half of what is written, and the rest after a pause.
type pausingWriter struct {
	http.ResponseWriter

	pause time.Duration
}

// Write implements io.Writer.
func (w *pausingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	if err := http.NewResponseController(w.ResponseWriter).Flush(); err != nil {
		return n, err
	}
	time.Sleep(w.pause)
	m, err := w.ResponseWriter.Write(p[len(p)/2:])
	return n + m, err
}

// spoilingWriter leaves the proof of origin out of the head of an answer.
type spoilingWriter struct {
	http.ResponseWriter

	sent bool
}

// WriteHeader implements http.ResponseWriter.
func (w *spoilingWriter) WriteHeader(status int) {
	w.spoil()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *spoilingWriter) Write(p []byte) (int, error) {
	w.spoil()
	return w.ResponseWriter.Write(p)
}

// spoil removes the field without which the head has no proof of origin.
func (w *spoilingWriter) spoil() {
	if w.sent {
		return
	}
	w.sent = true
	h := w.Header()
	for name := range h {
		without := h.Clone()
		without.Del(name)
		if !platformtest.Signed(without) {
			h.Del(name)
			return
		}
	}
}
