// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/internal/wirehttp"
)

// endCheckTimeout bounds the check of an endpoint that ended an answer with the connection. An ended
// process refuses connections at once.
const endCheckTimeout = 250 * time.Millisecond

// verifyEnd returns an error if an answer that ended with its connection may have ended because its
// endpoint did: the endpoint no longer accepts connections, or can't be reached to find out. Answers with
// another framing need no such check. The connection takes the place of the one that ended.
func (t *attempt) verifyEnd(x *upstream.Exchange) error {
	if wirehttp.FramingOf(x.Response) != wirehttp.ByClose {
		return nil
	}
	if t.relay.findUnavailable(&t.grant) != nil {
		// An endpoint that is leaving may end in order as soon as its last answer is sent.
		return nil
	}
	ctx, cancel := context.WithTimeout(t.caller, endCheckTimeout)
	defer cancel()
	if err := t.relay.parts.Upstream.Prepare(ctx, t.grant.Address); err != nil {
		return errors.Wrap(err, "endpoint ended with the connection")
	}
	return nil
}
