// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
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
	parts, instances := make(map[string]string), make(map[string]int)
	for _, x := range history {
		instances[x.ID] = x.Instance
		for _, id := range x.Parts {
			if strings.HasPrefix(id, crashPart) {
				parts[x.ID] = id
			}
		}
	}
	runs := make(map[string][]partRun)
	for _, e := range d.endpoints {
		for _, r := range e.Runs() {
			if part := parts[r.ID]; part != "" {
				runs[part] = append(runs[part], partRun{
					at:       r.At,
					instance: instances[r.ID],
				})
			}
		}
	}
	var out []Violation
	for part, list := range runs {
		if n := d.latePartRuns(list); n > maxLateRuns {
			out = append(out, Violation{
				Guarantee: "requests that share a part which crashes endpoints reach few endpoints",
				Detail: fmt.Sprintf("%q ran %d times, %d of them more than %s after its fifth run, from instances in touch",
					part, len(list), n, detectWithin),
			})
		}
	}
	return out
}

// partRun is a run of a request with a part that crashes engines.
type partRun struct {
	at time.Time
	// instance is the index of the instance that received the request.
	instance int
}

// latePartRuns returns how many runs began more than detectWithin after the fifth, at an instance that
// was in touch.
func (d *Deployment) latePartRuns(runs []partRun) int {
	slices.SortFunc(runs, func(a, b partRun) int { return a.at.Compare(b.at) })
	n := 0
	for i, r := range runs {
		if i >= partsToDetect && r.at.Sub(runs[partsToDetect-1].at) > detectWithin && d.inTouch(r.instance, r.at) {
			n++
		}
	}
	return n
}

// contactTime is how long an instance and the store must have been undisturbed for the instance to be
// in touch.
const contactTime = 3 * time.Second

// inTouch reports whether, in the contactTime before a time, no fault has stopped or frozen an
// instance, cut it off or kept it from the store, and none has hit the store.
func (d *Deployment) inTouch(instance int, at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !slices.ContainsFunc(d.played, func(p playedFault) bool {
		return p.began.Before(at) && p.ended().Add(contactTime).After(at) && p.fault.disturbs(instance, len(d.processes))
	})
}

// disturbs reports whether a fault makes an instance, of so many, lose touch.
func (s Fault) disturbs(instance, instances int) bool {
	_, ofStore := storeFaults[s.Kind]
	if ofStore || s.Kind == storeRestored || s.Kind == "store forgets" || s.Kind == "all lost in an outage" {
		return true
	}
	if s.Target%instances != instance {
		return false
	}
	_, storeLink := storeLinks[s.Kind]
	_, cut := partitionFaults[s.Kind]
	return storeLink || cut || slices.Contains([]string{"term", "kill", "freeze", "store connections silent"}, s.Kind)
}
