// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/tcp/tcptest"
	"github.com/linkmast/linkmast/platform/platformtest"
)

// The size of the deployment, small enough for one machine.
const (
	// engines is how many endpoints are engines, each with a stream to write.
	engines = 6
	// services is how many endpoints are plain.
	services = 3
	// streamEvents is the number of events in a stream: more than a second of
	// them, so that a run that goes on without its caller is seen.
	streamEvents = 60
	// plainWork is the time that a plain endpoint takes for a request.
	plainWork = 10 * time.Millisecond
	// endpointSlots is how many requests an endpoint works on at once.
	endpointSlots = 8
	// domains is how many failure domains there are, each with a third of the endpoints of
	// either service.
	domains = 3
)

// headerTimeout bounds how long the stand-ins wait for the header of a request;
// longer than any fault lasts.
const headerTimeout = time.Minute

// endpoint is a stand-in behind a proxy.
type endpoint struct {
	*platformtest.Endpoint

	service string
	domain  string
	proxy   *tcptest.Proxy
	// born is when its life started; zero until it starts again.
	born time.Time
}

// World is a deployment under test.
type World struct {
	program string
	// strict states that keys which were taken away must be refused in time also by
	// instances that are out of touch.
	strict    bool
	dir       string
	store     *platformtest.Store
	storeAddr string
	processes []*process
	// contacts are where those instances listen for others that all others ask when they
	// start; the first ones.
	contacts  []string
	endpoints []*endpoint
	servers   []*http.Server

	// recovered is when the system must be well again after the last fault.
	recovered time.Time

	mu      sync.Mutex
	version int
	// played are the faults that have begun.
	played []playedStep
	// emptied are the times for which failure domains were emptied.
	emptied []emptying
	// crashing are the exchanges of requests that crash endpoints.
	crashing []Exchange
	// stalls are the times in which the machine had no processor for a process.
	stalls []stall
	// keys are the customer's keys by name, with when each was taken away.
	keys map[string]time.Time
}

// newWorld starts the stand-ins and the given number of instances of a program.
func newWorld(program string, instances int, strict bool) (*World, error) {
	dir, err := os.MkdirTemp("", "linkmast-soak-")
	if err != nil {
		return nil, errors.Wrap(err, "soak")
	}
	w := &World{
		program: program,
		strict:  strict,
		dir:     dir,
		store:   platformtest.NewStore(),
		keys: map[string]time.Time{
			steadyKey: {},
			"k-0":     {},
		},
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
	for range min(instances, contacts) {
		address, err := free()
		if err != nil {
			return nil, err
		}
		w.contacts = append(w.contacts, address)
	}
	for i := range instances {
		if err := w.addProcess(i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// contacts is how many instances the others ask when they start.
const contacts = 3

// serve serves a stand-in on a free address, which it returns.
func (w *World) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "soak")
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
	}
	w.servers = append(w.servers, s)
	go func() {
		// It ends when it is closed.
		_ = s.Serve(l)
	}()
	return l.Addr().String(), nil
}

// addEndpoint starts the endpoint with a number behind a proxy and enters it in
// the store: first the engines, then the plain ones.
func (w *World) addEndpoint(i int) error {
	e := &endpoint{
		Endpoint: &platformtest.Endpoint{
			Instance: fmt.Sprintf("e-%d", i),
			Events:   streamEvents,
			Work:     plainWork,
		},
		service: plainService,
		domain:  domainOf(i),
	}
	if i < engines {
		e.service = engineService
		e.Engine = engineModel()
	}
	address, err := w.serve(e.Endpoint)
	if err != nil {
		return err
	}
	if e.proxy, err = tcptest.NewProxy(address); err != nil {
		return errors.Wrap(err, "soak")
	}
	e.Crash = func([]string) { w.crash(e) }
	e.fail(platformtest.EndpointFaults{})
	w.endpoints = append(w.endpoints, e)
	w.enter(e, false)
	return nil
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

// domainOf names the failure domain of the thing with a number.
func domainOf(i int) string {
	return fmt.Sprintf("d-%d", i%domains)
}

// enter writes an endpoint's entry to the store. Leaving states that it gets no
// new request.
func (w *World) enter(e *endpoint, leaving bool) {
	w.mu.Lock()
	born := e.born
	w.mu.Unlock()
	w.store.PutEndpoint(platformtest.EndpointEntry{
		Instance:  e.Name(),
		Service:   e.service,
		Address:   e.proxy.Address,
		Domain:    e.domain,
		Slots:     endpointSlots,
		Leaving:   leaving,
		StartedAt: born,
	})
}

// logs says where the instances' logs are.
func (w *World) logs() string {
	return "logs in " + strings.TrimSuffix(w.dir, "/")
}
