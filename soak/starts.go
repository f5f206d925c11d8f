// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/platform/platformtest"
)

// The kinds of faults of starts that concern no start.
const (
	malformedEntries = "malformed entries"
	headsCut         = "endpoint ends heads"
)

// startFaults maps kinds of faults to functions that start an instance, which has ended, under the fault.
var startFaults = map[string]func(d *Deployment, s Fault, p *process) error{
	"hangups during a start":          (*Deployment).startWithHangups,
	"address in use during a start":   (*Deployment).startWithAddressInUse,
	"settings written during a start": (*Deployment).startWithCutSettings,
	"reader of the log ends":          (*Deployment).startWithLogReader,
}

// Parameters of DrawStarts.
const (
	// startPause is the mean time between two faults.
	startPause = 1500 * time.Millisecond
	// startStream distinguishes the random numbers from those of other schedules.
	startStream = 7
)

// DrawStarts returns the faults of Settings.Starts. They don't depend on the schedule of Draw.
func DrawStarts(seed uint64, length time.Duration, processes int) []Fault {
	kinds := append(slices.Sorted(maps.Keys(startFaults)), malformedEntries, headsCut)
	r := rand.New(rand.NewPCG(seed, startStream))
	var out []Fault
	for at := firstFault; at < length; at += time.Duration(r.ExpFloat64() * float64(startPause)) {
		out = append(out, Fault{
			At:     at,
			For:    time.Duration(minDurationMS+r.IntN(durationSpreadMS)) * time.Millisecond,
			Kind:   kinds[r.IntN(len(kinds))],
			Target: r.IntN(max(processes, engines+services)),
		})
	}
	return out
}

// restartDuring kills an instance and starts it again under a fault. Unless another call starts it, it does
// so at once.
func (d *Deployment) restartDuring(s Fault, p *process, start func(*Deployment, Fault, *process) error) {
	exited := p.kill()
	<-exited
	if p.claimStart(exited) {
		p.countFailedStart(start(d, s, p))
	}
}

// hangupsPerStart is the number of SIGHUPs during a start.
const hangupsPerStart = 20

// startWithHangups sends SIGHUPs as soon as the program has registered the signal.
func (d *Deployment) startWithHangups(_ Fault, p *process) error {
	if err := d.start(p); err != nil {
		return err
	}
	// Another fault may replace the process meanwhile. The signals must not reach the next one, which may not
	// have registered them yet.
	started, exited := p.current()
	for !ignoresPipe(started.Pid) {
		select {
		case <-exited:
			return nil
		case <-time.After(time.Millisecond):
		}
	}
	for range hangupsPerStart {
		// An error means that the process has exited already.
		_ = started.Signal(syscall.SIGHUP)
		time.Sleep(time.Millisecond)
	}
	return nil
}

// ignoresPipe reports whether a process ignores SIGPIPE, as an instance does after it has registered its
// signals.
func ignoresPipe(pid int) bool {
	mask := uint64(0)
	return scanStatus(pid, "SigIgn: %x", &mask) && mask&(1<<(syscall.SIGPIPE-1)) != 0
}

// peakMemoryNow returns the largest resident memory of the current process so far, in KB; zero if it has
// exited. The caller holds the lock.
func (p *process) peakMemoryNow() int64 {
	kilobytes := int64(0)
	scanStatus(p.cmd.Process.Pid, "VmHWM: %d kB", &kilobytes)
	return kilobytes
}

// scanStatus reads a line of the status of a process. It returns false if there is no such line or process.
func scanStatus(pid int, format string, into any) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(status)) {
		if _, err := fmt.Sscanf(line, format, into); err == nil {
			return true
		}
	}
	return false
}

// startWithAddressInUse holds one of the instance's addresses while it starts.
func (d *Deployment) startWithAddressInUse(s Fault, p *process) error {
	addresses := []string{p.listen, p.ready, p.peers}
	l, err := net.Listen("tcp", addresses[s.Target%len(addresses)])
	if err != nil {
		return errors.Wrap(err, "hold an address of an instance")
	}
	time.AfterFunc(s.For/restartDivisor, func() { _ = l.Close() })
	return d.start(p)
}

// startWithCutSettings starts an instance when only a part of its settings is written.
func (d *Deployment) startWithCutSettings(s Fault, p *process) error {
	const percent = 100
	cut := p.settingsText[:len(p.settingsText)*(s.Target%percent)/percent]
	if err := os.WriteFile(p.settings, []byte(cut), settingsMode); err != nil {
		return errors.Wrap(err, "cut settings of an instance")
	}
	startErr := d.start(p)
	time.Sleep(s.For / restartDivisor)
	return errors.Join(startErr, os.WriteFile(p.settings, []byte(p.settingsText), settingsMode))
}

// settingsMode is the mode of a settings file.
const settingsMode = 0o600

// startWithLogReader starts an instance whose log is read for a limited time.
func (d *Deployment) startWithLogReader(s Fault, p *process) error {
	log, err := d.openLog(p)
	if err != nil {
		return err
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return errors.Wrap(err, "create pipe for the log of an instance")
	}
	go func() {
		// The copy ends with the reader.
		_, _ = io.Copy(log, reader)
		_ = log.Close()
	}()
	time.AfterFunc(s.For/restartDivisor, func() { _ = reader.Close() })
	return d.startWith(p, writer)
}

// writeMalformed writes malformed entries to the topics of the endpoints and instances, and removes them
// when the fault ends.
func (d *Deployment) writeMalformed(s Fault) {
	topics := []string{platformtest.TopicEndpoints, platformtest.TopicPeers}
	for n, value := range platformtest.MalformedValues() {
		for _, topic := range topics {
			d.store.PutBytes(topic, fmt.Sprintf("malformed-%d", n), []byte(value))
		}
	}
	time.Sleep(s.For)
	for n := range platformtest.MalformedValues() {
		for _, topic := range topics {
			d.store.PutBytes(topic, fmt.Sprintf("malformed-%d", n), nil)
		}
	}
}

// headBytes is the number of bytes of a head after which an endpoint ends the connection: inside its first
// header line.
const headBytes = 20

// cutHeads makes an endpoint end its connections inside the heads of its answers.
func (d *Deployment) cutHeads(s Fault, e *endpoint) {
	cut := &platformtest.Cut{
		Bytes: headBytes,
		End:   platformtest.CutEnd(s.Target % 2),
	}
	e.setFaults(platformtest.EndpointFaults{CutHead: cut})
	time.Sleep(s.For)
	e.setFaults(platformtest.EndpointFaults{})
}
