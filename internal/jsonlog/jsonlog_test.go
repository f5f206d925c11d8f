// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package jsonlog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/jsonlog"
)

// slow is a writer whose Write blocks until free is closed.
type slow struct {
	free chan struct{}

	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *slow) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// TestNeverBlocks guards against a Writer that blocks its callers, or loses lines without
// counting them, while its output hangs.
func TestNeverBlocks(t *testing.T) {
	is := is.New(t)
	s := &slow{
		free: make(chan struct{}),
	}
	w := jsonlog.New(s)
	began := time.Now()
	const lines = 10_000
	for range lines {
		_, err := w.Write([]byte("{}\n"))
		is.NoErr(err)
	}
	is.True(time.Since(began) < time.Second)
	is.True(w.Dropped() > 0)
	close(s.free)
	w.Close()
	got := s.buf.String()
	is.True(strings.Contains(got, "log lines dropped"))
	is.Equal(int64(strings.Count(got, "{}\n"))+w.Dropped(), int64(lines)) // every line is either written or counted
}

// TestCloseWhileOutputHangs guards against a Close that waits for an output that hangs.
func TestCloseWhileOutputHangs(t *testing.T) {
	is := is.New(t)
	s := &slow{
		free: make(chan struct{}),
	}
	w := jsonlog.New(s)
	for range 10 {
		_, err := w.Write([]byte("{}\n"))
		is.NoErr(err)
	}
	began := time.Now()
	w.Close()
	is.True(time.Since(began) < time.Second)
	close(s.free)
	<-w.Done
}

// TestMemoryWhileOutputHangs guards against a queue that grows with the size of its lines.
func TestMemoryWhileOutputHangs(t *testing.T) {
	is := is.New(t)
	s := &slow{
		free: make(chan struct{}),
	}
	w := jsonlog.New(s)
	const lines = 1000
	line := []byte(strings.Repeat("a", 256<<10))
	for range lines {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	const maxQueued = 4 << 20
	// One more line is being written.
	is.True((lines-w.Dropped()-1)*int64(len(line)) <= maxQueued)
	close(s.free)
	w.Close()
}
