// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package settings

import (
	"context"
	"time"
)

// Times of Await.
const (
	// awaitTimeout bounds how long Await waits for valid settings.
	awaitTimeout = 2 * time.Second
	// awaitInterval is the interval at which it tries again.
	awaitInterval = 50 * time.Millisecond
)

// Await is like Read, but allows for a file that is being written: while the file is missing or isn't valid,
// it tries again for up to two seconds or until ctx ends, and reports the first error.
func Await(ctx context.Context, path string, report func(error)) (*File, error) {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	reported := false
	for {
		f, err := Read(path)
		if err == nil {
			return f, nil
		}
		if !reported {
			report(err)
			reported = true
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(awaitInterval):
		}
	}
}
