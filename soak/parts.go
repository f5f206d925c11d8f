// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// partCrashes sends requests with a part of their prompts that crashes engines, no two alike, to the
// instances in turn.
const partCrashes = "part crashes endpoints"

// Parameters of requests with a part that crashes engines.
const (
	// crashPart is the prefix of the ids of such parts. Other ids do not have it.
	crashPart = "bad"
	// partInterval is the pause between two sends.
	partInterval = 150 * time.Millisecond
	// partsToDetect is the number of crashes after which the instances must recognize the part.
	// They must have stopped sending requests with it to engines within detectWithin of the last of
	// these crashes; maxLateRuns later runs are tolerated.
	partsToDetect = 5
	// partPause is the mean time between two faults that DrawParts draws.
	partPause = 5 * time.Second
	// partStream distinguishes the random numbers of DrawParts from those of other schedules.
	partStream = 6
)

// DrawParts returns the faults of a seed in which a part of prompts crashes engines. It does not
// depend on the schedule of Draw.
func DrawParts(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, partStream))
	var out []Fault
	for at := firstFault; at < length; at += time.Duration(r.ExpFloat64() * float64(partPause)) {
		out = append(out, Fault{
			At:     at,
			For:    time.Duration(minDurationMS+r.IntN(durationSpreadMS)) * time.Millisecond,
			Kind:   partCrashes,
			Target: r.IntN(engines),
		})
	}
	return out
}

// sendCrashingParts sends requests for the duration of a fault and 2*detectWithin beyond it. The
// fault's target selects the route and the place of the part.
func (d *Deployment) sendCrashingParts(s Fault) {
	c := &callers{
		deployment: d,
	}
	part := fmt.Sprint(crashPart, s.At.Milliseconds())
	end := time.Now().Add(s.For + 2*detectWithin)
	for n := 0; time.Now().Before(end); n++ {
		x := Exchange{
			ID:       d.requestID(fmt.Sprintf("part-%d-%d", s.At, n)),
			Path:     [...]string{streamPath, oncePath}[s.Target%2],
			Key:      steadyKey,
			Body:     fmt.Sprint("part ", s.At, " ", n),
			Instance: n % len(d.processes),
		}
		x.Parts = []string{"base", fmt.Sprint("team", n%teams), x.ID}
		x.Parts[s.Target%2] = part
		client := &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
		}
		go func() {
			c.send(client, &x, 0, minShortPrompt)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.crashSends = append(d.crashSends, x)
		}()
		time.Sleep(partInterval)
	}
	// The last requests end before the checks.
	time.Sleep(requestTimeout + callerSlack)
}

// checkParts checks that few requests with a part that crashes engines run after the instances must
// have recognized the part.
func (d *Deployment) checkParts(history []Exchange) []Violation {
	parts := make(map[string]string)
	for _, x := range history {
		for _, id := range x.Parts {
			if strings.HasPrefix(id, crashPart) {
				parts[x.ID] = id
			}
		}
	}
	runs := make(map[string][]time.Time)
	for _, e := range d.endpoints {
		for _, r := range e.Runs() {
			if part := parts[r.ID]; part != "" {
				runs[part] = append(runs[part], r.At)
			}
		}
	}
	var out []Violation
	for part, at := range runs {
		if n := d.lateRuns(at, partsToDetect); n > maxLateRuns {
			out = append(out, Violation{
				Guarantee: "requests that share a part which crashes endpoints reach few endpoints",
				Detail:    fmt.Sprintf("%q ran %d times, %d of them more than %s after its fifth run", part, len(at), n, detectWithin),
			})
		}
	}
	return out
}
