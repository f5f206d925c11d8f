// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/fleet"
	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/logsvc"
	"github.com/linkmast/linkmast/rollout"
)

// process is a running program of a deployment.
type process struct {
	t       *testing.T
	name    string
	cmd     *exec.Cmd
	address string
	peer    string
	admin   string
	exited  chan error
	output  *bytes.Buffer
	mu      sync.Mutex
}

// deployment is a platform, engines, a plain service and nodes, each in a process of its own.
type deployment struct {
	t        *testing.T
	bin      string
	platform *process
	engines  []*process
	service  *process
	nodes    []*process
}

// build builds both programs once and returns their directory.
var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "linkmast-test")
	if err != nil {
		return "", err
	}
	for _, name := range []string{"linkmast", "linkmastctl"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), "../"+name).CombinedOutput()
		if err != nil {
			return "", fmt.Errorf("build %s: %w\n%s", name, err, out)
		}
	}
	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := build(); err == nil {
		os.RemoveAll(dir)
	}
	os.Exit(code)
}

// run starts a program and waits until it prints its address or exits.
func (d *deployment) run(name, program string, args ...string) *process {
	d.t.Helper()
	p := &process{
		t:      d.t,
		name:   name,
		cmd:    exec.Command(filepath.Join(d.bin, program), args...),
		exited: make(chan error, 1),
		output: &bytes.Buffer{},
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		d.t.Fatal(err)
	}
	p.cmd.Stderr = p.cmd.Stdout
	if err := p.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	started := make(chan struct{})
	go func() {
		in := bufio.NewScanner(out)
		in.Buffer(nil, 1<<20)
		once := sync.OnceFunc(func() { close(started) })
		for in.Scan() {
			p.mu.Lock()
			p.output.WriteString(in.Text() + "\n")
			p.mu.Unlock()
			if p.parseAddresses(in.Text()) {
				once()
			}
		}
		once()
		p.exited <- p.cmd.Wait()
	}()
	d.t.Cleanup(func() {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
	})
	select {
	case <-started:
	case <-time.After(10 * time.Second):
		d.t.Fatalf("%s did not start: %s", name, p.text())
	}
	return p
}

// parseAddresses takes the addresses from a line of output and reports whether it had any.
func (p *process) parseAddresses(line string) bool {
	if a, ok := strings.CutPrefix(line, "listening on "); ok {
		p.address = a
		return true
	}
	var l struct {
		Msg, Listen, Peers, Admin string
	}
	if json.Unmarshal([]byte(line), &l) != nil || l.Msg != "started" {
		return false
	}
	p.address, p.peer, p.admin = l.Listen, l.Peers, l.Admin
	return true
}

// text returns the output so far.
func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// signal sends a signal. After SIGSTOP it waits until all threads have stopped.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
	if s == syscall.SIGSTOP {
		p.awaitFrozen()
	}
}

// awaitFrozen waits until all threads of the process are stopped. Under load, some threads
// still run for a while after SIGSTOP.
func (p *process) awaitFrozen() {
	p.t.Helper()
	for end := time.Now().Add(freezeTimeout); !p.frozen(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatal("process still runs after SIGSTOP")
		}
	}
}

// freezeTimeout bounds the wait for a process to stop.
const freezeTimeout = 5 * time.Second

// frozen reports whether all threads of the process are stopped.
func (p *process) frozen() bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	for _, name := range stats {
		stat, err := os.ReadFile(name)
		if err != nil {
			return false
		}
		// The state follows the name of the command, which is in parentheses (proc(5)).
		_, rest, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(rest, "T") {
			return false
		}
	}
	return len(stats) > 0
}

// deploy starts a platform, three engines, a service and n nodes, and waits until the nodes
// are ready.
func deploy(t *testing.T, n int) *deployment {
	t.Helper()
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{
		t:   t,
		bin: bin,
	}
	d.platform = d.run("platform", "linkmastctl", "standin", "platform")
	for i := range 3 {
		name := fmt.Sprintf("e%d", i+1)
		d.engines = append(d.engines, d.run(name, "linkmastctl", "standin", "engine", "--instance", name, "--step", "10ms"))
		d.register(name, d.engines[i].address, instances.KindEndpoint)
	}
	d.service = d.run("s1", "linkmastctl", "standin", "service", "--instance", "s1")
	d.register("s1", d.service.address, instances.KindEndpoint)
	for i := range n {
		d.addNode(fmt.Sprintf("n%d", i+1))
	}
	d.publish()
	for _, p := range d.nodes {
		d.awaitReady(p, n)
	}
	return d
}

// addNode starts a node and registers it with the platform.
func (d *deployment) addNode(name string) {
	path := filepath.Join(d.t.TempDir(), name+".toml")
	text := fmt.Sprintf("id = %q\nregion = \"r1\"\nfailure_domain = \"d1\"\nlisten = \"127.0.0.1:0\"\n"+
		"peer_listen = \"127.0.0.1:0\"\nadmin_listen = \"127.0.0.1:0\"\n[platform]\nlog = %q\ninstances = %q\n"+
		"[times]\ndrain = \"1s\"\n", name, d.platform.address, d.platform.address)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	p := d.run(name, "linkmast", "--settings", path)
	d.nodes = append(d.nodes, p)
	d.register(name, p.peer, instances.KindNode)
}

// register adds an instance to the platform's list.
func (d *deployment) register(id, address string, kind instances.Kind) {
	data, _ := json.Marshal(instances.Instance{
		ID:            id,
		Kind:          kind,
		Address:       address,
		FailureDomain: "d1",
		Region:        "r1",
		State:         instances.Live,
	})
	put(d.t, "http://"+d.platform.address+"/v1/instances/"+id, string(data))
}

// put sends body with a PUT request. It ignores the status of the response.
func put(t *testing.T, url, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
}

// publish publishes a configuration with all engines and the service.
func (d *deployment) publish() {
	d.t.Helper()
	var engines []*fleet.Endpoint
	for _, p := range d.engines {
		engines = append(engines, &fleet.Endpoint{ID: p.name, Address: p.address})
	}
	text := fleet.DefaultConfiguration(engines, []*fleet.Endpoint{{ID: "s1", Address: d.service.address}})
	log := logsvc.NewHTTP(wirehttp.Client(), d.platform.address)
	if _, err := rollout.Publish(context.Background(), log, rollout.Publication{
		ID:   "test",
		Text: []byte(text),
	}); err != nil {
		d.t.Fatal(err)
	}
}

// awaitReady waits until a node is ready and knows n nodes.
func (d *deployment) awaitReady(p *process, n int) {
	d.t.Helper()
	for range 200 {
		var s struct {
			Ready   bool
			Members int
		}
		res, err := http.Get("http://" + p.admin + "/status")
		if err == nil {
			json.NewDecoder(res.Body).Decode(&s)
			res.Body.Close()
		}
		if s.Ready && s.Members == n {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.t.Fatalf("%s did not become ready: %s", p.name, p.text())
}

// heldBytes returns the memory held at all engines that answer.
func (d *deployment) heldBytes() int64 {
	total := int64(0)
	for _, p := range d.engines {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		s, err := engine.NewHTTP(wirehttp.Client(), p.address).Status(ctx, false)
		cancel()
		if err == nil {
			total += s.HeldBytes
		}
	}
	return total
}

// wantMemoryReleased fails the test if an engine that answers still holds memory after the
// given time.
func (d *deployment) wantMemoryReleased(within time.Duration) {
	d.t.Helper()
	until := time.Now().Add(within)
	for d.heldBytes() > 0 {
		if time.Now().After(until) {
			d.t.Errorf("%d bytes are still held after %s", d.heldBytes(), within)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// addresses returns the addresses of all nodes.
func (d *deployment) addresses() []string {
	var out []string
	for _, p := range d.nodes {
		out = append(out, p.address)
	}
	return out
}
