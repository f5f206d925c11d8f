// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package rig2 starts a small deployment for the cases of the second review: instances as the deploy file
// says, each with a proxy of its own to a stand-in of the platform's store, and endpoints as separate
// processes. It keeps a record of what is sent, answered and run.
package rig2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/internal/tcp/tcptest"
	"github.com/linkmast/linkmast/platform/platformtest"
	"github.com/linkmast/linkmast/route"
)

// The exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitFailed = 2
)

// Names in the configuration.
const (
	Host     = "api.example"
	Key      = "k-1"
	Customer = "customer-1"
	Engines  = "engines"
	Plain    = "plain"
)

// Rig is a running deployment.
type Rig struct {
	// Store is the stand-in of the platform's store.
	Store *platformtest.Store
	// Instances are the instances in the order in which they were started.
	Instances []*Instance
	// Endpoints are the endpoints by name.
	Endpoints map[string]*Endpoint
	// OnLine, if not nil, is called with the time of each line that an endpoint prints.
	OnLine func(endpoint, line string, at time.Time)

	began  time.Time
	dir    string
	server *http.Server
	target string
	// taken has the addresses that were given to instances.
	taken  map[string]bool
	mu     sync.Mutex
	record *os.File
}

// Instance is an instance of the system with its proxy to the store.
type Instance struct {
	// Name is the instance's ID.
	Name string
	// Address is that for callers, and Ready that of the readiness check.
	Address string
	Ready   string
	// Peers is the address for other instances.
	Peers string
	// Process is the operating system's process.
	Process *os.Process
	// StoreProxy lies between the instance and the store.
	StoreProxy *tcptest.Proxy
	// Log is the path of what the instance writes.
	Log string

	settings string
	words    []string
	exited   chan struct{}
}

// Endpoint is an endpoint in a process of its own.
type Endpoint struct {
	// Entry is its entry in the store.
	Entry platformtest.EndpointEntry
	// Process is the operating system's process.
	Process *os.Process

	exited chan struct{}
}

// New starts the store, and writes the record to the named file.
func New(record string) (*Rig, error) {
	r := &Rig{
		Store:     platformtest.NewStore(),
		Endpoints: make(map[string]*Endpoint),
		began:     time.Now(),
		taken:     make(map[string]bool),
	}
	var err error
	if r.record, err = os.Create(record); err != nil {
		return nil, errors.Wrap(err, "record")
	}
	if r.dir, err = os.MkdirTemp("", "linkmast-review-"); err != nil {
		return nil, errors.Wrap(err, "temporary folder")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	r.target = l.Addr().String()
	r.server = &http.Server{
		Handler:           r.Store,
		ReadHeaderTimeout: time.Minute,
	}
	go func() {
		// Serve always returns an error after Close.
		_ = r.server.Serve(l)
	}()
	return r, nil
}

// Recordf adds a line to the record, after the time since the start in seconds.
func (r *Rig) Recordf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// Close ends all processes and removes the temporary folder.
func (r *Rig) Close() {
	for _, i := range r.Instances {
		i.Kill()
		i.StoreProxy.Close()
	}
	for _, e := range r.Endpoints {
		e.Kill()
	}
	// Nothing uses the files any more.
	_ = r.server.Close()
	_ = r.record.Close()
	_ = os.RemoveAll(r.dir)
}

// The range of the ports of instances. It lies below that of outgoing connections, so that nothing takes a port
// before its instance listens.
const (
	firstPort = 20_000
	portCount = 10_000
)

// freeAddress returns an address of a loopback host on which nothing listens, and which it hasn't returned before.
func (r *Rig) freeAddress(ip string) (string, error) {
	for range portCount {
		address := net.JoinHostPort(ip, strconv.Itoa(firstPort+rand.IntN(portCount)))
		if r.taken[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		r.taken[address] = true
		return address, l.Close()
	}
	return "", errors.New("no free port")
}

// deployFile is the part of the deploy file that the rig needs.
type deployFile struct {
	Roles map[string]struct {
		Run      string `toml:"run"`
		Template string `toml:"template"`
	} `toml:"roles"`
}

// StartInstances starts n instances, spread over three failure domains, and waits until all are ready.
func (r *Rig) StartInstances(n int) error {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return errors.Wrap(err, "deploy file")
	}
	var f deployFile
	if err := toml.Unmarshal(data, &f); err != nil {
		return errors.Wrap(err, "deploy file")
	}
	role := f.Roles["node"]
	template, err := os.ReadFile(role.Template)
	if err != nil {
		return errors.Wrap(err, "template")
	}
	seed := ""
	for i := range n {
		p := &Instance{
			Name:  fmt.Sprintf("front-%d", i),
			words: strings.Fields(role.Run),
		}
		if err := r.prepare(p, string(template), i, &seed); err != nil {
			return err
		}
		r.Instances = append(r.Instances, p)
	}
	for _, p := range r.Instances {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range r.Instances {
		if !p.AwaitReady(20 * time.Second) {
			return errors.Errorf("%s is not ready", p.Name)
		}
	}
	return nil
}

// prepare writes the settings of instance i. Seed is the address for other instances of the first one.
func (r *Rig) prepare(p *Instance, template string, i int, seed *string) error {
	var err error
	if p.StoreProxy, err = tcptest.NewProxy(r.target); err != nil {
		return errors.Wrap(err, "proxy")
	}
	ip := fmt.Sprintf("127.0.0.%d", 10+i)
	for _, into := range []*string{&p.Address, &p.Ready, &p.Peers} {
		if *into, err = r.freeAddress(ip); err != nil {
			return err
		}
	}
	if *seed == "" {
		*seed = p.Peers
	}
	fields := platformtest.SettingsFields(ip, p.StoreProxy.Address, *seed)
	fields["node_name"] = p.Name
	for name, value := range fields {
		if value == defaultDomain {
			fields[name] = fmt.Sprintf("domain-%d", i%3)
		}
	}
	fields["listen.front"], fields["listen.ready"], fields["listen.control"] = p.Address, p.Ready, p.Peers
	text, err := platformtest.RenderSettings(template, fields)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	p.settings = filepath.Join(r.dir, p.Name+".toml")
	p.Log = filepath.Join(r.dir, p.Name+".log")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	return nil
}

// defaultDomain is the failure domain that platformtest.SettingsFields gives.
const defaultDomain = "domain-1"

// start starts the program.
func (p *Instance) start() error {
	out, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.words[0], p.words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LINKMAST_NODE_FILE=" + p.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start instance")
	}
	p.Process = cmd.Process
	p.exited = make(chan struct{})
	go func(done chan struct{}) {
		// The status doesn't matter.
		_ = cmd.Wait()
		close(done)
	}(p.exited)
	return nil
}

// Kill kills the process and waits for its end.
func (p *Instance) Kill() {
	if p.Process == nil {
		return
	}
	// The process may have ended already.
	_ = p.Process.Kill()
	<-p.exited
}

// AwaitReady waits until the instance says that it is ready.
func (p *Instance) AwaitReady(within time.Duration) bool {
	client := &http.Client{
		Timeout: time.Second,
	}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + p.Ready + "/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Upstreams returns the instance that each instance follows by its log; those that follow none are missing.
func (r *Rig) Upstreams() (map[string]string, error) {
	out := make(map[string]string)
	for _, p := range r.Instances {
		data, err := os.ReadFile(p.Log)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		for line := range strings.Lines(string(data)) {
			var l struct {
				Msg  string
				Peer string
			}
			if err := json.Unmarshal([]byte(line), &l); err != nil {
				continue
			}
			switch l.Msg {
			case "follows":
				out[p.Name] = l.Peer
			case "no longer follows":
				delete(out, p.Name)
			}
		}
	}
	return out, nil
}

// EndpointOptions says how an endpoint behaves.
type EndpointOptions struct {
	Service string
	Domain  string
	// Arguments are further arguments of the program.
	Arguments []string
}

// endpointSlots is the number of slots of an endpoint.
const endpointSlots = 16

// StartEndpoint starts an endpoint and writes its entry.
func (r *Rig) StartEndpoint(name string, o EndpointOptions) error {
	args := append([]string{"--name", name, "--service", o.Service}, o.Arguments...)
	cmd := exec.Command("target/review-2/replica", args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "endpoint")
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "endpoint")
	}
	in := bufio.NewReader(out)
	address, err := in.ReadString('\n')
	if err != nil {
		return errors.Wrap(err, "endpoint's address")
	}
	e := &Endpoint{
		Entry: platformtest.EndpointEntry{
			Instance: name,
			Service:  o.Service,
			Address:  strings.TrimSpace(address),
			Domain:   o.Domain,
			Slots:    endpointSlots,
		},
		Process: cmd.Process,
		exited:  make(chan struct{}),
	}
	go func() {
		defer close(e.exited)
		lines := bufio.NewScanner(in)
		for lines.Scan() {
			r.Recordf("%s %s", name, lines.Text())
			if r.OnLine != nil {
				r.OnLine(name, lines.Text(), time.Now())
			}
		}
		// The status doesn't matter.
		_ = cmd.Wait()
	}()
	r.Endpoints[name] = e
	r.Store.PutEndpoint(e.Entry)
	return nil
}

// Kill kills the process and waits for its end.
func (e *Endpoint) Kill() {
	// The process may have ended already.
	_ = e.Process.Signal(syscall.SIGKILL)
	<-e.exited
}

// Model is the cost model of the engines: an event takes 60 ms.
func Model() *batch.Model {
	return &batch.Model{
		Slots:            endpointSlots,
		Capacity:         232_000,
		StepsPerPass:     43,
		Step:             1400 * time.Microsecond,
		PrefillPerSecond: 206_000,
	}
}

// Route returns a route with the values of a small deployment.
func Route(prefix string, kind route.Kind, service string, resumable bool) route.Route {
	return route.Route{
		Name:   prefix,
		Host:   Host,
		Prefix: prefix,
		Kind:   kind,
		Shares: []route.Share{{
			Service: service,
			Weight:  1,
		}},
		Timeout:     10 * time.Second,
		Target:      300 * time.Millisecond,
		GapTarget:   250 * time.Millisecond,
		MaxAttempts: 2,
		Resumable:   resumable,
	}
}

// Publish writes the configuration with the given routes.
func (r *Rig) Publish(version int, routes ...route.Route) {
	r.Store.Publish(version, routes, map[string]*batch.Model{
		Engines: Model(),
		Plain:   nil,
	}, 4<<20, []route.Customer{{
		ID:   Customer,
		Keys: []string{Key},
	}})
}

// Answer is what a caller received.
type Answer struct {
	// Status is zero without an answer.
	Status int
	Body   string
	// Complete is set if the answer ended as its framing says.
	Complete bool
	// Signed is set if the answer carries an endpoint's proof of origin.
	Signed bool
	Err    error
}

// Send sends a request on a new connection and reads the answer.
func (r *Rig) Send(p *Instance, method, path, id string, wait time.Duration, prompt int) Answer {
	req, err := http.NewRequest(method, "http://"+p.Address+path, nil)
	if err != nil {
		return Answer{
			Err: err,
		}
	}
	req.Host = Host
	platformtest.Caller{
		ID:     id,
		Key:    Key,
		Wait:   wait,
		Prompt: prompt,
		Output: 200,
	}.Set(req.Header)
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
		Timeout: wait,
	}
	r.Recordf("caller sends %s %s %s to %s", id, method, path, p.Name)
	res, err := client.Do(req)
	if err != nil {
		r.Recordf("caller of %s gets no answer: %v", id, err)
		return Answer{
			Err: err,
		}
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	a := Answer{
		Status:   res.StatusCode,
		Body:     string(data),
		Complete: err == nil,
		Signed:   platformtest.Signed(res.Header),
		Err:      err,
	}
	r.Recordf("caller of %s gets %d, %d bytes, complete %t, signed %t, error %v", id, a.Status, len(data), a.Complete, a.Signed, err)
	return a
}

// Events returns the stream of n events that answers a request.
func Events(id string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(platformtest.Event(id, i+1))
	}
	return b.String()
}
