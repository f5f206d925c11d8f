// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/linkmast/linkmast/platform/platformtest"
	"github.com/linkmast/linkmast/review/testbed"
)

// replica is an engine that runs as a process, at the same address and under the same name after each
// start.
type replica struct {
	name    string
	address string
	domain  string
	cmd     *exec.Cmd
}

// replicas are the engines of the case.
type replicas struct {
	bed  *testbed.Bed
	list []*replica

	mu sync.Mutex
	// latest is the engine that last got a request from a client of the first instance.
	latest *replica
}

// start starts the process of an engine and writes its entry.
func (p *replicas) start(r *replica) error {
	r.cmd = exec.Command("target/review/replica", r.address, r.name)
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	go p.follow(r, out)
	p.bed.Store.PutEndpoint(platformtest.EndpointEntry{
		Instance:  r.name,
		Service:   service,
		Address:   r.address,
		Domain:    r.domain,
		Slots:     testbed.EngineModel().Slots,
		StartedAt: time.Now(),
	})
	return nil
}

// follow records the requests that an engine gets.
func (p *replicas) follow(r *replica, out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		p.bed.Record.Printf("run       %s at %s", lines.Text(), r.name)
		if strings.HasPrefix(lines.Text(), suspendedPrefix) {
			p.mu.Lock()
			p.latest = r
			p.mu.Unlock()
		}
	}
}

// busy returns the engine that last got a request from a client of the first instance.
func (p *replicas) busy() *replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest
}

// kill ends the process of an engine.
func (r *replica) kill() {
	// An error means that the process has ended already.
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
}

// killAll ends all engines.
func (p *replicas) killAll() {
	for _, r := range p.list {
		if r.cmd != nil && r.cmd.Process != nil {
			r.kill()
		}
	}
}

// startAll starts n engines.
func (p *replicas) startAll(n int) error {
	for i := range n {
		address, err := p.bed.FreeAddress()
		if err != nil {
			return err
		}
		r := &replica{
			name:    fmt.Sprintf("i-%d", i),
			address: address,
			domain:  fmt.Sprintf("hall-%d", i%3),
		}
		p.list = append(p.list, r)
		if err := p.start(r); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return err
		}
	}
	return nil
}
