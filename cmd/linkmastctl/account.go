// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/account"
)

// accountCommand counts the requests in log lines by kind and cause.
type accountCommand struct {
	Seconds bool `long:"seconds" description:"print how many were not in time, second by second"`
	Args    struct {
		Log string `positional-arg-name:"LOGFILE" description:"log lines of all instances"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *accountCommand) Execute([]string) error {
	f, err := os.Open(c.Args.Log)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	rows, err := account.Read(f)
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "target\tpause\tprompt\trequests")
	for cause := range account.CauseCount {
		fmt.Fprintf(w, "\t%s", cause)
	}
	fmt.Fprintln(w)
	for i := range rows {
		r := &rows[i]
		fmt.Fprintf(w, "%v\t%v\t%d\t%d", r.Kind.Target, r.Kind.Gap, r.Prompt, r.Total())
		for _, n := range r.Counts {
			fmt.Fprintf(w, "\t%d", n)
		}
		fmt.Fprintln(w)
	}
	if c.Seconds {
		writeSeconds(w, rows)
	}
	return w.Flush()
}

// writeSeconds writes how many requests of each kind were not in time, by the second of their last
// log line. Seconds count from the earliest log line that account.Read evaluates.
func writeSeconds(w *tabwriter.Writer, rows []account.Row) {
	for i := range rows {
		r := &rows[i]
		for _, s := range slices.Sorted(maps.Keys(r.Seconds)) {
			fmt.Fprintf(w, "%v\t%v\tsecond %d\t%d\n", r.Kind.Target, r.Kind.Gap, s, r.Seconds[s])
		}
	}
}
