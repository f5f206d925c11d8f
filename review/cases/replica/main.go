// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Command replica runs the project's stand-in of an engine as a process. Its answers have neither a
// length nor chunks. It prints a line for each request that it gets.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/linkmast/linkmast/platform/platformtest"
	"github.com/linkmast/linkmast/review/testbed"
)

func main() {
	address, name := os.Args[1], os.Args[2]
	e := &platformtest.Endpoint{
		Instance: name,
		Engine:   testbed.EngineModel(),
		Events:   testbed.Events,
	}
	e.SetFaults(platformtest.EndpointFaults{
		Unframed: true,
	})
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	s := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if id := r.Header.Get("Request-Id"); id != "" {
				fmt.Println(id)
			}
			e.ServeHTTP(w, r)
		}),
	}
	// Serve returns only with an error; the process is ended by a signal.
	fmt.Fprintln(os.Stderr, s.Serve(l))
	os.Exit(1)
}
