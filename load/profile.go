// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package load

import (
	"bytes"
	"embed"
	"math"
	"math/rand/v2"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/linkmast/linkmast/config"
)

//go:embed profiles/*.toml
var profiles embed.FS

// Profile describes a mix of requests.
type Profile struct {
	// Name identifies the profile in reports.
	Name string `toml:"name"`
	// Model is the model that completions ask for.
	Model string `toml:"model"`
	// Service is the service that receives the plain calls.
	Service string `toml:"service"`
	// Kinds are the kinds of requests. Their weights need not add up to 1.
	Kinds []Kind `toml:"kinds"`
}

// Kind describes the requests of one kind.
type Kind struct {
	// Name identifies the kind.
	Name string `toml:"name"`
	// Weight is the share of the kind in all requests, relative to the sum of all weights.
	Weight float64 `toml:"weight"`
	// Key is the customer's API key, sent as a bearer token.
	Key string `toml:"key"`
	// MinTokens is the smallest length of a prompt. The logarithms of lengths are
	// distributed uniformly.
	MinTokens int `toml:"min_tokens"`
	// MaxTokens is the largest length of a prompt. Zero means that the kind consists of
	// plain calls.
	MaxTokens int `toml:"max_tokens"`
	// OutputTokens is the length of the answer.
	OutputTokens int `toml:"output_tokens"`
	// SharedTokens is the length of the prefix that all prompts of the kind share.
	SharedTokens int `toml:"shared_tokens"`
	// Deadline is sent with each request.
	Deadline config.Duration `toml:"deadline"`
	// Once marks requests that must run at most once.
	Once bool `toml:"once"`
}

// isPlain reports whether the kind consists of plain calls to a service.
func (k *Kind) isPlain() bool {
	return k.MaxTokens == 0
}

// IsLong reports whether the longest prompts of the kind exceed 100 000 tokens.
func (k *Kind) IsLong() bool {
	return k.MaxTokens > longTokens
}

// longTokens is the length above which a prompt is long.
const longTokens = 100_000

// meanPrefill returns the mean number of prompt tokens after the shared prefix; 0 for plain
// calls.
func (k *Kind) meanPrefill() float64 {
	if k.isPlain() {
		return 0
	}
	low, high := float64(k.MinTokens), float64(k.MaxTokens)
	if low == high {
		return low - float64(k.SharedTokens)
	}
	// The mean of a log-uniform distribution.
	return (high-low)/math.Log(high/low) - float64(k.SharedTokens)
}

// MeanPrefill returns the mean number of prompt tokens per request after shared prefixes,
// with plain calls as 0.
func (p *Profile) MeanPrefill() float64 {
	total, work := 0.0, 0.0
	for i := range p.Kinds {
		total += p.Kinds[i].Weight
		work += p.Kinds[i].Weight * p.Kinds[i].meanPrefill()
	}
	if total == 0 {
		return 0
	}
	return work / total
}

// TotalWeight returns the sum of the weights of all kinds.
func (p *Profile) TotalWeight() float64 {
	total := 0.0
	for i := range p.Kinds {
		total += p.Kinds[i].Weight
	}
	return total
}

// WithoutLongPrompts returns a copy of the profile without the kinds whose IsLong is true.
func (p *Profile) WithoutLongPrompts() *Profile {
	out := *p
	out.Kinds = nil
	for i := range p.Kinds {
		if !p.Kinds[i].IsLong() {
			out.Kinds = append(out.Kinds, p.Kinds[i])
		}
	}
	return &out
}

// ReadProfile returns the embedded profile with the name, or else reads the file at that
// path.
func ReadProfile(name string) (*Profile, error) {
	data, err := profiles.ReadFile("profiles/" + name + ".toml")
	if err != nil {
		if data, err = os.ReadFile(name); err != nil {
			return nil, errors.Wrap(err, "profile is neither pinecrest nor tana nor a readable file")
		}
	}
	p := &Profile{}
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(p); err != nil {
		return nil, errors.Wrap(err, "profile "+name)
	}
	return p, p.check()
}

// check returns an error if no kind has a weight, or one that names the first invalid kind.
func (p *Profile) check() error {
	if p.TotalWeight() <= 0 {
		return errors.Errorf("profile %s: no kind has a weight", p.Name)
	}
	for i := range p.Kinds {
		k := &p.Kinds[i]
		if k.Weight < 0 || k.MinTokens < 0 || k.MaxTokens < k.MinTokens || k.SharedTokens > k.MinTokens {
			return errors.Errorf("profile %s: kind %s: lengths or weight are invalid", p.Name, k.Name)
		}
		if !k.isPlain() && (k.MinTokens == 0 || k.OutputTokens <= 0) {
			return errors.Errorf("profile %s: kind %s: min_tokens and output_tokens must be above zero", p.Name, k.Name)
		}
	}
	return nil
}

// arrival is one request of a run.
type arrival struct {
	at     time.Duration
	number int
	kind   *Kind
	tokens int
}

// arrivals draws the arrivals of a Poisson process over the duration within. The rate is in
// requests per second.
func (p *Profile) arrivals(rate float64, within time.Duration, r *rand.Rand) []arrival {
	var out []arrival
	at := 0.0
	for {
		at += r.ExpFloat64() / rate
		due := time.Duration(at * float64(time.Second))
		if due >= within {
			return out
		}
		k := p.kindAt(r.Float64() * p.TotalWeight())
		out = append(out, arrival{
			at:     due,
			number: len(out),
			kind:   k,
			tokens: k.drawLength(r),
		})
	}
}

// kindAt returns the kind whose interval of cumulative weights contains at, a number from 0 to
// the total weight.
func (p *Profile) kindAt(at float64) *Kind {
	for i := range p.Kinds {
		if at -= p.Kinds[i].Weight; at < 0 {
			return &p.Kinds[i]
		}
	}
	return &p.Kinds[len(p.Kinds)-1]
}

// drawLength returns a random prompt length in tokens; 0 for plain calls.
func (k *Kind) drawLength(r *rand.Rand) int {
	if k.isPlain() {
		return 0
	}
	low, high := math.Log(float64(k.MinTokens)), math.Log(float64(k.MaxTokens))
	return int(math.Exp(low + r.Float64()*(high-low)))
}
