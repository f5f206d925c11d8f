// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
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

	"github.com/linkmast/linkmast/internal/tcp/tcptest"
)

// process is one instance of the system.
type process struct {
	name string
	// listen is where callers connect, and ready where it says whether it is
	// ready.
	listen string
	ready  string
	// settings is the path of its settings file.
	settings string
	// store is the proxy between the instance and the store.
	store *tcptest.Proxy

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// unexpectedExits counts ends that nobody asked for.
	unexpectedExits int
	// exitExpected states that the process was told to end.
	exitExpected bool
	// starting states that somebody starts the instance again.
	starting bool
}

// The times that instances are set to.
const (
	// revoke is how soon keys that were taken away must be refused.
	revoke = 2 * time.Second
	// grace is how long a planned stop may take.
	grace = 6 * time.Second
)

// readyTimeout bounds the question whether an instance is ready; one that is
// frozen does not answer.
const readyTimeout = 300 * time.Millisecond

// settingsText is the settings file of an instance, without its figures.
const settingsText = `id = %q
region = "r"
failure_domain = %q
listen = %q
ready_listen = %q
peer_listen = %q
admin_listen = "127.0.0.1:0"
peers = [%s]
[platform]
store = %q
[retries]
ratio = 0.5
extra = 200
[times]
revoke = "%s"
revoke_strict = %t
stop_within = "%s"
`

// The ports that instances listen on lie below those that the kernel gives to sockets
// without one, so that no other socket takes one between its choice and its use.
const (
	firstPort = 20_000
	portCount = 10_000
)

// nextPort is the next port to try, as its distance from firstPort. Processes that run at
// once begin at different ones.
var nextPort = os.Getpid() * 97

// freeAddress returns an address that nobody listens on. It is for one goroutine.
func freeAddress() (string, error) {
	for range portCount {
		nextPort = (nextPort + 1) % portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String(), nil
	}
	return "", errors.New("soak: no free port")
}

// addProcess starts the instance with a number, behind a proxy to the store.
func (w *World) addProcess(i int) error {
	p := &process{
		name: fmt.Sprintf("n-%d", i),
	}
	var err error
	if p.store, err = tcptest.NewProxy(w.storeAddr); err != nil {
		return errors.Wrap(err, "soak")
	}
	own := ""
	for _, into := range []*string{&p.listen, &p.ready, &own} {
		if *into, err = freeAddress(); err != nil {
			return err
		}
	}
	if i < len(w.contactAddresses) {
		own = w.contactAddresses[i]
	}
	p.settings = filepath.Join(w.dir, p.name+".toml")
	text := fmt.Sprintf(settingsText, p.name, domainOf(i), p.listen, p.ready, own, quoted(w.contactAddresses), p.store.Address, revoke, w.strict, grace)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "soak")
	}
	w.processes = append(w.processes, p)
	return w.start(p)
}

// quoted returns texts as a list in settings.
func quoted(texts []string) string {
	var out []string
	for _, t := range texts {
		out = append(out, strconv.Quote(t))
	}
	return strings.Join(out, ", ")
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
	p.exitExpected = false
	p.starting = false
	p.exited = make(chan struct{})
	go p.wait(cmd, out, p.exited)
	return nil
}

// claimStart states whether the caller starts the instance again after an end: only
// one of those that waited for it does.
func (p *process) claimStart(gone <-chan struct{}) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited != gone || p.starting {
		return false
	}
	p.starting = true
	return true
}

// wait notes the end of a process.
func (p *process) wait(cmd *exec.Cmd, out *os.File, exited chan struct{}) {
	// How it ended is told by whether somebody wanted it.
	_ = cmd.Wait()
	_ = out.Close()
	p.mu.Lock()
	if !p.exitExpected {
		p.unexpectedExits++
	}
	p.mu.Unlock()
	close(exited)
}

// signal sends a signal to the process that was started last, by its id. Ends
// states that it is to end by it.
func (p *process) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = p.exitExpected || ends
	// A process that has ended already needs none.
	_ = p.cmd.Process.Signal(s)
}

// pid returns the id of the process that was started last.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// done returns what is closed when the process has ended.
func (p *process) done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// readyCount returns how many instances say that they are ready.
func (w *World) readyCount() int {
	client := &http.Client{
		Timeout: readyTimeout,
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
