// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package settings

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Times of Await.
const (
	// awaitTimeout bounds how long Await waits for valid settings after the first error.
	awaitTimeout = 2 * time.Second
	// awaitInterval is the interval at which it tries again.
	awaitInterval = 50 * time.Millisecond
)

// Await is like Read, but allows for a file that is being written: while the file is missing or isn't valid,
// it tries again for up to two seconds, and reports the first error. It returns an error when ctx ends, also
// during a read that hangs.
func Await(ctx context.Context, path string, report func(error)) (*File, error) {
	var failed time.Time
	for {
		f, err := readUntil(ctx, path)
		switch {
		case err == nil:
			return f, nil
		case ctx.Err() != nil:
			return nil, err
		case failed.IsZero():
			report(err)
			failed = time.Now()
		case time.Since(failed) >= awaitTimeout:
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(awaitInterval):
		}
	}
}

// readUntil is like Read, but returns an error when ctx ends. It leaves a read that hangs behind.
func readUntil(ctx context.Context, path string) (*File, error) {
	type result struct {
		file *File
		err  error
	}
	done := make(chan result, 1)
	go func() {
		f, err := Read(path)
		done <- result{
			file: f,
			err:  err,
		}
	}()
	select {
	case r := <-done:
		return r.file, r.err
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "read settings")
	}
}
