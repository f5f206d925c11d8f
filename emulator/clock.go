// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package emulator

import (
	"container/heap"
	"time"
)

// clock is a virtual clock. It runs timers in the order of their times, and those of the
// same time in the order in which they were set.
type clock struct {
	start      time.Time
	now        time.Time
	queue      timers
	timerCount int
}

// timer is an action that is due at a time.
type timer struct {
	at     time.Time
	order  int
	action func()
}

// timers is a heap of timers, ordered by time and then by order of setting.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].order < t[j].order
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}

// newClock returns a clock that shows the Unix epoch and has no timers.
func newClock() *clock {
	start := time.Unix(0, 0)
	return &clock{
		start: start,
		now:   start,
	}
}

// after schedules do to run after d. A negative d counts as zero.
func (c *clock) after(d time.Duration, do func()) {
	c.timerCount++
	heap.Push(&c.queue, timer{
		at:     c.now.Add(max(d, 0)),
		order:  c.timerCount,
		action: do,
	})
}

// run runs the timers that are due within length of the start, including timers that are set
// during the run.
func (c *clock) run(length time.Duration) {
	end := c.start.Add(length)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		t := heap.Pop(&c.queue).(timer)
		c.now = t.at
		t.action()
	}
}
