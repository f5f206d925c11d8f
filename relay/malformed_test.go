// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package relay

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/steady"
	"github.com/linkmast/linkmast/internal/upstream"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/pool"
)

// TestMalformedHeadIsNoCrash guards against a request that counts as one that crashes endpoints, as an
// endpoint sent a malformed head, and against one that counts as not run.
func TestMalformedHeadIsNoCrash(t *testing.T) {
	is := is.New(t)
	x := &attempt{
		relay: New(Settings{}, Parts{}),
		job: &job{
			deadline: steady.Now().Add(time.Second),
			out:      &answer{},
		},
		caller: t.Context(),
	}
	res := x.handleNoAnswer(&upstream.Error{
		Sent: true,
		Err:  errors.Wrap(wirehttp.ErrMalformedHead, "status"),
	}, &watch{})
	is.Equal(res.outcome, pool.Failed)
	is.True(res.interrupted)
	is.Equal(len(x.suspects(res)), 0)
	is.True(x.job.mayHaveRun)
}
