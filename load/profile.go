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

// Profile is what is sent.
type Profile struct {
	// Name names the profile.
	Name string `toml:"name"`
	// Model is the model that is asked.
	Model string `toml:"model"`
	// Service is the plain service that is called.
	Service string `toml:"service"`
	// Kinds are the kinds of request; their weights need not add up to one.
	Kinds []Kind `toml:"kinds"`
}

// Kind is one kind of request.
type Kind struct {
	// Name names the kind.
	Name string `toml:"name"`
	// Weight is its part of all requests.
	Weight float64 `toml:"weight"`
	// Key is the bearer key of the customer.
	Key string `toml:"key"`
	// MinTokens and MaxTokens bound the prompt; lengths between are spread
	// evenly by their logarithm. Both zero means a plain call.
	MinTokens int `toml:"min_tokens"`
	// MaxTokens bounds the prompt.
	MaxTokens int `toml:"max_tokens"`
	// OutputTokens is the length of the answer.
	OutputTokens int `toml:"output_tokens"`
	// SharedTokens is how much of the prompt all requests of the kind share.
	SharedTokens int `toml:"shared_tokens"`
	// Deadline is what the caller allows.
	Deadline config.Duration `toml:"deadline"`
	// Once marks requests that must not be repeated.
	Once bool `toml:"once"`
}

// isPlain states whether the kind calls the isPlain service.
func (k *Kind) isPlain() bool {
	return k.MaxTokens == 0
}

// IsLong states whether the kind's prompts are long ones.
func (k *Kind) IsLong() bool {
	return k.MaxTokens > longTokens
}

// longTokens is the length above which a prompt counts as long.
const longTokens = 100_000

// meanPrefill returns the meanPrefill prompt length, in tokens, that is not shared.
func (k *Kind) meanPrefill() float64 {
	if k.isPlain() {
		return 0
	}
	low, high := float64(k.MinTokens), float64(k.MaxTokens)
	if low == high {
		return low - float64(k.SharedTokens)
	}
	// The mean of a length whose logarithm is spread evenly.
	return (high-low)/math.Log(high/low) - float64(k.SharedTokens)
}

// MeanPrefill returns the mean prefill work of a request, in tokens.
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

// TotalWeight returns the sum of the weights.
func (p *Profile) TotalWeight() float64 {
	total := 0.0
	for i := range p.Kinds {
		total += p.Kinds[i].Weight
	}
	return total
}

// WithoutLongPrompts returns the profile without its long prompts.
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

// ReadProfile reads a profile by name, or from a file.
func ReadProfile(name string) (*Profile, error) {
	data, err := profiles.ReadFile("profiles/" + name + ".toml")
	if err != nil {
		if data, err = os.ReadFile(name); err != nil {
			return nil, errors.Wrap(err, "profile is neither pinecrest nor tana, nor a file")
		}
	}
	p := &Profile{}
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(p); err != nil {
		return nil, errors.Wrap(err, "profile "+name)
	}
	return p, p.check()
}

func (p *Profile) check() error {
	if p.TotalWeight() <= 0 {
		return errors.Errorf("profile %s: no kind has a weight", p.Name)
	}
	for i := range p.Kinds {
		k := &p.Kinds[i]
		if k.Weight < 0 || k.MinTokens < 0 || k.MaxTokens < k.MinTokens || k.SharedTokens > k.MinTokens {
			return errors.Errorf("profile %s: kind %s: lengths or weight are impossible", p.Name, k.Name)
		}
		if !k.isPlain() && (k.MinTokens == 0 || k.OutputTokens <= 0) {
			return errors.Errorf("profile %s: kind %s: min_tokens and output_tokens must be above zero", p.Name, k.Name)
		}
	}
	return nil
}

// arrival is one request that is due.
type arrival struct {
	at     time.Duration
	number int
	kind   *Kind
	tokens int
}

// arrivals draws the requests that are due within a time.
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

func (p *Profile) kindAt(at float64) *Kind {
	for i := range p.Kinds {
		if at -= p.Kinds[i].Weight; at < 0 {
			return &p.Kinds[i]
		}
	}
	return &p.Kinds[len(p.Kinds)-1]
}

func (k *Kind) drawLength(r *rand.Rand) int {
	if k.isPlain() {
		return 0
	}
	low, high := math.Log(float64(k.MinTokens)), math.Log(float64(k.MaxTokens))
	return int(math.Exp(low + r.Float64()*(high-low)))
}
