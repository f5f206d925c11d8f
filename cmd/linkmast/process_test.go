// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/engine"
	"github.com/linkmast/linkmast/fleet"
	"github.com/linkmast/linkmast/instances"
	"github.com/linkmast/linkmast/internal/wirehttp"
	"github.com/linkmast/linkmast/logsvc"
	"github.com/linkmast/linkmast/rollout"
	"github.com/linkmast/linkmast/standin"
)

// process is one running program.
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

// deployment is a whole deployment of separate processes.
type deployment struct {
	t        *testing.T
	bin      string
	platform *process
	engines  []*process
	service  *process
	nodes    []*process
}

// build builds both programs once.
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

// run starts a program and waits for the line that tells its address.
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
			if p.read(in.Text()) {
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
		d.t.Fatalf("%s does not start: %s", name, p.text())
	}
	return p
}

// read takes the addresses from a line of output.
func (p *process) read(line string) bool {
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

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// deploy starts a deployment of n nodes.
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
		d.list(name, d.engines[i].address, instances.KindEndpoint)
	}
	d.service = d.run("s1", "linkmastctl", "standin", "service", "--instance", "s1")
	d.list("s1", d.service.address, instances.KindEndpoint)
	for i := range n {
		d.addNode(fmt.Sprintf("n%d", i+1))
	}
	d.publish()
	for _, p := range d.nodes {
		d.ready(p, n)
	}
	return d
}

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
	d.list(name, p.peer, instances.KindNode)
}

// list puts an instance on the platform's list.
func (d *deployment) list(id, address string, kind instances.Kind) {
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

func (d *deployment) publish() {
	d.t.Helper()
	var engines []*fleet.Host
	for _, p := range d.engines {
		engines = append(engines, &fleet.Host{ID: p.name, Address: p.address})
	}
	text := fleet.Text(engines, []*fleet.Host{{ID: "s1", Address: d.service.address}})
	log := logsvc.NewHTTP(wirehttp.Client(), d.platform.address)
	if _, err := rollout.Publish(context.Background(), log, rollout.Publication{
		ID:   "test",
		Text: []byte(text),
	}); err != nil {
		d.t.Fatal(err)
	}
}

// ready waits until a node serves and knows n nodes.
func (d *deployment) ready(p *process, n int) {
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
	d.t.Fatalf("%s is not ready: %s", p.name, p.text())
}

// result is what a caller got.
type result struct {
	status int
	text   string
	whole  bool
	body   string
	err    error
	took   time.Duration
}

// ask asks a node for a streamed completion.
func ask(address, prompt string, tokens int) result {
	body, _ := json.Marshal(map[string]any{
		"model":      fleet.Model,
		"prompt":     prompt,
		"max_tokens": tokens,
		"stream":     true,
	})
	return call(address, "/v1/completions", string(body), map[string]string{"Linkmast-Deadline": "30s"})
}

func call(address, path, body string, header map[string]string) result {
	start := time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set("Authorization", "Bearer key-desk")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{err: err, took: time.Since(start)}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	r := result{
		status: res.StatusCode,
		body:   string(data),
		err:    err,
		took:   time.Since(start),
	}
	for _, line := range strings.Split(r.body, "\n") {
		event, ok := strings.CutPrefix(line, "data: ")
		switch {
		case event == "[DONE]":
			r.whole = true
		case ok:
			var k struct{ Choices []struct{ Text string } }
			if json.Unmarshal([]byte(event), &k) == nil && len(k.Choices) == 1 {
				r.text += k.Choices[0].Text
			}
		}
	}
	return r
}

// streams opens n streams through each address and returns what they get.
func streams(addresses []string, n, tokens int) func() map[string][]result {
	var all sync.WaitGroup
	var mu sync.Mutex
	out := make(map[string][]result)
	for _, a := range addresses {
		for i := range n {
			all.Go(func() {
				r := ask(a, fmt.Sprintf("%s %d", a, i), tokens)
				if r.whole && r.text != standin.Answer(fmt.Sprintf("%s %d", a, i), tokens) {
					r.err = fmt.Errorf("not its own answer")
				}
				mu.Lock()
				out[a] = append(out[a], r)
				mu.Unlock()
			})
		}
	}
	return func() map[string][]result {
		all.Wait()
		return out
	}
}

// wantWhole fails unless every answer is whole.
func wantWhole(t *testing.T, what string, results []result) {
	t.Helper()
	for _, r := range results {
		if !r.whole || r.err != nil {
			t.Errorf("%s: not whole: status %d, %v, %.200s", what, r.status, r.err, r.body)
		}
	}
}

// held returns the memory held at all engines that answer.
func (d *deployment) held() int64 {
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

func (d *deployment) wantFree(within time.Duration) {
	d.t.Helper()
	until := time.Now().Add(within)
	for d.held() > 0 {
		if time.Now().After(until) {
			d.t.Errorf("%d bytes are still held after %s", d.held(), within)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (d *deployment) addresses() []string {
	var out []string
	for _, p := range d.nodes {
		out = append(out, p.address)
	}
	return out
}

func TestNodeKilled(t *testing.T) {
	d := deploy(t, 3)
	wait := streams(d.addresses(), 4, 400) // 4 s
	time.Sleep(time.Second)
	d.nodes[0].signal(syscall.SIGKILL)
	got := wait()
	for _, p := range d.nodes[1:] {
		wantWhole(t, p.name, got[p.address])
	}
	for _, r := range got[d.nodes[0].address] {
		if r.whole {
			t.Error("a stream of a node that was killed seems whole")
		}
	}
	d.wantFree(15 * time.Second)
	after := streams(d.addresses()[1:], 4, 20)()
	for a, r := range after {
		wantWhole(t, a, r)
	}
}

func TestNodeFrozenAndAwake(t *testing.T) {
	d := deploy(t, 3)
	wait := streams(d.addresses(), 4, 400)
	time.Sleep(time.Second)
	d.nodes[0].signal(syscall.SIGSTOP)
	time.Sleep(500 * time.Millisecond)
	during := streams(d.addresses()[1:], 6, 20)()
	for a, r := range during {
		wantWhole(t, a, r)
	}
	d.wantFree(20 * time.Second)
	d.nodes[0].signal(syscall.SIGCONT)
	got := wait()
	for _, p := range d.nodes[1:] {
		wantWhole(t, p.name, got[p.address])
	}
	for _, r := range got[d.nodes[0].address] {
		if r.whole && r.err != nil {
			t.Error(r.err)
		}
	}
	time.Sleep(2 * time.Second)
	after := streams(d.addresses(), 4, 20)()
	for a, r := range after {
		wantWhole(t, a, r)
	}
	d.wantFree(15 * time.Second)
}

func TestPlannedStop(t *testing.T) {
	for _, c := range []struct {
		name   string
		stops  []int
		outage bool
	}{
		{"one node", []int{0}, false},
		{"two nodes together", []int{0, 1}, false},
		{"during an outage of the platform", []int{0}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, 3)
			wait := streams(d.addresses(), 6, 400)
			time.Sleep(500 * time.Millisecond)
			if c.outage {
				put(t, "http://"+d.platform.address+"/faults", `{"outage":true}`)
			}
			for _, i := range c.stops {
				d.nodes[i].signal(syscall.SIGTERM)
			}
			// The balancer goes on sending for a while.
			time.Sleep(300 * time.Millisecond)
			during := streams(d.addresses(), 4, 100)()
			for a, r := range during {
				wantWhole(t, "sent while stopping "+a, r)
			}
			for a, r := range wait() {
				wantWhole(t, "open while stopping "+a, r)
			}
			for _, i := range c.stops {
				select {
				case err := <-d.nodes[i].exited:
					is.NoErr(err)
				case <-time.After(15 * time.Second):
					t.Errorf("%s does not end: %s", d.nodes[i].name, d.nodes[i].text())
				}
			}
			d.wantFree(10 * time.Second)
		})
	}
}

func TestEngineKilledAndFrozen(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP} {
		t.Run(s.String(), func(t *testing.T) {
			d := deploy(t, 2)
			wait := streams(d.addresses(), 6, 300)
			time.Sleep(time.Second)
			d.engines[0].signal(s)
			whole := 0
			for _, results := range wait() {
				for _, r := range results {
					if r.whole && r.err != nil {
						t.Error(r.err)
					}
					if r.whole {
						whole++
					}
					if !r.whole {
						t.Logf("not whole after %s: %.300s", r.took, r.body[max(0, len(r.body)-300):])
					}
					if !r.whole && r.took > 10*time.Second {
						t.Errorf("failed only after %s: %s", r.took, r.body)
					}
				}
			}
			if whole < 6 {
				t.Errorf("%d of 12 streams were whole; at most those of one engine may be lost", whole)
			}
			after := streams(d.addresses(), 4, 20)()
			for a, r := range after {
				wantWhole(t, a, r)
			}
			d.engines = d.engines[1:]
			d.wantFree(10 * time.Second)
		})
	}
}

func TestPlatformFrozen(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 2)
	key := map[string]string{
		"Idempotency-Key":   "k1",
		"Linkmast-Deadline": "20s",
	}
	first := call(d.nodes[0].address, "/services/lots/bids", `{"bid":1}`, key)
	is.Equal(first.status, http.StatusOK)
	d.platform.signal(syscall.SIGSTOP)
	again := call(d.nodes[1].address, "/services/lots/bids", `{"bid":1}`, key)
	is.True(again.status == http.StatusOK || strings.Contains(again.body, "may_have_run") || strings.Contains(again.body, "not_run"))
	key["Idempotency-Key"] = "k2"
	down := call(d.nodes[1].address, "/services/lots/bids", `{"bid":2}`, key)
	is.Equal(down.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(down.body, `"ran":"not_run"`))
	is.True(down.took < 5*time.Second)
	plain := streams(d.addresses(), 3, 20)()
	for a, r := range plain {
		wantWhole(t, a, r)
	}
	d.platform.signal(syscall.SIGCONT)
	time.Sleep(5 * time.Second)
	later := call(d.nodes[0].address, "/services/lots/bids", `{"bid":2}`, key)
	is.Equal(later.status, http.StatusOK)
}
