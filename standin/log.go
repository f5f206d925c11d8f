// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package standin

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/linkmast/linkmast/logsvc"
)

// LogSettings configures a Log. Zero values select the defaults.
type LogSettings struct {
	// AppendsPerSecond bounds the rate of appends to all streams together; the default is 100.
	AppendsPerSecond float64
	// Retention is how long records are kept; the default is 24h.
	Retention time.Duration
}

const (
	defaultAppends   = 100
	defaultRetention = 24 * time.Hour
)

// readLimit bounds the number of records that one read returns.
const readLimit = 512

// Log is an append-only log in memory. It implements logsvc.Log.
type Log struct {
	limit     *rate.Limiter
	retention time.Duration

	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	appends int
}

// stream is one sequence of records with the times of their appends.
type stream struct {
	records []logsvc.Record
	times   []time.Time
	next    int64
	changed chan struct{}
}

// NewLog returns an empty log.
func NewLog(s LogSettings) *Log {
	if s.AppendsPerSecond == 0 {
		s.AppendsPerSecond = defaultAppends
	}
	if s.Retention == 0 {
		s.Retention = defaultRetention
	}
	return &Log{
		limit:     rate.NewLimiter(rate.Limit(s.AppendsPerSecond), int(s.AppendsPerSecond)),
		retention: s.Retention,
		streams:   make(map[string]*stream),
	}
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// stream returns the stream with the given name, which it creates if necessary, and removes
// records older than the retention. The caller holds l.mu.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{
			next:    1,
			changed: make(chan struct{}),
		}
		l.streams[name] = s
	}
	old := time.Now().Add(-l.retention)
	for len(s.times) > 0 && s.times[0].Before(old) {
		s.times = s.times[1:]
		s.records = s.records[1:]
	}
	return s
}

// Append implements logsvc.Log.
func (l *Log) Append(ctx context.Context, name string, records [][]byte) (int64, error) {
	if err := l.limit.Wait(ctx); err != nil {
		return 0, &logsvc.Error{
			Err: err,
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return 0, &logsvc.Error{
			Err: errors.New("outage"),
		}
	}
	s := l.stream(name)
	first := s.next
	now := time.Now()
	for _, data := range records {
		s.records = append(s.records, logsvc.Record{
			Offset: s.next,
			Data:   append([]byte(nil), data...),
		})
		s.times = append(s.times, now)
		s.next++
	}
	l.appends++
	close(s.changed)
	s.changed = make(chan struct{})
	if consume(&l.faults.LoseAnswer) {
		return 0, &logsvc.Error{
			Unknown: true,
			Err:     errConnectionLost,
		}
	}
	return first, nil
}

// Read implements logsvc.Log.
func (l *Log) Read(ctx context.Context, name string, from int64, wait time.Duration) (logsvc.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, changed, err := l.read(name, from)
		if err != nil || len(b.Records) > 0 || wait == 0 {
			return b, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return b, nil
		case <-ctx.Done():
			return b, &logsvc.Error{
				Err: ctx.Err(),
			}
		}
	}
}

// read returns up to readLimit records from an offset on, and a channel that is closed at the
// next append to the stream.
func (l *Log) read(name string, from int64) (logsvc.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage || l.faults.ReadOutage {
		return logsvc.Batch{}, nil, &logsvc.Error{
			Err: errors.New("outage"),
		}
	}
	s := l.stream(name)
	b := logsvc.Batch{
		Earliest: s.next - int64(len(s.records)),
		Next:     s.next,
		Records:  make([]logsvc.Record, 0),
	}
	skip := max(from-b.Earliest, 0)
	if skip < int64(len(s.records)) {
		rest := s.records[skip:]
		b.Records = append(b.Records, rest[:min(len(rest), readLimit)]...)
	}
	return b, s.changed, nil
}
