// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/platform/platformtest"
	"github.com/linkmast/linkmast/route"
)

// platformStore is a store with a configuration and a plain endpoint.
type platformStore struct {
	*platformtest.Store

	t       *testing.T
	address string
}

// host is an address of the loopback network that stands for a machine of its own, with the ports that a
// platform assigns.
type host struct {
	ip    string
	store string
	// seed is the address of another instance that an instance contacts when it starts; if it is empty,
	// its own.
	seed string
}

// hosts counts the hosts of the test process.
var hosts atomic.Int32

// newHost returns a host that no other test uses, and the address of a store for it.
func newHost(t *testing.T, store string) *host {
	t.Helper()
	pid := os.Getpid()
	return &host{
		ip:    fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, 1+hosts.Add(1)),
		store: store,
	}
}

// fields returns the values with which the platform fills the template of the settings.
func (h *host) fields() map[string]string {
	return platformtest.SettingsFields(h.ip, h.store, cmp.Or(h.seed, h.addresses()["peers"]))
}

// addresses returns the addresses that an instance on the host listens on.
func (h *host) addresses() map[string]string {
	return map[string]string{
		"callers": h.ip + platformtest.PortCallers,
		"ready":   h.ip + platformtest.PortReady,
		"peers":   h.ip + platformtest.PortPeers,
		"admin":   h.ip + ":9464",
	}
}

// settings returns the deployment's settings of an instance on the host.
func (h *host) settings(t *testing.T) string {
	t.Helper()
	return render(t, h.fields())
}

// render fills the template of the deployment's settings.
func render(t *testing.T, fields map[string]string) string {
	t.Helper()
	template, err := os.ReadFile("../../deploy/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	text, err := platformtest.RenderSettings(string(template), fields)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// startStore starts a store and returns its address.
func startStore(t *testing.T) string {
	t.Helper()
	return newStore(t).address
}

// newStore starts a store.
func newStore(t *testing.T) *platformStore {
	t.Helper()
	s := &platformStore{
		Store: platformtest.NewStore(),
		t:     t,
	}
	s.publish(1)
	s.addEndpoint("p1", "plain")
	s.address = serveHTTP(t, s)
	return s
}

// publish writes a version of the configuration. Each version has a route and a service of its own, besides
// those for lookups.
func (s *platformStore) publish(version int) {
	lookup := route.Route{
		Name:        "lookup",
		Host:        "api.example",
		Prefix:      "/lookup/",
		Kind:        route.Safe,
		Shares:      []route.Share{{Service: "plain", Weight: 1}},
		Timeout:     2 * time.Second,
		Target:      300 * time.Millisecond,
		MaxAttempts: 2,
		Public:      true,
	}
	own := lookup
	own.Name = fmt.Sprintf("version-%d", version)
	own.Prefix = fmt.Sprintf("/version/%d/", version)
	own.Shares = []route.Share{{Service: own.Name, Weight: 1}}
	s.Publish(version, []route.Route{lookup, own}, map[string]*batch.Model{"plain": nil, own.Name: nil}, 4<<20, nil)
}

// addEndpoint starts a plain endpoint and writes its entry.
func (s *platformStore) addEndpoint(name, service string) {
	s.t.Helper()
	s.PutEndpoint(platformtest.EndpointEntry{
		Instance: name,
		Service:  service,
		Address:  serveHTTP(s.t, &platformtest.Endpoint{Instance: name, Work: 5 * time.Millisecond}),
		Domain:   "domain-1",
		Slots:    6,
	})
}

// serveHTTP serves a handler on a free port until the test ends, and returns its address.
func serveHTTP(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// program is a running instance.
type program struct {
	t    *testing.T
	host *host
	cmd  *exec.Cmd
	// out is the end of the pipe that reads the standard output.
	out    *os.File
	exited chan struct{}

	mu  sync.Mutex
	log bytes.Buffer
}

// startProgram starts an instance with a settings file. It doesn't wait until the instance is ready.
func startProgram(t *testing.T, h *host, settings string) *program {
	t.Helper()
	p := startUnread(t, h, settings)
	go io.Copy(p, p.out)
	return p
}

// startUnread starts an instance whose standard output nobody reads.
func startUnread(t *testing.T, h *host, settings string) *program {
	t.Helper()
	return startCommand(t, h, exec.Command(binary(t), "--settings", settings))
}

// binary returns the path of the program.
func binary(t *testing.T) string {
	t.Helper()
	bin, err := build()
	if err != nil {
		t.Fatal(err)
	}
	return filepath.Join(bin, "linkmast")
}

// startCommand starts a command that runs an instance. Nobody reads its standard output.
func startCommand(t *testing.T, h *host, cmd *exec.Cmd) *program {
	t.Helper()
	p := &program{
		t:      t,
		host:   h,
		cmd:    cmd,
		exited: make(chan struct{}),
	}
	out, in, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.out = out
	p.cmd.Stdout = in
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	in.Close()
	go func() {
		p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		<-p.exited
		out.Close()
	})
	return p
}

// startOn writes the settings of an instance on a host and starts it.
func startOn(t *testing.T, h *host) *program {
	t.Helper()
	return startProgram(t, h, writeSettings(t, h.settings(t)))
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Write implements io.Writer. It stores output of the instance.
func (p *program) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// output returns the output so far.
func (p *program) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// readyWithin bounds the time until an instance with a store is ready.
const readyWithin = 10 * time.Second

// isReady reports whether the readiness check succeeds.
func (p *program) isReady() bool {
	c := &http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + p.host.addresses()["ready"] + "/")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// await waits for a condition and fails the test if it isn't met in time or the instance exits.
func (p *program) await(what string, met func() bool) {
	p.t.Helper()
	for end := time.Now().Add(readyWithin); !met(); time.Sleep(5 * time.Millisecond) {
		select {
		case <-p.exited:
			p.t.Fatalf("%s: the instance exited: %v\n%s", what, p.cmd.ProcessState, p.output())
		default:
		}
		if time.Now().After(end) {
			p.t.Fatalf("%s: not within %s\n%s", what, readyWithin, p.output())
		}
	}
}

// wantServing fails the test unless the instance becomes ready and answers a request.
func (p *program) wantServing() {
	p.t.Helper()
	p.await("ready", p.isReady)
	p.await("request served", func() bool { return p.lookup() == http.StatusOK })
}

// lookup sends a request to the instance and returns the status, or zero without an answer.
func (p *program) lookup() int {
	return p.get("/lookup/1")
}

// get sends a request for a path to the instance and returns the status, or zero without an answer.
func (p *program) get(path string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.host.addresses()["callers"]+path, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	req.Host = "api.example"
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// stopWithin is the time limit for a planned stop in the settings.
const stopWithin = 8 * time.Second

// wantStops stops the instance and fails the test unless it exits in time with status 0.
func (p *program) wantStops() {
	p.t.Helper()
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.wantExit(exitOK, stopWithin)
}

// wantExit fails the test unless the instance exits with a status in the given time.
func (p *program) wantExit(status int, within time.Duration) {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(within):
		p.t.Fatalf("the instance still runs after %s\n%s", within, p.output())
	}
	if got := p.cmd.ProcessState.ExitCode(); got != status {
		p.t.Errorf("the instance ended with %v, want status %d\n%s", p.cmd.ProcessState, status, p.output())
	}
}

// wantLine fails the test unless the log has a line with the message.
func (p *program) wantLine(message string) {
	p.t.Helper()
	p.await("line \""+message+"\"", func() bool { return p.hasLine(message) })
}

// hasLine reports whether the log has a line with the message.
func (p *program) hasLine(message string) bool {
	return p.hasMessage(func(m string) bool { return m == message })
}

// hasLineWith reports whether the log has a line whose message contains the text.
func (p *program) hasLineWith(text string) bool {
	return p.hasMessage(func(m string) bool { return strings.Contains(m, text) })
}

// hasMessage reports whether the log has a line with a message that matches.
func (p *program) hasMessage(matches func(string) bool) bool {
	for _, line := range strings.Split(p.output(), "\n") {
		var l struct{ Msg string }
		if json.Unmarshal([]byte(line), &l) == nil && matches(l.Msg) {
			return true
		}
	}
	return false
}

// hasMetrics reports whether the instance serves its metrics.
func (p *program) hasMetrics() bool {
	res, err := http.Get("http://" + p.host.addresses()["admin"] + "/metrics")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}
