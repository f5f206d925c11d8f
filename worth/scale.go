// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package worth

import (
	"math"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/route"
)

// Settings are what an operator may set. The zero value stands for the defaults.
type Settings struct {
	// Fixed is the part of the worth of a usual request that does not depend on its
	// size; the default is 0.3.
	Fixed float64 `toml:"fixed"`
	// Late is the part of its worth that a late answer keeps; the default is 0.25.
	Late float64 `toml:"late"`
	// Routes are what requests of routes of rank 0, 1, ... are worth relative to each
	// other. Ranks beyond the last count as the last. The default is 1, 1/2, 1/3, ...
	Routes []float64 `toml:"routes"`
	// Customers are the same for the ranks of customers; by default each is a quarter of
	// the one before.
	Customers []float64 `toml:"customers"`
}

// Check returns an error that names what makes no sense.
func (s *Settings) Check() error {
	switch {
	case s.Fixed < 0:
		return errors.New("fixed must not be below zero")
	case s.Late < 0 || s.Late > 1:
		return errors.New("late must be from 0 to 1")
	case !nonIncreasing(s.Routes):
		return errors.New("routes must be above zero, none greater than the one before")
	case !nonIncreasing(s.Customers):
		return errors.New("customers must be above zero, none greater than the one before")
	}
	return nil
}

// nonIncreasing states whether values are above zero and none is greater than the one before, so
// that no request is worth more for being less urgent.
func nonIncreasing(values []float64) bool {
	for i, v := range values {
		if v <= 0 || i > 0 && v > values[i-1] {
			return false
		}
	}
	return true
}

// The defaults of Settings.
const (
	defaultFixed = 0.3
	defaultLate  = 0.25
	// customerRankRatio is how many times as much a request is worth as one of the next rank
	// of customers: more than the three first ranks of routes are apart, so that a
	// customer's rank goes before its routes'.
	customerRankRatio = 4
	// maxCustomerRanks bounds the ranks of customers that are told apart.
	maxCustomerRanks = 5
)

// baseValue is what the work of a usual request is worth. With it a short prompt is worth some
// 1.3, the baseValue of all measures in units of worth.
const baseValue = 1.25

// defaultTypicalSize stands for the size of a usual request where the configuration does not say
// it.
var defaultTypicalSize = route.Size{
	Prompt: 14_000,
	Answer: 1_300,
}

// Request is what the worth of a request depends on.
type Request struct {
	// Customer is the rank that its customer bought; 0 goes first.
	Customer int
	// Route names its route, and RouteRank is the rank of that; 0 goes first.
	Route     string
	RouteRank int
	// Prompt and Output are the lengths of the prompt and of the likely answer, in
	// tokens.
	Prompt int
	Output int
}

// Value is what an answer is worth, in units of worth.
type Value struct {
	// InTime is what one in time is worth, and Late what a late one is.
	InTime float64
	Late   float64
}

// Scale tells the worth of requests of one service. It learns what is usual for each route
// from the requests that come; one that has seen none takes each request for a usual one
// of its route.
type Scale struct {
	settings Settings
	model    *batch.Model
	// typical is the size of a typical request of the service.
	typical route.Size
	// meanTier is the mean tier of the requests of late.
	meanTier mean
	// routes are the sizes of the routes' requests by name.
	routes map[string]*routeSizes
}

// routeSizes are the mean lengths of the requests of a route, in tokens, and its last request.
type routeSizes struct {
	prompt mean
	output mean
	last   Request
}

// New returns a scale for a service that has had no requests.
func New(s Settings) *Scale {
	return &Scale{
		settings: s,
		model:    &batch.Model{},
		typical:  defaultTypicalSize,
		routes:   make(map[string]*routeSizes),
	}
}

// SetModel takes over the cost model of the service's engines and the size of a usual
// request; a zero one is not known.
func (s *Scale) SetModel(m *batch.Model, usual route.Size) {
	if m != nil {
		s.model = m
	}
	if usual != (route.Size{}) {
		s.typical = usual
	}
}

const (
	// tierWindow is over how many requests the mean tier is taken: some seconds of them,
	// so that it follows what is asked for and no single request moves it.
	tierWindow = 500
	// sizeWindow is over how many requests of a route their mean size is taken: so many that
	// it is off by less than a tenth of what single requests differ by.
	sizeWindow = 100
	// maxRoutes bounds the memory for routes whose sizes are kept. Requests of those beyond
	// it count by their own sizes.
	maxRoutes = 256
)

// Observe takes over that a request of a kind has come.
func (s *Scale) Observe(k Request) {
	s.meanTier.add(s.settings.tier(k), tierWindow)
	seen := s.routes[k.Route]
	if seen == nil {
		if len(s.routes) >= maxRoutes {
			return
		}
		seen = &routeSizes{}
		s.routes[k.Route] = seen
	}
	seen.last = k
	seen.prompt.add(float64(k.Prompt), sizeWindow)
	seen.output.add(float64(k.Output), sizeWindow)
}

// Value returns what an answer to a request of a kind is worth.
func (s *Scale) Value(k Request) Value {
	inTime := s.routeValue(k) * s.sizeFactor(k) * s.settings.tier(k) / s.meanTier.valueOr(1)
	return Value{
		InTime: inTime,
		Late:   orDefault(s.settings.Late, defaultLate) * inTime,
	}
}

// routeValue returns what a usual request of a kind's route is worth before its tier.
func (s *Scale) routeValue(k Request) float64 {
	prompt, output := s.meanLengths(k)
	usual := s.model.Work(s.typical.Prompt, s.typical.Answer)
	work := 1.0
	if usual > 0 {
		work = s.model.Work(int(math.Round(prompt)), int(math.Round(output))).Seconds() / usual.Seconds()
	}
	return baseValue * (s.settings.fixed() + work)
}

// sizeFactor returns what a request is worth in parts of a usual one of its route: a fixed part,
// and one in proportion to its size.
func (s *Scale) sizeFactor(k Request) float64 {
	usual := s.size(s.meanLengths(k))
	if usual == 0 {
		return 1
	}
	fixed := s.settings.fixed()
	return fixed + (1-fixed)*s.size(float64(k.Prompt), float64(k.Output))/usual
}

// size weighs the tokens of a prompt and an answer by the time that engines take for one,
// in seconds; a long prompt does not count for more than its tokens.
func (s *Scale) size(prompt, output float64) float64 {
	if s.model.PrefillPerSecond == 0 {
		return 0
	}
	return prompt/s.model.PrefillPerSecond + output*s.model.Step.Seconds()/float64(max(s.model.Slots, 1))
}

// meanLengths returns the mean lengths of the requests of a kind's route, in tokens.
func (s *Scale) meanLengths(k Request) (prompt, output float64) {
	seen := s.routes[k.Route]
	if seen == nil {
		seen = &routeSizes{}
	}
	return seen.prompt.valueOr(float64(k.Prompt)), seen.output.valueOr(float64(k.Output))
}

// TypicalRequest is what is usual for the requests of a route.
type TypicalRequest struct {
	// Prompt and Output are the mean lengths of late, in tokens.
	Prompt int `json:"prompt"`
	Output int `json:"output"`
	// Worth is what an answer of that size in time is worth, in units of worth.
	Worth float64 `json:"worth"`
}

// TypicalRequests returns what is usual for the routes that had requests, by name.
func (s *Scale) TypicalRequests() map[string]TypicalRequest {
	out := make(map[string]TypicalRequest, len(s.routes))
	for name, seen := range s.routes {
		k := seen.last
		k.Prompt = int(math.Round(seen.prompt.valueOr(0)))
		k.Output = int(math.Round(seen.output.valueOr(0)))
		out[name] = TypicalRequest{
			Prompt: k.Prompt,
			Output: k.Output,
			Worth:  s.Value(k).InTime,
		}
	}
	return out
}

// tier returns what a request is worth by its ranks alone, in parts of one of the first
// ranks.
func (s *Settings) tier(k Request) float64 {
	return s.customer(k.Customer) * s.route(k.RouteRank)
}

// fixed returns the part of the worth that does not depend on the size.
func (s *Settings) fixed() float64 {
	return orDefault(s.Fixed, defaultFixed)
}

// route returns what a request is worth by the rank of its route.
func (s *Settings) route(rank int) float64 {
	if len(s.Routes) > 0 {
		return s.Routes[clampIndex(rank, len(s.Routes))]
	}
	return 1 / float64(1+max(rank, 0))
}

// customer returns what a request is worth by the rank of its customer.
func (s *Settings) customer(rank int) float64 {
	if len(s.Customers) > 0 {
		return s.Customers[clampIndex(rank, len(s.Customers))]
	}
	worth := 1.0
	for range clampIndex(rank, maxCustomerRanks) {
		worth /= customerRankRatio
	}
	return worth
}

// clampIndex returns the index of a rank in a list.
func clampIndex(rank, length int) int {
	return min(max(rank, 0), length-1)
}

// orDefault returns a value, or its default when it is zero.
func orDefault(v, otherwise float64) float64 {
	if v == 0 {
		return otherwise
	}
	return v
}
