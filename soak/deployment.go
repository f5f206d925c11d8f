// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/internal/tcp/tcptest"
	"github.com/linkmast/linkmast/platform/platformtest"
)

// Size of the deployment, small enough for one host.
const (
	// engines is the number of endpoints that are engines, which answer with streams.
	engines = 6
	// services is the number of endpoints of the plain service.
	services = 3
	// streamEvents is the number of events of a stream. Streams take more than a second, so
	// that a run that outlasts its caller is detected.
	streamEvents = 60
	// plainWork is how long a plain endpoint takes for a request.
	plainWork = 10 * time.Millisecond
	// endpointSlots is the number of slots of an endpoint.
	endpointSlots = 8
	// domains is the number of failure domains. Each holds a third of the endpoints of each
	// service.
	domains = 3
)

// headerTimeout bounds how long the stand-ins wait for the header of a request. It is longer
// than any fault of a schedule.
const headerTimeout = time.Minute

// endpoint is a stand-in of an endpoint behind a proxy.
type endpoint struct {
	*platformtest.Endpoint

	service string
	domain  string
	proxy   *tcptest.Proxy
	// startedAt is when the endpoint last restarted without getting a new name; zero if it never
	// has.
	startedAt time.Time
	// down reports whether the endpoint has crashed and not restarted yet.
	down bool
}

// Deployment holds the processes under test, the stand-ins around them, and the records of a run.
type Deployment struct {
	program string
	// strict is true if instances out of touch with the store must refuse revoked keys in
	// time, too.
	strict bool
	// budget is the retry budget of the instances.
	budget retryBudget
	// namesParts is set if callers name the parts of their prompts.
	namesParts bool
	dir        string
	store      *platformtest.Store
	storeAddr  string
	processes  []*process
	// seedAddresses lists the peer addresses of the seeds: the first instances, which each
	// instance contacts when it starts.
	seedAddresses []string
	endpoints     []*endpoint
	servers       []*http.Server
	// ports are the ports of the instances and of the endpoints.
	ports ports

	// recovered is when the system must have recovered from the last fault.
	recovered time.Time

	mu      sync.Mutex
	version int
	// played lists the faults of the schedule that have begun.
	played []playedFault
	// drains lists the periods in which failure domains were drained.
	drains []drainPeriod
	// crashSends lists the exchanges of requests that crash endpoints.
	crashSends []Exchange
	// standinErrors lists the errors of stand-ins that could not cause a fault.
	standinErrors []error
	// restoring is locked while the store is restored from a copy.
	restoring sync.Mutex
	// stalls lists the intervals in which a runnable thread waited for a processor.
	stalls []stall
	// keys maps each of the customer's keys to the time of its revocation; zero for valid
	// keys.
	keys map[string]time.Time
}

// newDeployment starts the stand-ins and the given number of instances of a program. On an error
// it leaves running what it has started.
func newDeployment(program string, instances int, strict bool, budget retryBudget) (*Deployment, error) {
	dir, err := os.MkdirTemp("", dirPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "create directory of the run")
	}
	d := &Deployment{
		program: program,
		strict:  strict,
		budget:  budget,
		dir:     dir,
		store:   platformtest.NewStore(),
		keys: map[string]time.Time{
			steadyKey: {},
			"k-0":     {},
		},
	}
	if d.storeAddr, err = d.serve(d.store); err != nil {
		return nil, err
	}
	d.publish()
	for i := range engines + services {
		if err := d.addEndpoint(i); err != nil {
			return nil, err
		}
	}
	for range min(instances, maxSeeds) {
		address, err := d.ports.address()
		if err != nil {
			return nil, err
		}
		d.seedAddresses = append(d.seedAddresses, address)
	}
	for i := range instances {
		if err := d.addProcess(i); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// dirPrefix is the prefix of the name of a run's directory.
const dirPrefix = "linkmast-soak-"

// maxSeeds bounds the number of instances that are seeds for the others.
const maxSeeds = 3

// serve serves a stand-in on a free port and returns its address.
func (d *Deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
	}
	d.servers = append(d.servers, s)
	go func() {
		// Serve always returns an error after Close.
		_ = s.Serve(l)
	}()
	return l.Addr().String(), nil
}

// addEndpoint starts endpoint i behind a proxy and writes its entry to the store. The first
// endpoints are engines, the others plain.
func (d *Deployment) addEndpoint(i int) error {
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
	target, err := d.serve(e.Endpoint)
	if err != nil {
		return err
	}
	address, err := d.ports.address()
	if err != nil {
		return err
	}
	if e.proxy, err = tcptest.NewProxyAt(address, target); err != nil {
		return errors.Wrap(err, "start proxy to an endpoint")
	}
	e.Crash = func([]string) { d.crash(e) }
	e.setFaults(platformtest.EndpointFaults{})
	d.endpoints = append(d.endpoints, e)
	d.writeEntry(e, false)
	return nil
}

// close kills the instances and stops the proxies and stand-ins.
func (d *Deployment) close() {
	for _, p := range d.processes {
		p.signal(syscall.SIGCONT, false)
		p.signal(syscall.SIGKILL, true)
		<-p.done()
		p.store.Close()
	}
	for _, e := range d.endpoints {
		e.proxy.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.ports.close()
}

// domainOf returns the failure domain of the endpoint or instance with index i.
func domainOf(i int) string {
	return fmt.Sprintf("d-%d", i%domains)
}

// writeEntry writes an endpoint's entry to the store. If leaving is true, the entry says that
// the endpoint is about to end and takes no new requests.
func (d *Deployment) writeEntry(e *endpoint, leaving bool) {
	d.mu.Lock()
	startedAt := e.startedAt
	d.mu.Unlock()
	d.store.PutEndpoint(platformtest.EndpointEntry{
		Instance:  e.Name(),
		Service:   e.service,
		Address:   e.proxy.Address,
		Domain:    e.domain,
		Slots:     endpointSlots,
		Leaving:   leaving,
		StartedAt: startedAt,
	})
}

// requestID returns the ID of a request from its name within the run. IDs differ between runs, so that
// a request from another one is recognized.
func (d *Deployment) requestID(name string) string {
	return strings.TrimPrefix(filepath.Base(d.dir), dirPrefix) + "-" + name
}

// logLocation returns a text that says where the instances' logs are.
func (d *Deployment) logLocation() string {
	return "logs in " + strings.TrimSuffix(d.dir, "/")
}
