// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package member

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/member/memberpb"
)

// network connects members in one process.
type network struct {
	mu   sync.Mutex
	list instances.List
	down map[string]bool
	// partitioned holds the pairs "a|b" of members that can't reach each other.
	partitioned  map[string]bool
	members      map[string]*Member
	platformDown bool
}

// networkPort is one member's access to the network and to the platform's list.
type networkPort struct {
	net *network
	id  string
}

func (p *networkPort) List(context.Context, int64) (instances.List, error) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	if p.net.platformDown {
		return instances.List{}, errNoResponse
	}
	return p.net.list, nil
}

func (p *networkPort) Probe(ctx context.Context, address string, in *memberpb.ProbeRequest) (*memberpb.ProbeReply, error) {
	p.net.mu.Lock()
	m := p.net.members[address]
	unreachable := p.net.down[address] || p.net.down[p.id] || p.net.partitioned[p.id+"|"+address] || p.net.partitioned[address+"|"+p.id]
	p.net.mu.Unlock()
	if unreachable || m == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return m.Answer(in), nil
}

// startNetwork starts n members and waits until they know each other.
func startNetwork(n int) *network {
	net := &network{
		list:        listOf(n),
		down:        make(map[string]bool),
		partitioned: make(map[string]bool),
		members:     make(map[string]*Member),
	}
	for i := range net.list.Instances {
		net.list.Instances[i].Address = net.list.Instances[i].ID
	}
	for _, i := range net.list.Instances {
		net.start(i)
	}
	time.Sleep(5 * time.Second)
	return net
}

func (n *network) start(i instances.Instance) {
	p := &networkPort{
		net: n,
		id:  i.ID,
	}
	m := New(Settings{
		Self:  i,
		Seeds: []string{"node-0"},
	}, p, p, func() int64 { return 1 }, logr.Discard())
	n.mu.Lock()
	n.members[i.ID] = m
	n.mu.Unlock()
}

func (n *network) close() {
	for _, m := range n.members {
		m.Close()
	}
}

// viewsIncluding returns how many members other than id consider id available.
func (n *network) viewsIncluding(id string) int {
	count := 0
	for other, m := range n.members {
		if _, ok := m.View().Nodes[id]; ok && other != id {
			count++
		}
	}
	return count
}

// TestFailureDetectionTime guards against members that still consider a failed instance available
// after 8 s, or don't accept it again after it returns, at several fleet sizes.
func TestFailureDetectionTime(t *testing.T) {
	for _, n := range []int{3, 8, 30, 100, 300} {
		t.Run(fmt.Sprintf("n=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := startNetwork(n)
				defer net.close()
				net.mu.Lock()
				net.down["node-1"] = true
				net.mu.Unlock()
				start := time.Now()
				for net.viewsIncluding("node-1") > 0 {
					time.Sleep(100 * time.Millisecond)
					if time.Since(start) > 8*time.Second {
						t.Fatalf("%d of %d members still consider node-1 available after 8s", net.viewsIncluding("node-1"), n)
					}
				}
				t.Logf("considered down by all after %s", time.Since(start))
				net.mu.Lock()
				net.down["node-1"] = false
				net.mu.Unlock()
				time.Sleep(20 * time.Second)
				if b := net.viewsIncluding("node-1"); b != n-1 {
					t.Errorf("%d of %d other members consider node-1 available after it came back", b, n-1)
				}
			})
		})
	}
}

// TestPartitionedInstanceMarksNoneDown guards against a partitioned member whose reports make other
// members consider reachable instances as down when the partition ends.
func TestPartitionedInstanceMarksNoneDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := startNetwork(6)
		defer net.close()
		net.mu.Lock()
		for i := range 5 {
			net.partitioned[fmt.Sprintf("node-5|node-%d", i)] = true
		}
		net.mu.Unlock()
		time.Sleep(30 * time.Second)
		net.mu.Lock()
		clear(net.partitioned)
		net.mu.Unlock()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for i := range 5 {
				is.True(net.viewsIncluding(fmt.Sprintf("node-%d", i)) >= 4) // all but the partitioned one
			}
		}
		time.Sleep(20 * time.Second)
		is.Equal(net.viewsIncluding("node-5"), 5)
	})
}

// TestStartDuringPlatformOutage guards against an instance that has no list because the platform
// provided none when it started, although its peers have one.
func TestStartDuringPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := startNetwork(4)
		defer net.close()
		net.mu.Lock()
		net.platformDown = true
		net.mu.Unlock()
		net.members["node-3"].Close()
		net.start(net.list.Instances[3])
		time.Sleep(5 * time.Second)
		is.True(net.members["node-3"].View().Complete)
		is.Equal(len(net.members["node-3"].View().Nodes), 4)
	})
}

// TestOwnersAgreeAndSpread guards against uneven ownership of endpoints, and against endpoints that
// change owner although their owner remains.
func TestOwnersAgreeAndSpread(t *testing.T) {
	is := is.New(t)
	nodes := make(map[string]instances.Instance)
	for _, i := range listOf(40).Instances {
		nodes[i.ID] = i
	}
	before := newView(nodes, maps.Clone(nodes), nil, true)
	delete(nodes, "node-4") // in region r0
	after := newView(nodes, nodes, nil, true)
	count := make(map[string]int)
	moved := 0
	const endpoints = 2000
	for e := range endpoints {
		a, _ := before.RegionalOwner(fmt.Sprint(e), "r0")
		b, _ := after.RegionalOwner(fmt.Sprint(e), "r0")
		is.Equal(a.Region, "r0")
		count[a.ID]++
		if a.ID != b.ID {
			is.Equal(a.ID, "node-4")
			moved++
		}
	}
	for id, n := range count {
		if n < endpoints/10*7/10 || n > endpoints/10*13/10 {
			t.Errorf("%s owns %d of %d endpoints", id, n, endpoints)
		}
	}
	is.Equal(moved, count["node-4"])
}

// TestListVersionsStartOver guards against ignoring all lists after the platform's versions start
// over, and against accepting a single outdated list.
func TestListVersionsStartOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := startNetwork(4)
		defer net.close()
		set := func(version int64, n int) {
			net.mu.Lock()
			defer net.mu.Unlock()
			l := listOf(n)
			l.Version = version
			for i := range l.Instances {
				l.Instances[i].Address = l.Instances[i].ID
			}
			net.list = l
		}
		set(100, 4)
		time.Sleep(3 * time.Second)
		set(7, 3)
		time.Sleep(1500 * time.Millisecond) // an outdated replica answers a few times
		is.Equal(len(net.members["node-0"].View().Listed), 4)
		set(100, 4)
		time.Sleep(3 * time.Second)
		set(7, 3)
		time.Sleep(10 * time.Second)
		is.Equal(len(net.members["node-0"].View().Listed), 3)
	})
}
