// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package worth

import (
	"math"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/batch"
	"github.com/linkmast/linkmast/route"
)

// Settings are the operator's settings. The zero value stands for the defaults.
type Settings struct {
	// Fixed is the fraction of a typical request's worth that does not depend on its size, and
	// also the constant term in the worth of a route; the default is 0.3.
	Fixed float64 `toml:"fixed"`
	// Late is the fraction of a request's worth that a late answer keeps; the default is 0.25.
	Late float64 `toml:"late"`
	// Routes are the factors for routes of rank 0, 1, ... Ranks beyond the last count as the
	// last. The default is 1, 1/2, 1/3, ...
	Routes []float64 `toml:"routes"`
	// Customers are the factors for customers of rank 0, 1, ... Ranks beyond the last count as
	// the last. The default is five factors, each a quarter of the one before.
	Customers []float64 `toml:"customers"`
}

// Check returns an error that names the first invalid setting.
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

// nonIncreasing reports whether all factors are positive and none exceeds the one before, so
// that a lower priority never increases the worth of a request.
func nonIncreasing(factors []float64) bool {
	for i, v := range factors {
		if v <= 0 || i > 0 && v > factors[i-1] {
			return false
		}
	}
	return true
}

// Defaults of Settings.
const (
	defaultFixed = 0.3
	defaultLate  = 0.25
	// customerRankRatio is the ratio of the factors of two successive customer ranks. It exceeds
	// the ratio of the factors of route ranks 0 and 2, so that a customer's rank takes precedence
	// over these ranks of routes.
	customerRankRatio = 4
	// maxCustomerRanks is the number of customer ranks that the default distinguishes.
	maxCustomerRanks = 5
)

// baseWorth scales the worth of all requests. With it a short prompt is worth about 1.3.
const baseWorth = 1.25

// defaultTypicalSize is the size of a typical request of a service whose configuration does not
// specify it.
var defaultTypicalSize = route.Size{
	Prompt: 14_000,
	Answer: 1_300,
}

// Request holds the properties of a request that determine its worth.
type Request struct {
	// Customer is the rank that the customer bought; 0 goes first.
	Customer int
	// Route is the name of the route, and RouteRank its rank; 0 goes first.
	Route     string
	RouteRank int
	// Prompt and Output are the lengths of the prompt and of the expected answer, in tokens.
	Prompt int
	Output int
}

// Worth is what answering a request brings.
type Worth struct {
	// InTime is the worth of an answer on time, and Late that of a late one.
	InTime float64
	Late   float64
}

// Scale computes the worth of the requests of one service. It learns the typical size of each
// route's requests. Until a route has had requests, a request counts as typical for it.
type Scale struct {
	settings Settings
	model    *batch.Model
	// typical is the size of a typical request of the service.
	typical route.Size
	// meanTier is the mean tier of recent requests.
	meanTier mean
	// routes holds the sizes of the routes' requests by name.
	routes map[string]*routeSizes
}

// routeSizes holds the mean lengths of a route's requests, in tokens, and the latest request.
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

// SetModel sets the cost model of the service's engines and the size of a typical request. It
// ignores a nil model and a zero size.
func (s *Scale) SetModel(m *batch.Model, typical route.Size) {
	if m != nil {
		s.model = m
	}
	if typical != (route.Size{}) {
		s.typical = typical
	}
}

const (
	// tierWindow is the number of requests that the mean tier covers: a few seconds of traffic, so
	// that the mean follows the demand but a single request hardly moves it.
	tierWindow = 500
	// sizeWindow is the number of requests of a route that its mean size covers. With 100, the mean
	// is off by less than a tenth of what single requests differ by.
	sizeWindow = 100
	// maxRoutes bounds the number of routes with learned sizes, and so the memory. Requests of
	// further routes each count as typical for their route.
	maxRoutes = 256
)

// Observe updates the means with a request that has arrived.
func (s *Scale) Observe(r Request) {
	s.meanTier.add(s.settings.tier(r), tierWindow)
	sizes := s.routes[r.Route]
	if sizes == nil {
		if len(s.routes) >= maxRoutes {
			return
		}
		sizes = &routeSizes{}
		s.routes[r.Route] = sizes
	}
	sizes.last = r
	sizes.prompt.add(float64(r.Prompt), sizeWindow)
	sizes.output.add(float64(r.Output), sizeWindow)
}

// Worth returns the worth of a request.
func (s *Scale) Worth(r Request) Worth {
	inTime := s.routeWorth(r) * s.sizeFactor(r) * s.settings.tier(r) / s.meanTier.valueOr(1)
	return Worth{
		InTime: inTime,
		Late:   orDefault(s.settings.Late, defaultLate) * inTime,
	}
}

// routeWorth returns the worth of a typical request of r's route, without its tier.
func (s *Scale) routeWorth(r Request) float64 {
	prompt, output := s.meanLengths(r)
	typical := s.model.Work(s.typical.Prompt, s.typical.Answer)
	work := 1.0
	if typical > 0 {
		work = s.model.Work(int(math.Round(prompt)), int(math.Round(output))).Seconds() / typical.Seconds()
	}
	return baseWorth * (s.settings.fixed() + work)
}

// sizeFactor returns the worth of a request relative to a typical one of its route: a fixed
// part and one proportional to the size.
func (s *Scale) sizeFactor(r Request) float64 {
	typical := s.size(s.meanLengths(r))
	if typical == 0 {
		return 1
	}
	fixed := s.settings.fixed()
	return fixed + (1-fixed)*s.size(float64(r.Prompt), float64(r.Output))/typical
}

// size returns the time, in seconds, that engines take for the tokens of a prompt and an
// answer. It ignores that tokens of long prompts take longer.
func (s *Scale) size(prompt, output float64) float64 {
	if s.model.PrefillPerSecond == 0 {
		return 0
	}
	return prompt/s.model.PrefillPerSecond + output*s.model.Step.Seconds()/float64(max(s.model.Slots, 1))
}

// meanLengths returns the mean lengths of the requests of r's route, in tokens.
func (s *Scale) meanLengths(r Request) (prompt, output float64) {
	sizes := s.routes[r.Route]
	if sizes == nil {
		sizes = &routeSizes{}
	}
	return sizes.prompt.valueOr(float64(r.Prompt)), sizes.output.valueOr(float64(r.Output))
}

// TypicalRequest describes the requests of a route.
type TypicalRequest struct {
	// Prompt and Output are the mean lengths of recent requests, in tokens.
	Prompt int `json:"prompt"`
	Output int `json:"output"`
	// Worth is the worth of an answer on time to a request of that size.
	Worth float64 `json:"worth"`
}

// TypicalRequests returns the typical request of every route that has had requests, by name.
func (s *Scale) TypicalRequests() map[string]TypicalRequest {
	out := make(map[string]TypicalRequest, len(s.routes))
	for name, sizes := range s.routes {
		r := sizes.last
		r.Prompt = int(math.Round(sizes.prompt.valueOr(0)))
		r.Output = int(math.Round(sizes.output.valueOr(0)))
		out[name] = TypicalRequest{
			Prompt: r.Prompt,
			Output: r.Output,
			Worth:  s.Worth(r).InTime,
		}
	}
	return out
}

// tier returns the factor for the customer's and the route's rank of a request. With the default
// settings it is 1 if both ranks are zero.
func (s *Settings) tier(r Request) float64 {
	return s.customer(r.Customer) * s.route(r.RouteRank)
}

// fixed returns the setting Fixed, or its default when it is zero.
func (s *Settings) fixed() float64 {
	return orDefault(s.Fixed, defaultFixed)
}

// route returns the factor for the rank of a route.
func (s *Settings) route(rank int) float64 {
	if len(s.Routes) > 0 {
		return s.Routes[clampIndex(rank, len(s.Routes))]
	}
	return 1 / float64(1+max(rank, 0))
}

// customer returns the factor for the rank of a customer.
func (s *Settings) customer(rank int) float64 {
	if len(s.Customers) > 0 {
		return s.Customers[clampIndex(rank, len(s.Customers))]
	}
	factor := 1.0
	for range clampIndex(rank, maxCustomerRanks) {
		factor /= customerRankRatio
	}
	return factor
}

// clampIndex limits a rank to the indices of a list.
func clampIndex(rank, length int) int {
	return min(max(rank, 0), length-1)
}

// orDefault returns v, or fallback when v is zero.
func orDefault(v, fallback float64) float64 {
	if v == 0 {
		return fallback
	}
	return v
}
