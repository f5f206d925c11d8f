// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package placement

import (
	"cmp"
	"slices"
	"time"
)

// Request is what a plan is made for.
type Request struct {
	// ID names the attempt.
	ID string
	// Prompt is the length of the prompt in tokens.
	Prompt int
	// Output is the likely length of the answer in tokens.
	Output int
	// Gap is the longest pause between events in time; zero means none counts.
	Gap time.Duration
	// TargetAt is when the first event would be late.
	TargetAt time.Time
	// GiveUpAt is when the caller goes if there is no event; zero when that is
	// not known.
	GiveUpAt time.Time
	// Worth is what an answer in time is worth.
	Worth float64
	// Exclude are engines that must not be used.
	Exclude []string
}

// Share is the part of a plan on an engine that helps.
type Share struct {
	// Engine is the engine that helps.
	Engine *Engine
	// Hold is the memory that it holds for the request, in tokens.
	Hold int
}

// Plan is where a request would run.
type Plan struct {
	// Engine gets the request.
	Engine *Engine
	// Others read the prompt with it.
	Others []Share
	// Read is the time of reading on each engine.
	Read time.Duration
	// Hold is the memory that Engine holds, in tokens.
	Hold int
	// First is the predicted time to the first event.
	First time.Duration
	// Spoils is what others lose.
	Spoils float64
	// Loses is what the request itself loses.
	Loses float64
}

// Cost returns what the plan costs in all.
func (p *Plan) Cost() float64 {
	return spoilsWeight*p.Spoils + p.Loses
}

// spoilsWeight is what a loss of others weighs against one of the request
// itself.
const spoilsWeight = 2

// MaxReaders bounds the engines that read a prompt together: one and sixteen
// that help it.
const MaxReaders = 17

// widths are the numbers of engines that are tried.
var widths = [...]int{1, 2, 3, 4, 6, 8, 12, MaxReaders}

// lateShare is the part of a request's worth that is lost when it is late. The
// sheets of both sites keep a quarter.
const lateShare = 0.75

// The part of a bound at which a prediction begins to count as late, and that
// at which it surely is.
const (
	lateFrom = 0.85
	lateTo   = 1.05
)

// lateness returns how likely something predicted to take d is late.
func lateness(d, bound time.Duration) float64 {
	if bound <= 0 {
		return 1
	}
	r := float64(d) / float64(bound)
	return min(max((r-lateFrom)/(lateTo-lateFrom), 0), 1)
}

// memoryReserve is the part of an engine's memory that plans leave free, for
// answers that get longer than expected.
const memoryReserve = 0.04

// joinCost is what each further engine costs a plan: one more that may fail
// under the request, and a disturbance for what comes next.
const joinCost = 0.01

// Make returns the cheapest plan, or false when no engine can take the request.
func Make(engines []*Engine, r Request, now time.Time) (Plan, bool) {
	usable := make([]*Engine, 0, len(engines))
	for _, e := range engines {
		if e.Closed || slices.Contains(r.Exclude, e.Instance) {
			continue
		}
		e.Advance(now)
		usable = append(usable, e)
	}
	best, found := Plan{}, false
	cands := make([]candidate, 0, len(usable))
	for _, n := range widths {
		if n > len(usable) || n > 1 && usable[0].Model.Read(r.Prompt, n) < leastPart {
			break
		}
		p, ok := plan(usable, r, n, now, cands)
		if ok && (!found || p.Cost()+p.joining() < best.Cost()+best.joining()) {
			best, found = p, true
		}
	}
	return best, found
}

// leastPart is the least time of reading that is split off: with less, one more
// engine that may fail is not worth the shorter pause.
const leastPart = 40 * time.Millisecond

func (p *Plan) joining() float64 {
	return joinCost * float64(len(p.Others))
}

// plan returns the cheapest plan in which n engines read the prompt.
func plan(usable []*Engine, r Request, n int, now time.Time, cands []candidate) (Plan, bool) {
	share := part{
		tokens: r.Prompt / n,
		time:   usable[0].Model.Read(r.Prompt, n),
		joint:  n > 1,
	}
	cands = cands[:0]
	for i, e := range usable {
		c := e.judge(share, now)
		if n > 1 && c.reading {
			// The new part would go before the one that is being read.
			continue
		}
		c.order = i
		c.cost = spoilsWeight*c.spoils + r.loses(c.first, now)
		c.crowded = c.isCrowded(r.TargetAt.Sub(now))
		cands = append(cands, c)
	}
	if len(cands) < n {
		return Plan{}, false
	}
	slices.SortFunc(cands, r.compare)
	chosen := cands[:n]
	need := r.Prompt + r.Output
	head := headOf(chosen, need, n)
	if head < 0 {
		head, chosen = withSlot(cands, need, n)
		if head < 0 {
			return Plan{}, false
		}
	}
	p := Plan{
		Engine: chosen[head].engine,
		Read:   share.time,
	}
	for i, c := range chosen {
		p.Spoils += c.spoils
		p.First = max(p.First, c.first)
		if i != head {
			p.Others = append(p.Others, Share{
				Engine: c.engine,
			})
		}
	}
	if !p.hold(need) {
		return Plan{}, false
	}
	p.Loses = r.loses(p.First, now)
	return p, true
}

// loses returns what the request itself loses when its first event takes a time.
func (r *Request) loses(first time.Duration, now time.Time) float64 {
	if !r.GiveUpAt.IsZero() && now.Add(first).After(r.GiveUpAt) {
		return r.Worth
	}
	return lateShare * r.Worth * lateness(first, r.TargetAt.Sub(now))
}

// compare orders candidates: those with the least cost first. Among equals, short prompts fill
// the engines from the front of the fixed order as long as passes stay short,
// and long ones take them from the back: so the long ones find engines where
// they make nobody wait.
func (r *Request) compare(a, b candidate) int {
	if d := a.cost - b.cost; d < -costEqual || d > costEqual {
		return cmp.Compare(a.cost, b.cost)
	}
	if r.Prompt > packedPrompt {
		if d := a.first - b.first; d < -firstEqual || d > firstEqual {
			return cmp.Compare(a.first, b.first)
		}
		return cmp.Compare(b.order, a.order)
	}
	if c := cmp.Compare(a.crowded, b.crowded); c != 0 {
		return c
	}
	if a.crowded == 0 {
		return cmp.Compare(a.order, b.order)
	}
	return cmp.Compare(a.first, b.first)
}

// isCrowded returns 1 for an engine that should not be filled further: with a
// long pass now or next, or none but the last slots free.
func (c *candidate) isCrowded(target time.Duration) int {
	if c.pass > packedPass || c.left <= packedLeft || c.first > time.Duration(packedFirst*float64(target)) {
		return 1
	}
	return 0
}

// The measures of filling engines in order.
const (
	// packedPrompt is the longest prompt that engines are filled with, in
	// tokens; reading it takes less than half of the shortest pause that counts.
	packedPrompt = 24_000
	// packedPass is the longest pass that filling may lead to: well below the
	// shortest pause that counts on the sheets, 250 ms, as several prompts may
	// arrive in one pass.
	packedPass = 150 * time.Millisecond
	// packedFirst is the part of the target up to which the first event may take
	// on an engine that is filled.
	packedFirst = 0.75
	// packedLeft is how many slots filling leaves free.
	packedLeft = 2
)

// The differences below which candidates count as equal.
const (
	costEqual  = 0.02
	firstEqual = 2 * time.Millisecond
)

// headOf returns the index of the engine that gets the request: one with a free
// slot, with room for all if there is any, else with the most room.
func headOf(chosen []candidate, need, n int) int {
	head := -1
	for i, c := range chosen {
		if !c.slots {
			continue
		}
		if c.free >= need {
			return i
		}
		if n > 1 && (head < 0 || c.free > chosen[head].free) {
			head = i
		}
	}
	return head
}

// withSlot returns the cheapest choice whose first engine has a slot and, when
// it is alone, room for all.
func withSlot(cands []candidate, need, n int) (int, []candidate) {
	for i, c := range cands {
		if !c.slots || n == 1 && c.free < need {
			continue
		}
		chosen := make([]candidate, 0, n)
		chosen = append(chosen, c)
		for j := range cands {
			if j != i && len(chosen) < n {
				chosen = append(chosen, cands[j])
			}
		}
		return 0, chosen
	}
	return -1, nil
}

// hold spreads the memory over the plan's engines. It returns false when they
// have too little.
func (p *Plan) hold(need int) bool {
	room := p.Engine.room()
	if room >= need {
		p.Hold = need
		return true
	}
	if len(p.Others) == 0 {
		return false
	}
	p.Hold = room
	left := need - room
	slices.SortFunc(p.Others, func(a, b Share) int {
		return cmp.Compare(b.Engine.room(), a.Engine.room())
	})
	for i := range p.Others {
		if left <= 0 {
			break
		}
		n := min(max(p.Others[i].Engine.room(), 0), left)
		p.Others[i].Hold = n
		left -= n
	}
	return left <= 0
}

// room returns the memory that a plan may use.
func (e *Engine) room() int {
	return e.Free() - int(memoryReserve*float64(e.Model.Capacity))
}

// Apply gives a plan's jobs to its engines.
func (p *Plan) Apply(r Request, now time.Time) {
	n := len(p.Others) + 1
	job := Job{
		ID:       r.ID,
		Tokens:   max(r.Prompt/n, 1),
		Joint:    n > 1,
		Memory:   p.Hold,
		Context:  r.Prompt / n,
		Gap:      r.Gap,
		Stake:    lateShare * r.Worth,
		AskedAt:  now,
		TargetAt: r.TargetAt,
		FirstAt:  now.Add(p.First),
	}
	job.PerToken = p.Read / time.Duration(job.Tokens)
	delay := time.Duration(0)
	if job.Joint {
		delay = p.Read
	}
	p.Engine.give(job, delay, now)
	for _, o := range p.Others {
		helper := job
		helper.Part = true
		helper.Memory = o.Hold
		helper.Context = o.Hold
		o.Engine.give(helper, delay, now)
	}
}

// give adds a job that delays the reads that wait.
func (e *Engine) give(j Job, delay time.Duration, now time.Time) {
	e.Advance(now)
	e.putOff(delay)
	e.Add(&j, now)
}
