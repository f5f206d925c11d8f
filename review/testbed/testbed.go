// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package testbed runs instances of linkmast as processes on loopback addresses, in front of
// stand-ins for the platform's store and the endpoints, for the cases of the review.
package testbed

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// program is the program of an instance, relative to the root of the repository.
const program = "target/linkmast"

// settingsText is the format of an instance's settings file, with the fields that the platform fills
// in and the bounds of a small deployment.
const settingsText = `id = %q
region = "southeast"
failure_domain = %q
listen = %q
ready_listen = %q
peer_listen = %q
peers = [%s]
admin_listen = "127.0.0.1:0"
first_start = true
processor_share = 0.4
link_mbps = 1000.0
[platform]
store = %q
[retries]
ratio = 0.2
extra = 100
window = "10s"
[times]
revoke = "5000ms"
revoke_strict = true
stop_within = "8s"
`

// Instance is one process of linkmast.
type Instance struct {
	// Name is the instance's ID.
	Name string
	// Listen is the address for callers, and Ready that of the readiness check.
	Listen string
	Ready  string
	// Process is the running process.
	Process *os.Process

	settings string
	peer     string
	exited   chan struct{}
}

// Exited returns a channel that is closed when the process has ended.
func (i *Instance) Exited() <-chan struct{} {
	return i.exited
}

// Bed holds the processes and stand-ins of a case.
type Bed struct {
	// Store is the stand-in of the platform's store.
	Store *platformtest.Store
	// Instances are the processes of linkmast.
	Instances []*Instance
	// Record receives what was sent, answered and run.
	Record *Record

	dir     string
	servers []*http.Server
	// port is the port that FreeAddress returned last, less firstPort.
	port int
}

// New returns a bed without instances, whose record is written to a file.
func New(record string) (*Bed, error) {
	dir, err := os.MkdirTemp("", "linkmast-review-")
	if err != nil {
		return nil, errors.Wrap(err, "create temporary folder")
	}
	r, err := newRecord(record)
	if err != nil {
		return nil, err
	}
	return &Bed{
		Store:  platformtest.NewStore(),
		Record: r,
		dir:    dir,
		port:   rand.IntN(ports),
	}, nil
}

// Serve serves a stand-in on a free port and returns its address.
func (b *Bed) Serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Minute,
	}
	b.servers = append(b.servers, s)
	go func() {
		// Serve always returns an error after Close.
		_ = s.Serve(l)
	}()
	return l.Addr().String(), nil
}

// Start starts n instances that use the store at an address, and waits until all are ready.
func (b *Bed) Start(n int, store string) error {
	var peers []string
	for i := range n {
		in := &Instance{
			Name:   fmt.Sprintf("front-%d", i),
			exited: make(chan struct{}),
		}
		for _, into := range []*string{&in.Listen, &in.Ready, &in.peer} {
			address, err := b.FreeAddress()
			if err != nil {
				return err
			}
			*into = address
		}
		peers = append(peers, strconv.Quote(in.peer))
		b.Instances = append(b.Instances, in)
	}
	for i, in := range b.Instances {
		in.settings = filepath.Join(b.dir, in.Name+".toml")
		text := fmt.Sprintf(settingsText, in.Name, domain(i), in.Listen, in.Ready, in.peer, strings.Join(peers, ", "), store)
		if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
			return errors.Wrap(err, "write settings")
		}
		if err := b.launch(in); err != nil {
			return err
		}
	}
	return b.awaitReady()
}

// domain returns the failure domain of instance i.
func domain(i int) string {
	return fmt.Sprintf("hall-%d", i%3)
}

// launch starts the process of an instance as the deploy file does: the settings file is named by the
// environment.
func (b *Bed) launch(in *Instance) error {
	out, err := os.Create(b.logPath(in))
	if err != nil {
		return errors.Wrap(err, "create log")
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "LINKMAST_NODE_FILE="+in.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start instance")
	}
	in.Process = cmd.Process
	go func() {
		// The exit status doesn't matter.
		_ = cmd.Wait()
		_ = out.Close()
		close(in.exited)
	}()
	return nil
}

// startTimeout bounds the time until all instances are ready.
const startTimeout = 15 * time.Second

// awaitReady waits until the readiness checks of all instances succeed.
func (b *Bed) awaitReady() error {
	client := &http.Client{
		Timeout: time.Second,
	}
	until := time.Now().Add(startTimeout)
	for _, in := range b.Instances {
		for !isReady(client, in) {
			if time.Now().After(until) {
				return errors.Errorf("%s is not ready after %s", in.Name, startTimeout)
			}
			select {
			case <-in.exited:
				return errors.Errorf("%s ended before it was ready: %s", in.Name, b.lastLine(in))
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// lastLine returns the last line of an instance's log.
func (b *Bed) lastLine(in *Instance) string {
	text, err := os.ReadFile(b.logPath(in))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// logPath returns the path of an instance's log.
func (b *Bed) logPath(in *Instance) string {
	return filepath.Join(b.dir, in.Name+".log")
}

// isReady makes one readiness check.
func isReady(client *http.Client, in *Instance) bool {
	res, err := client.Get("http://" + in.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// The ports of processes that listen by themselves. They lie below those that the kernel gives to outgoing
// connections (32768 and up on Linux), so no connection takes one between the choice and the start.
const (
	firstPort = 12_000
	ports     = 20_000
)

// FreeAddress returns a loopback address on which nothing listens. It returns each address once.
func (b *Bed) FreeAddress() (string, error) {
	for range ports {
		b.port = (b.port + 1) % ports
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+b.port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address, nil
	}
	return "", errors.New("no port is free")
}

// Close kills the instances, ends the stand-ins and removes the temporary folder.
func (b *Bed) Close() {
	for _, in := range b.Instances {
		if in.Process == nil {
			continue
		}
		// An error means that the process has ended already.
		_ = in.Process.Kill()
		<-in.exited
	}
	for _, s := range b.servers {
		_ = s.Close()
	}
	b.Record.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(b.dir)
	}
}
