// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package pool_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/catalog"
	"github.com/linkmast/linkmast/placement"
	"github.com/linkmast/linkmast/pool"
	"github.com/linkmast/linkmast/route"
)

// The emulated pool: short prompts that hold a slot for most of two seconds, at nearly
// all that the slots can take.
const (
	emulatedEngines = 6
	emulatedSlots   = 16
	// shortPrompt is read in 34 ms, and shortOutput written in 1.7 s.
	shortPrompt = 5_000
	shortOutput = 1_300
	shortTarget = 300 * time.Millisecond
	// patience is how long a caller waits for the first event.
	patience = 2 * time.Second
	// emulatedTick is how often the emulated engines are looked at.
	emulatedTick = 5 * time.Millisecond
)

// emulatedModel is an engine that works slow times as long as usual.
func emulatedModel(slow float64) *batch.Model {
	return &batch.Model{
		Slots:           emulatedSlots,
		Capacity:        400_000,
		Stride:          34,
		Chunk:           2048,
		Step:            time.Duration(1.31 * slow * float64(time.Millisecond)),
		ReadPerSecond:   154_000 / slow,
		PerMillionPairs: time.Duration(162 * slow * float64(time.Microsecond)),
	}
}

// emulation is a pool of engines with callers that come back once.
type emulation struct {
	s *pool.Scheduler

	mu      sync.Mutex
	engines map[string]*placement.Engine
	// arrived and inTime count requests by the second of their arrival.
	arrived map[int]int
	inTime  map[int]int
	began   time.Time
}

func newEmulation() *emulation {
	m := &emulation{
		s:       pool.NewScheduler(pool.Settings{Self: "n0"}, logr.Discard()),
		engines: make(map[string]*placement.Engine),
		arrived: make(map[int]int),
		inTime:  make(map[int]int),
		began:   time.Now(),
	}
	snap := &catalog.Snapshot{
		Table: route.New(1, nil, []route.Service{
			{Name: "engines", Engine: emulatedModel(1)},
		}, nil, false, route.Limits{}),
		Endpoints: make(map[string]catalog.Endpoint),
	}
	for i := range emulatedEngines {
		name := fmt.Sprintf("e%d", i)
		snap.Endpoints[name] = catalog.Endpoint{
			Instance: name,
			Service:  "engines",
			Address:  name + ":1",
			Slots:    emulatedSlots,
		}
		m.engines[name] = &placement.Engine{
			Instance: name,
			Model:    emulatedModel(1),
			Slots:    emulatedSlots,
		}
	}
	m.s.Update(snap)
	return m
}

// slow makes some engines work slow times as long as usual.
func (m *emulation) slow(engines int, slow float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range engines {
		m.engines[fmt.Sprintf("e%d", i)].Model = emulatedModel(slow)
	}
}

// run sends a request for each pause until the end, and waits for all of them.
func (m *emulation) run(ctx context.Context, pause func(at time.Duration) time.Duration, end time.Duration) {
	var all sync.WaitGroup
	for i := 0; time.Since(m.began) < end; i++ {
		all.Go(func() { m.caller(ctx, fmt.Sprint("r", i)) })
		time.Sleep(pause(time.Since(m.began)))
	}
	all.Wait()
}

// caller sends one request, and once more when it is refused.
func (m *emulation) caller(ctx context.Context, id string) {
	second := int(time.Since(m.began) / time.Second)
	m.mu.Lock()
	m.arrived[second]++
	m.mu.Unlock()
	for try := range 2 {
		a := prompt(fmt.Sprint(id, ".", try), shortPrompt, shortTarget)
		a.Output = shortOutput
		a.Gap = 250 * time.Millisecond
		a.Returning = try > 0
		sent := time.Now()
		first, err := m.attempt(ctx, a)
		var r *pool.Refusal
		if errors.As(err, &r) {
			time.Sleep(r.After)
			continue
		}
		if err == nil && first.Sub(sent) <= shortTarget {
			m.mu.Lock()
			m.inTime[second]++
			m.mu.Unlock()
		}
		return
	}
}

// attempt runs a request and returns when its first event came.
func (m *emulation) attempt(ctx context.Context, a pool.Ask) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	g, err := m.s.Place(ctx, a)
	if err != nil {
		return time.Time{}, err
	}
	m.mu.Lock()
	e := m.engines[g.Instance]
	job := &placement.Job{
		ID:       a.ID,
		Tokens:   a.Prompt,
		PerToken: e.Model.Read(a.Prompt, 1) / time.Duration(a.Prompt),
		Memory:   a.Prompt + a.Output,
		Context:  a.Prompt,
	}
	e.Add(job, time.Now())
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		e.Remove(a.ID)
	}()
	for {
		m.mu.Lock()
		e.Advance(time.Now())
		done := job.Tokens == 0
		m.mu.Unlock()
		if done {
			break
		}
		select {
		case <-time.After(emulatedTick):
		case <-ctx.Done():
			m.s.End(a.ID, a.Service, pool.Abandoned, "")
			return time.Time{}, ctx.Err()
		}
	}
	first := time.Now()
	m.s.First(a.ID, a.Service)
	m.write(e, a.Output)
	m.s.End(a.ID, a.Service, pool.Served, "")
	return first, nil
}

// write waits until an engine has written an answer.
func (m *emulation) write(e *placement.Engine, tokens int) {
	for left := float64(tokens); left > 0; {
		time.Sleep(emulatedTick)
		m.mu.Lock()
		left -= float64(emulatedTick) / float64(e.Model.Step)
		m.mu.Unlock()
	}
}

// share returns which part of the requests of some seconds were in time.
func (m *emulation) share(from, to int) float64 {
	arrived, inTime := 0, 0
	for s := from; s < to; s++ {
		arrived += m.arrived[s]
		inTime += m.inTime[s]
	}
	return float64(inTime) / float64(arrived)
}

// TestBackWithEngines slows a third of the engines for some seconds while more short
// prompts come than the slots can take. It looks that the sound engines go on serving
// in time, as they don't when callers that have come back fill the slots with late
// answers, and that the pool is back to its share within a second of its engines.
func TestBackWithEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newEmulation()
		ctx, stop := background(t, m.s.Run)
		defer stop()
		time.AfterFunc(3*time.Second, func() { m.slow(2, 8) })
		time.AfterFunc(9*time.Second, func() { m.slow(2, 1) })
		m.run(ctx, func(at time.Duration) time.Duration {
			if at > 3*time.Second && at < 9*time.Second {
				return time.Second / 80
			}
			return time.Second / 40
		}, 16*time.Second)
		is.True(m.share(0, 3) > 0.98)
		is.True(m.share(4, 9) > 0.3) // of the 0.47 that the sound engines can serve
		is.True(m.share(10, 16) > 0.95*m.share(0, 3))
	})
}
