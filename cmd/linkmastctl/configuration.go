// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/config"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/logsvc"
	"github.com/linkmast/linkmast/rollout"
)

// platformOptions are the options for access to the platform's log.
type platformOptions struct {
	Log     string        `long:"log" value-name:"HOST:PORT" required:"yes" description:"the platform's log"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"how long to try"`
}

// open returns a client of the log and a context that ends after the timeout.
func (o *platformOptions) open() (logsvc.Log, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	return logsvc.NewHTTP(wirehttp.Client(), o.Log), ctx, cancel
}

// fileArgument is the configuration file that a command reads.
type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"yes" description:"a configuration file (TOML)"`
}

// checkCommand validates a configuration file.
type checkCommand struct {
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	_, f, err := readConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s is valid: %d customers, %d models, %d endpoints\n", c.Args.File, len(f.Customers), len(f.Models),
		len(f.Endpoints))
	return nil
}

// readConfiguration reads and parses a configuration file.
func readConfiguration(path string) ([]byte, *config.File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	f, err := config.Parse(text)
	if err != nil {
		return nil, nil, errors.Errorf("%s is invalid:\n%v", path, err)
	}
	return text, f, nil
}

// publishCommand publishes a configuration file.
type publishCommand struct {
	platformOptions

	Replaces int64  `long:"replaces" value-name:"GENERATION" description:"publish only if this generation is in force"`
	Force    bool   `long:"force" description:"publish whatever is in force (instead of --replaces)"`
	Whole    bool   `long:"whole" description:"write the whole file to the log, not just the change"`
	Operator string `long:"operator" description:"who publishes (default: the user's name)"`

	Args fileArgument `positional-args:"yes"`
}

// idBytes is the length of a publication's ID.
const idBytes = 8

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	if c.Force == (c.Replaces > 0) {
		return errors.New("give either --replaces GENERATION (see `linkmastctl show`) or --force")
	}
	text, _, err := readConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	if c.Operator == "" {
		if u, err := user.Current(); err == nil {
			c.Operator = u.Username
		}
	}
	log, ctx, cancel := c.open()
	defer cancel()
	base, err := c.base(ctx, log)
	if err != nil {
		return err
	}
	var id [idBytes]byte
	// Read never returns an error (crypto/rand).
	_, _ = rand.Read(id[:])
	v, err := rollout.Publish(ctx, log, rollout.Publication{
		ID:       hex.EncodeToString(id[:]),
		Operator: c.Operator,
		Replaces: c.Replaces,
		Text:     text,
		Base:     base,
	})
	if err != nil {
		return err
	}
	if v.Outcome != rollout.Accepted {
		return errors.Errorf("not in force: %s (%s), record %d", v.Outcome, v.Reason, v.Offset)
	}
	fmt.Printf("accepted as generation %d\n", v.Offset)
	return nil
}

// base returns the file that the publication replaces, so that only the difference is
// written to the log. It returns nil if the whole file is to be written, and an error if
// another generation than Replaces is in force.
func (c *publishCommand) base(ctx context.Context, log logsvc.Log) ([]byte, error) {
	if c.Force || c.Whole {
		return nil, nil
	}
	j, _, err := rollout.Replay(ctx, log)
	if err != nil {
		return nil, err
	}
	if j.InForce.Generation != c.Replaces {
		return nil, errors.Errorf("not published: generation %d is in force, not %d", j.InForce.Generation, c.Replaces)
	}
	return j.InForce.Text, nil
}

// inForce replays the log and returns its evaluation, which holds the configuration in force,
// and all verdicts. It returns an error if no configuration is in force.
func inForce(o *platformOptions) (*rollout.Evaluator, []rollout.Verdict, error) {
	log, ctx, cancel := o.open()
	defer cancel()
	j, verdicts, err := rollout.Replay(ctx, log)
	if err != nil {
		return nil, nil, err
	}
	if j.InForce.Generation == 0 {
		return nil, nil, errors.New("no configuration is in force")
	}
	return j, verdicts, nil
}

// diffCommand compares a file with the configuration in force.
type diffCommand struct {
	platformOptions

	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	text, _, err := readConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	j, _, err := inForce(&c.platformOptions)
	if err != nil {
		return err
	}
	if bytes.Equal(j.InForce.Text, text) {
		fmt.Printf("same as generation %d\n", j.InForce.Generation)
		return nil
	}
	fmt.Printf("--- generation %d\n+++ %s\n", j.InForce.Generation, c.Args.File)
	for _, l := range config.Diff(string(j.InForce.Text), string(text)) {
		fmt.Println(l)
	}
	return nil
}

// showCommand prints the configuration in force or the records of the log.
type showCommand struct {
	platformOptions

	History bool `long:"history" description:"list the records of the log instead"`
}

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	j, verdicts, err := inForce(&c.platformOptions)
	if err != nil {
		return err
	}
	if !c.History {
		fmt.Printf("# generation %d\n%s", j.InForce.Generation, j.InForce.Text)
		return nil
	}
	for _, v := range verdicts {
		fmt.Printf("%6d  %-10s  %-12s  %s\n", v.Offset, v.Outcome, v.Operator, v.Reason)
	}
	return nil
}
