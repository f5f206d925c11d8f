// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/platform"
	"github.com/linkmast/linkmast/quarantine"
)

// releaseCommand ends bans of requests that crashed endpoints.
type releaseCommand struct {
	Store   string        `long:"store" value-name:"HOST:PORT" required:"yes" description:"address of the platform's store"`
	Timeout time.Duration `long:"timeout" default:"3s" description:"how long to wait for the store"`
	Args    struct {
		Identities []string `positional-arg-name:"IDENTITY" required:"1" description:"as the lines about the request have it"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *releaseCommand) Execute([]string) error {
	ids := make([]quarantine.Identity, 0, len(c.Args.Identities))
	for _, text := range c.Args.Identities {
		id, err := quarantine.ParseIdentity(text)
		if err != nil {
			return err
		}
		ids = append(ids, id)
	}
	store := platform.NewStore(wirehttp.Client(), c.Store)
	for _, id := range ids {
		if err := c.release(store, id); err != nil {
			return err
		}
		fmt.Println("released", id)
	}
	return nil
}

// release erases the record of one ban from the store.
func (c *releaseCommand) release(store *platform.Store, id quarantine.Identity) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	if err := store.EraseBan(ctx, id); err != nil {
		return errors.Wrapf(err, "release %s", id)
	}
	return nil
}
