// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/entry"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/node"
)

// adminOptions are the options for querying nodes.
type adminOptions struct {
	Admin   []string      `long:"admin" value-name:"HOST:PORT" required:"yes" description:"admin address of a node; repeat for each"`
	Timeout time.Duration `long:"timeout" default:"3s" description:"how long to wait for each node"`
	JSON    bool          `long:"json" description:"print JSON"`
}

// get reads a JSON response of one node into out.
func (o *adminOptions) get(address, path string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	res, err := wirehttp.Client().Do(req)
	if err != nil {
		return err
	}
	defer wirehttp.Drain(res.Body)
	if res.StatusCode == http.StatusNotFound {
		return errNotFound
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", res.StatusCode)
	}
	return json.NewDecoder(res.Body).Decode(out)
}

// errNotFound means that a node answered with status 404.
var errNotFound = errors.New("status 404")

// statusCommand prints the state of the nodes that answer and of their endpoints.
type statusCommand struct {
	adminOptions
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var all []node.Status
	silent := 0
	for _, a := range c.Admin {
		var s node.Status
		if err := c.get(a, "/status", &s); err != nil {
			silent++
			fmt.Fprintf(os.Stderr, "%s gave no valid answer: %v\n", a, err)
			continue
		}
		all = append(all, s)
	}
	if err := c.print(all); err != nil {
		return err
	}
	if silent > 0 {
		return errors.Errorf("%d of %d nodes gave no valid answer", silent, len(c.Admin))
	}
	return nil
}

// print prints the statuses of nodes, as JSON or as tables of nodes and of endpoints.
func (c *statusCommand) print(all []node.Status) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(all)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tREADY\tGENERATION\tMEMBERS\tIN FLIGHT\tATTEMPTS\tENDPOINTS")
	for _, s := range all {
		ready := "yes"
		if !s.Ready {
			ready = "no: " + s.Reason
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", s.Instance, ready, s.Generation, s.Members, s.InFlight, s.Attempts,
			len(s.Endpoints))
	}
	fmt.Fprintln(w, "\nENDPOINT\tOWNER\tWAITING PREFILL s\tFREE MiB\tFREE SLOTS\tSET ASIDE")
	for _, s := range all {
		for i := range s.Endpoints {
			e := &s.Endpoints[i]
			backlog := float32(0)
			for _, b := range e.Backlog {
				backlog += b
			}
			fmt.Fprintf(w, "%s\t%s\t%.2f\t%d\t%d\t%v\n", e.Endpoint, s.Instance, backlog, e.Free>>20, e.Slots, e.Aside)
		}
	}
	return w.Flush()
}

// explainCommand prints the trace of a request from the first node that has one.
type explainCommand struct {
	adminOptions

	Args struct {
		Request string `positional-arg-name:"REQUEST-ID" required:"yes" description:"from the header Linkmast-Request-Id"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	for _, a := range c.Admin {
		var s entry.Trace
		err := c.get(a, "/explain/"+c.Args.Request, &s)
		if errors.Is(err, errNotFound) {
			continue
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s gave no valid answer: %v\n", a, err)
			continue
		}
		return c.print(&s)
	}
	return errors.New("no node that answered has a trace of this request; each keeps the latest 4096")
}

// print prints a trace, as JSON or as text.
func (c *explainCommand) print(s *entry.Trace) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	fmt.Printf("request %s of %s: tier %s, class %s, model %s, %d prompt tokens\n", s.Request, s.Customer, s.Tier, s.Class,
		s.Model, s.Tokens)
	for _, e := range s.Events {
		fmt.Printf("%s  %s", e.At.Format("15:04:05.000"), e.What)
		if e.Endpoint != "" {
			fmt.Printf("  endpoint %s", e.Endpoint)
		}
		if e.Owner != "" {
			fmt.Printf("  owner %s", e.Owner)
		}
		if e.Reason != "" {
			fmt.Printf("  (%s)", e.Reason)
		}
		fmt.Println()
		for _, k := range e.Candidates {
			fmt.Printf("              %s: first token in about %d ms\n", k.Endpoint, k.EstimateMs)
		}
	}
	return nil
}
