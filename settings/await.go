// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package settings

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// Times of Await.
const (
	// awaitTimeout bounds how long Await waits for valid settings.
	awaitTimeout = 2 * time.Second
	// awaitInterval is the interval at which it tries again.
	awaitInterval = 50 * time.Millisecond
	// settleTime is the age of a file that counts as written completely.
	settleTime = 100 * time.Millisecond
	// settlePause is the pause between two reads of a younger file, which must not differ.
	settlePause = 20 * time.Millisecond
)

// Await is like Read, but allows for a file that is being written: while the file is missing, changes or
// isn't valid, it tries again for up to two seconds or until ctx ends, and reports the first error.
func Await(ctx context.Context, path string, report func(error)) (*File, error) {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	reported := false
	for {
		f, err := readSettled(path)
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

// readSettled is like Read, but returns an error if the file changes.
func readSettled(path string) (*File, error) {
	data, err := settle(path, os.ReadFile, isYoung)
	if err != nil {
		return nil, err
	}
	f, err := Parse(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	return f, nil
}

// settle returns the content of a file. A young file is read twice; settle returns an error if the content
// differs.
func settle(path string, read func(string) ([]byte, error), young func(string) bool) ([]byte, error) {
	data, err := read(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	if !young(path) {
		return data, nil
	}
	time.Sleep(settlePause)
	again, err := read(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	if !bytes.Equal(data, again) {
		return nil, errors.Errorf("%s is being written", path)
	}
	return data, nil
}

// isYoung reports whether a regular file was modified a short time ago. A modification in the future, after
// a step of the clock, counts as well.
func isYoung(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular() && time.Since(info.ModTime()) < settleTime
}
