// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package testbed

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Record writes lines with the time since its start to a file. It is safe for concurrent use.
type Record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// newRecord creates the file of a record.
func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "create record")
	}
	return &Record{
		began: time.Now(),
		file:  f,
		out:   bufio.NewWriter(f),
	}, nil
}

// Printf writes a line for the present time.
func (r *Record) Printf(format string, args ...any) {
	r.PrintfAt(time.Now(), format, args...)
}

// PrintfAt writes a line for a given time.
func (r *Record) PrintfAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f s  ", at.Sub(r.began).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// close writes the remaining lines.
func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
