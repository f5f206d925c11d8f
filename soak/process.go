// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
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

// process is one instance of the system. The operating system process changes with each
// restart.
type process struct {
	name string
	// listen is the address for callers, ready that of the readiness check, and peers that for other
	// instances.
	listen string
	ready  string
	peers  string
	// settings is the path of the instance's settings file, and settingsText its content.
	settings     string
	settingsText string
	// source is the IP address from which the instance connects to endpoints.
	source string
	// store is the proxy between the instance and the store.
	store *tcptest.Proxy

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// unexpectedExits lists the exits that the schedule did not cause, and failed restarts.
	unexpectedExits []string
	// exitExpected is true if the running process was sent a signal that ends it.
	exitExpected bool
	// starting is true if a call of restart is about to start the instance again.
	starting bool
	// failedStops lists the exits with another status than zero after a signal.
	failedStops []string
	// peakMemory is the largest resident memory of the processes that have exited, in KB.
	peakMemory int64
}

// Time limits in the settings of instances.
const (
	// revoke bounds the time until revoked keys are refused.
	revoke = 2 * time.Second
	// grace bounds the duration of a planned stop.
	grace = 6 * time.Second
)

// memoryMB is the memory that an instance may use, in 10^6 bytes.
const memoryMB = 284

// readyTimeout bounds a readiness check, since a frozen process does not respond.
const readyTimeout = 300 * time.Millisecond

// settingsFormat is the format of an instance's settings file.
const settingsFormat = `end_marker = true
id = %q
region = "r"
failure_domain = %q
listen = %q
ready_listen = %q
peer_listen = %q
admin_listen = "127.0.0.1:0"
peers = [%s]
endpoint_source = %q
memory_mb = %d
[platform]
store = %q
[retries]
ratio = %g
extra = %d
window = "%s"
[times]
revoke = "%s"
revoke_strict = %t
stop_within = "%s"
[end]
`

// sourceOf returns the IP address of the connections to endpoints of instance i, a loopback address
// of its own, so that the proxies can distinguish the instances.
func sourceOf(i int) string {
	const perByte = 250
	return fmt.Sprintf("127.0.%d.%d", 1+i/perByte, 1+i%perByte)
}

// addProcess writes the settings of instance i and starts it, with a proxy to the store.
func (d *Deployment) addProcess(i int) error {
	p := &process{
		name:   fmt.Sprintf("n-%d", i),
		source: sourceOf(i),
	}
	var err error
	if p.store, err = tcptest.NewProxy(d.storeAddr); err != nil {
		return errors.Wrap(err, "start proxy to the store")
	}
	own := ""
	for _, into := range []*string{&p.listen, &p.ready, &own} {
		if *into, err = d.ports.address(); err != nil {
			return err
		}
	}
	if i < len(d.seedAddresses) {
		own = d.seedAddresses[i]
	}
	p.peers = own
	p.settings = filepath.Join(d.dir, p.name+".toml")
	p.settingsText = fmt.Sprintf(settingsFormat, p.name, domainOf(i), p.listen, p.ready, own, quoted(d.seedAddresses), p.source, memoryMB, p.store.Address,
		d.budget.ratio, d.budget.extra, d.budget.window, revoke, d.strict, grace)
	if err := os.WriteFile(p.settings, []byte(p.settingsText), settingsMode); err != nil {
		return errors.Wrap(err, "write settings of an instance")
	}
	d.processes = append(d.processes, p)
	return d.start(p)
}

// quoted formats texts as the elements of a TOML array.
func quoted(texts []string) string {
	var out []string
	for _, t := range texts {
		out = append(out, strconv.Quote(t))
	}
	return strings.Join(out, ", ")
}

// openLog opens the log of an instance.
func (d *Deployment) openLog(p *process) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log of an instance")
	}
	return f, nil
}

// start starts the program of an instance and appends its output to the instance's log.
func (d *Deployment) start(p *process) error {
	out, err := d.openLog(p)
	if err != nil {
		return err
	}
	return d.startWith(p, out)
}

// startWith starts the program of an instance with the given standard output, which it closes when the
// program has exited. The standard error is appended to the instance's log.
func (d *Deployment) startWith(p *process, stdout *os.File) error {
	out, err := d.openLog(p)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(d.program, "--settings", p.settings)
	cmd.Stdout, cmd.Stderr = stdout, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start instance")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
	p.exitExpected = false
	p.starting = false
	p.exited = make(chan struct{})
	go p.wait(cmd, stdout, p.exited)
	return nil
}

// claimStart reports whether the caller may start the instance after the exit that closed the
// channel exited. Only one caller per exit may.
func (p *process) claimStart(exited <-chan struct{}) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited != exited || p.starting {
		return false
	}
	p.starting = true
	return true
}

// wait waits for a process to exit, counts an unexpected exit and closes exited.
func (p *process) wait(cmd *exec.Cmd, out *os.File, exited chan struct{}) {
	// The exit status does not matter; exitExpected tells whether the exit is a fault.
	_ = cmd.Wait()
	_ = out.Close()
	p.mu.Lock()
	switch {
	case !p.exitExpected:
		p.unexpectedExits = append(p.unexpectedExits, describeExit(cmd))
	case cmd.ProcessState.ExitCode() > 0:
		p.failedStops = append(p.failedStops, describeExit(cmd))
	}
	if usage, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		p.peakMemory = max(p.peakMemory, usage.Maxrss)
	}
	p.mu.Unlock()
	close(exited)
}

// describeExit returns when and how a process has exited.
func describeExit(cmd *exec.Cmd) string {
	return fmt.Sprintf("%s: %s, process %d", time.Now().Format("15:04:05.000"), cmd.ProcessState, cmd.ProcessState.Pid())
}

// kill kills the current process and returns the channel that is closed when it has exited.
func (p *process) kill() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = true
	// An error means that the process has exited already.
	_ = p.cmd.Process.Kill()
	return p.exited
}

// current returns the current process and the channel that is closed when it has exited.
func (p *process) current() (*os.Process, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process, p.exited
}

// signal sends a signal to the current process. With endsProcess, an exit of the process is
// expected from then on.
func (p *process) signal(s syscall.Signal, endsProcess bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = p.exitExpected || endsProcess
	// An error means that the process has exited already.
	_ = p.cmd.Process.Signal(s)
}

// pid returns the process ID of the current process.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// done returns a channel that is closed when the current process has exited.
func (p *process) done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// readyCount returns the number of instances whose readiness check succeeds.
func (d *Deployment) readyCount() int {
	client := &http.Client{
		Timeout: readyTimeout,
	}
	n := 0
	for _, p := range d.processes {
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
