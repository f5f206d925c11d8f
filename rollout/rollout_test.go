// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package rollout

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/internal/zdelta"
	"github.com/linkmast/linkmast/logsvc"
	"github.com/linkmast/linkmast/rollout/rolloutpb"
	"github.com/linkmast/linkmast/standin"
)

// cluster is a group of instances that tests can disconnect from the log and from each other.
type cluster struct {
	log     *standin.Log
	members []*instance
}

// instance is one member of a cluster. It implements logsvc.Log and Peers for its Rollout.
type instance struct {
	current atomic.Pointer[Rollout]

	group  *cluster
	index  int
	noLog  atomic.Bool
	noPeer atomic.Bool
	reader bool
}

var errUnreachable = errors.New("peer or log is unreachable")

func (i *instance) Append(ctx context.Context, s string, r [][]byte) (int64, error) {
	if i.noLog.Load() {
		return 0, &logsvc.Error{
			Err: errUnreachable,
		}
	}
	return i.group.log.Append(ctx, s, r)
}

func (i *instance) Read(ctx context.Context, s string, from int64, wait time.Duration) (logsvc.Batch, error) {
	if i.noLog.Load() {
		return logsvc.Batch{}, errUnreachable
	}
	return i.group.log.Read(ctx, s, from, wait)
}

func (i *instance) Addresses() []string {
	var out []string
	for k := range i.group.members {
		if k != i.index {
			out = append(out, fmt.Sprint(k))
		}
	}
	return out
}

func (i *instance) Pull(_ context.Context, address string, in *rolloutpb.PullRequest) (*rolloutpb.PullReply, error) {
	var k int
	fmt.Sscan(address, &k)
	other := i.group.members[k]
	if i.noPeer.Load() || other.noPeer.Load() || other.current.Load() == nil {
		return nil, errUnreachable
	}
	return other.current.Load().HandlePull(in)
}

func (i *instance) Reader() bool   { return i.reader }
func (i *instance) Repeater() bool { return i.index == 0 }

func newCluster(n, readers int, s standin.LogSettings) *cluster {
	g := &cluster{
		log: standin.NewLog(s),
	}
	for k := range n {
		g.members = append(g.members, &instance{
			group:  g,
			index:  k,
			reader: k < readers,
		})
	}
	return g
}

func (g *cluster) start(k int) {
	i := g.members[k]
	i.current.Store(New(Settings{
		RepeatAfter: 4 * time.Minute,
	}, i, i, logr.Discard()))
}

func (g *cluster) startAll() {
	for k := range g.members {
		g.start(k)
	}
}

func (g *cluster) stop() {
	for _, i := range g.members {
		if r := i.current.Load(); r != nil {
			r.Close()
		}
	}
}

func (g *cluster) publish(t *testing.T, version int, replaces int64) Verdict {
	t.Helper()
	v, err := Publish(t.Context(), g.log, Publication{
		ID:       fmt.Sprintf("p%d", version),
		Replaces: replaces,
		Text:     configText(1, version),
	})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// assertInForce fails the test unless a generation is in force on every instance after a time.
func (g *cluster) assertInForce(t *testing.T, generation int64, within time.Duration) {
	t.Helper()
	time.Sleep(within)
	for _, i := range g.members {
		if got := i.current.Load().Generation(); got != generation {
			t.Errorf("generation %d is in force on instance %d, want %d", got, i.index, generation)
		}
	}
}

// TestInForceEverywhere checks that a published configuration comes into force on all instances in
// time and is never reverted, under faults of the log, the peers and the operators.
func TestInForceEverywhere(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(t *testing.T, g *cluster)
	}{
		{"published", func(t *testing.T, g *cluster) {
			g.publish(t, 2, 1)
			g.assertInForce(t, 2, 8*time.Second)
		}},
		{"two operators at the same time", func(t *testing.T, g *cluster) {
			outcomes := make(chan Outcome, 2)
			for k := range 2 {
				go func() { outcomes <- g.publish(t, 10+k, 1).Outcome }()
			}
			is := is.New(t)
			first, second := <-outcomes, <-outcomes
			is.True(first != second) // one is accepted and the other overtaken
			g.assertInForce(t, 2, 8*time.Second)
		}},
		{"answer to the append lost", func(t *testing.T, g *cluster) {
			g.log.SetFaults(standin.Faults{LoseAnswer: 1})
			is := is.New(t)
			is.Equal(g.publish(t, 2, 1).Outcome, Accepted)
			g.assertInForce(t, 2, 8*time.Second)
		}},
		{"log fails after one instance has read", func(t *testing.T, g *cluster) {
			for _, i := range g.members[1:] {
				i.noLog.Store(true)
			}
			g.publish(t, 2, 1)
			time.Sleep(100 * time.Millisecond)
			g.members[0].noLog.Store(true)
			g.assertInForce(t, 2, 18*time.Second)
		}},
		{"one instance disconnected for an hour", func(t *testing.T, g *cluster) {
			last := g.members[5]
			last.noLog.Store(true)
			last.noPeer.Store(true)
			g.publish(t, 2, 1)
			time.Sleep(time.Hour)
			is := is.New(t)
			is.Equal(last.current.Load().Generation(), int64(1))
			last.noLog.Store(false)
			last.noPeer.Store(false)
			g.assertInForce(t, 2, 8*time.Second)
		}},
		{"restart during an outage of the log", func(t *testing.T, g *cluster) {
			g.log.SetFaults(standin.Faults{Outage: true})
			g.members[5].current.Load().Close()
			g.start(5)
			g.assertInForce(t, 1, 8*time.Second)
		}},
		{"old generation repeated", func(t *testing.T, g *cluster) {
			g.publish(t, 2, 1)
			g.assertInForce(t, 2, 8*time.Second)
			// An instance that was paused before generation 2 repeats generation 1.
			data, err := encode(configText(1, 1), nil, &rolloutpb.Record{
				Repeats: 1,
			})
			is := is.New(t)
			is.NoErr(err)
			_, err = g.log.Append(t.Context(), Stream, [][]byte{data})
			is.NoErr(err)
			g.assertInForce(t, 2, 8*time.Second)
			g.members[4].current.Load().Close()
			g.start(4)
			g.assertInForce(t, 2, 8*time.Second)
		}},
		{"restart after the retention time", func(t *testing.T, g *cluster) {
			// The record of generation 1 is trimmed after 10 minutes. All instances restart later.
			time.Sleep(45 * time.Minute)
			g.stop()
			g.startAll()
			g.assertInForce(t, 1, 8*time.Second)
			g.assertInForce(t, g.publish(t, 2, 1).Offset, 8*time.Second)
		}},
		{"invalid record", func(t *testing.T, g *cluster) {
			is := is.New(t)
			_, err := g.log.Append(t.Context(), Stream, [][]byte{[]byte("no record")})
			is.NoErr(err)
			g.assertInForce(t, 1, 8*time.Second)
			g.publish(t, 2, 1)
			g.assertInForce(t, 3, 8*time.Second)
		}},
		{"outage longer than the retention time", func(t *testing.T, g *cluster) {
			g.log.SetFaults(standin.Faults{Outage: true})
			time.Sleep(6 * time.Hour)
			g.assertInForce(t, 1, 0)
			g.log.SetFaults(standin.Faults{})
			time.Sleep(10 * time.Second)
			// The record of generation 1 was trimmed during the outage. The repeater must have written
			// the file again.
			_, verdicts, err := Replay(t.Context(), g.log)
			is := is.New(t)
			is.NoErr(err)
			is.True(len(verdicts) > 0)
			g.assertInForce(t, g.publish(t, 2, 1).Offset, 8*time.Second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newCluster(6, 2, standin.LogSettings{
					Retention: 10 * time.Minute,
				})
				g.startAll()
				defer g.stop()
				g.publish(t, 1, 0)
				g.assertInForce(t, 1, 8*time.Second)
				c.run(t, g)
			})
		})
	}
}

// TestPublishRejectsInvalidFile checks that an invalid file is not appended to the log.
func TestPublishRejectsInvalidFile(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog(standin.LogSettings{})
	_, err := Publish(t.Context(), log, Publication{
		ID:   "bad",
		Text: []byte("format = 1\ncolour = 2"),
	})
	is.True(err != nil)
	is.Equal(log.Appends(), 0)
}

// TestDelta checks that unpacking a delta yields the original file, and that a truncated delta is
// rejected.
func TestDelta(t *testing.T) {
	for _, n := range []int{1, 100, 2_000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			old, text := configText(n, 1), configText(n, 2)
			delta, err := zdelta.Pack(text, old)
			is.NoErr(err)
			got, err := zdelta.Unpack(delta, old)
			is.NoErr(err)
			is.Equal(string(got), string(text))
			_, err = zdelta.Unpack(delta[:len(delta)/2], old)
			is.True(err != nil)
		})
	}
}

// TestTimeToForce checks that a published configuration is in force on all of n instances within
// 18 seconds, in virtual time. At most 24 of them are readers of the log.
func TestTimeToForce(t *testing.T) {
	for _, n := range []int{8, 30, 100, 300, 1200} {
		t.Run(fmt.Sprintf("n=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newCluster(n, min(n, 24), standin.LogSettings{})
				g.publish(t, 1, 0)
				g.startAll()
				defer g.stop()
				time.Sleep(30 * time.Second)
				g.publish(t, 2, 1)
				start := time.Now()
				for !g.inForceEverywhere(2) {
					time.Sleep(100 * time.Millisecond)
					if time.Since(start) > 18*time.Second {
						t.Fatal("not in force everywhere after 18 s")
					}
				}
				t.Logf("in force everywhere after %s", time.Since(start))
			})
		})
	}
}

// inForceEverywhere reports whether a generation is in force on all instances.
func (g *cluster) inForceEverywhere(generation int64) bool {
	for _, i := range g.members {
		if i.current.Load().Generation() != generation {
			return false
		}
	}
	return true
}
