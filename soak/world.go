// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/platform/platformtest"
	"github.com/linkmast/linkmast/route"
)

// The measures of the deployment.
const (
	// revoke is how soon keys that were taken away must be refused.
	revoke = 2 * time.Second
	// grace is how long a planned stop may take.
	grace = 6 * time.Second
	// engines and services are the endpoints.
	engines  = 6
	services = 3
	// streamEvents is the length of streams.
	streamEvents = 12
)

// process is one instance of the system.
type process struct {
	name     string
	listen   string
	ready    string
	settings string
	// store is the proxy between the instance and the store.
	store *Proxy

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
	// ended counts ends that nobody asked for.
	ended int
	// wanted states that the process was told to end.
	wanted bool
}

// endpoint is a stand-in behind a proxy.
type endpoint struct {
	*platformtest.Endpoint

	service string
	proxy   *Proxy
}

// World is a deployment under test.
type World struct {
	program   string
	dir       string
	store     *platformtest.Store
	storeAddr string
	processes []*process
	endpoints []*endpoint
	servers   []*http.Server

	mu      sync.Mutex
	version int
	// keys are the customer's keys by name, with when each was taken away.
	keys map[string]time.Time
}

// newWorld starts the stand-ins and the given number of instances of a program.
func newWorld(program string, instances int) (*World, error) {
	dir, err := os.MkdirTemp("", "linkmast-soak-")
	if err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	w := &World{
		program: program,
		dir:     dir,
		store:   platformtest.NewStore(),
		keys:    map[string]time.Time{steadyKey: {}, "k-0": {}},
	}
	if w.storeAddr, err = w.serve(w.store); err != nil {
		return nil, err
	}
	w.publish()
	for i := range engines + services {
		if err := w.addEndpoint(i); err != nil {
			return nil, err
		}
	}
	for i := range instances {
		if err := w.addProcess(i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// steadyKey is a key that is never taken away.
const steadyKey = "k-steady"

func (w *World) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "soak")
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Minute,
	}
	w.servers = append(w.servers, s)
	go func() {
		// It ends when it is closed.
		_ = s.Serve(l)
	}()
	return l.Addr().String(), nil
}

func (w *World) addEndpoint(i int) error {
	e := &endpoint{
		Endpoint: &platformtest.Endpoint{
			Instance: fmt.Sprintf("e-%d", i),
			Events:   streamEvents,
			Work:     10 * time.Millisecond,
		},
		service: "plain",
	}
	if i < engines {
		e.service = "engines"
		e.Engine = engineModel()
	}
	address, err := w.serve(e.Endpoint)
	if err != nil {
		return err
	}
	if e.proxy, err = NewProxy(address); err != nil {
		return errors.Wrap(err, "soak")
	}
	w.endpoints = append(w.endpoints, e)
	w.store.Enter(e.Instance, e.service, e.proxy.Address, "d", 8, false)
	return nil
}

func engineModel() *batch.Model {
	return &batch.Model{
		Slots:         8,
		Capacity:      200_000,
		Stride:        20,
		Step:          time.Millisecond,
		ReadPerSecond: 1e6,
	}
}

// publish writes the next version of the configuration.
func (w *World) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	var keys []string
	for k, gone := range w.keys {
		if gone.IsZero() {
			keys = append(keys, k)
		}
	}
	w.store.Publish(w.version, []route.Route{
		routeOf("/stream/", route.Streaming, "engines", true),
		routeOf("/once/", route.Streaming, "engines", false),
		routeOf("/safe/", route.Safe, "plain", false),
		routeOf("/unsafe/", route.Unsafe, "plain", false),
	}, map[string]*batch.Model{
		"engines": engineModel(),
		"plain":   nil,
	}, 1<<20, []route.Customer{{
		ID:   "c1",
		Keys: keys,
	}})
}

// The time that requests have, and their targets.
const (
	requestTimeout = 5 * time.Second
	requestTarget  = 500 * time.Millisecond
	requestGap     = 300 * time.Millisecond
)

func routeOf(prefix string, kind route.Kind, service string, resumable bool) route.Route {
	return route.Route{
		Name:   prefix,
		Host:   host,
		Prefix: prefix,
		Kind:   kind,
		Shares: []route.Share{{
			Service: service,
			Weight:  1,
		}},
		Timeout:     requestTimeout,
		Target:      requestTarget,
		GapTarget:   requestGap,
		MaxAttempts: 2,
		Resumable:   resumable,
	}
}

// host is the host of all routes.
const host = "api.example"

// takeAway takes a key away and gives another one.
func (w *World) takeAway() {
	w.mu.Lock()
	for k, gone := range w.keys {
		if gone.IsZero() && k != steadyKey {
			w.keys[k] = time.Now()
		}
	}
	w.keys[fmt.Sprintf("k-%d", len(w.keys))] = time.Time{}
	w.mu.Unlock()
	w.publish()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for k, gone := range w.keys {
		// The bound counts from when the store has the new version.
		if !gone.IsZero() && now.Sub(gone) < time.Second {
			w.keys[k] = now
		}
	}
}

// key returns a key that holds now.
func (w *World) key() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, gone := range w.keys {
		if gone.IsZero() && k != steadyKey {
			return k
		}
	}
	return steadyKey
}

const settingsText = `id = %q
region = "r"
failure_domain = "d"
listen = %q
ready_listen = %q
peer_listen = %q
admin_listen = "127.0.0.1:0"
[platform]
store = %q
[retries]
ratio = 0.5
extra = 200
[times]
revoke = "%s"
stop_within = "%s"
`

// free returns an address that nobody listens on.
func free() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "soak")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func (w *World) addProcess(i int) error {
	p := &process{
		name: fmt.Sprintf("n-%d", i),
	}
	var err error
	if p.store, err = NewProxy(w.storeAddr); err != nil {
		return errors.Wrap(err, "soak")
	}
	peers := ""
	for _, into := range []*string{&p.listen, &p.ready, &peers} {
		if *into, err = free(); err != nil {
			return err
		}
	}
	p.settings = filepath.Join(w.dir, p.name+".toml")
	text := fmt.Sprintf(settingsText, p.name, p.listen, p.ready, peers, p.store.Address, revoke, grace)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "soak")
	}
	w.processes = append(w.processes, p)
	return w.start(p)
}

// start starts an instance.
func (w *World) start(p *process) error {
	out, err := os.OpenFile(filepath.Join(w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "soak")
	}
	cmd := exec.Command(w.program, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "soak")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
	p.wanted = false
	p.exited = make(chan struct{})
	go p.wait(cmd, out, p.exited)
	return nil
}

// wait notes the end of a process.
func (p *process) wait(cmd *exec.Cmd, out *os.File, exited chan struct{}) {
	// How it ended is told by whether somebody wanted it.
	_ = cmd.Wait()
	_ = out.Close()
	p.mu.Lock()
	if !p.wanted {
		p.ended++
	}
	p.mu.Unlock()
	close(exited)
}

// signal sends a signal to the process that was started last, by its id. Ends
// states that it is to end by it.
func (p *process) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = p.wanted || ends
	p.stopped = s == syscall.SIGSTOP
	// A process that has ended already needs none.
	_ = p.cmd.Process.Signal(s)
}

// gone returns what is closed when the process has ended.
func (p *process) gone() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// close ends everything.
func (w *World) close() {
	for _, p := range w.processes {
		p.signal(syscall.SIGCONT, false)
		p.signal(syscall.SIGKILL, true)
		<-p.gone()
		p.store.Close()
	}
	for _, e := range w.endpoints {
		e.proxy.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// readyCount returns how many instances say that they are ready.
func (w *World) readyCount() int {
	client := &http.Client{
		Timeout: 300 * time.Millisecond,
	}
	n := 0
	for _, p := range w.processes {
		res, err := client.Get("http://" + p.ready + "/")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			n++
		}
	}
	return n
}

// logs returns the ends of the instances' logs.
func (w *World) logs() string {
	return "logs in " + strings.TrimSuffix(w.dir, "/")
}
