// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package config

import (
	"time"
)

// Format is the number of the file format that this package judges.
const Format = 1

// MaxBytes is the largest file that is accepted, in bytes.
const MaxBytes = 8 << 20

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// File is a whole configuration.
type File struct {
	// Format is the number of the file format, 1.
	Format int `toml:"format"`
	// Limits bound every request.
	Limits Limits `toml:"limits"`
	// Regions are named by the failure domains.
	Regions []Region `toml:"regions"`
	// FailureDomains are named by the endpoints.
	FailureDomains []FailureDomain `toml:"failure_domains"`
	// Tiers are the priorities that customers buy.
	Tiers []Tier `toml:"tiers"`
	// Customers are the callers.
	Customers []Customer `toml:"customers"`
	// Models are what engines serve.
	Models []Model `toml:"models"`
	// Adapters are variants of models.
	Adapters []Adapter `toml:"adapters"`
	// Endpoints are the engines and plain services.
	Endpoints []Endpoint `toml:"endpoints"`
}

// Limits bound every request. A zero value means the default.
type Limits struct {
	// MaxBodyBytes bounds a request body; the default is 16 MiB.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxDeadline bounds the time a request may take; the default is 15m.
	MaxDeadline Duration `toml:"max_deadline"`
	// DefaultDeadline holds where a caller names none; the default is 2m.
	DefaultDeadline Duration `toml:"default_deadline"`
	// Stall is the longest silence of an endpoint; the default is 3s.
	Stall Duration `toml:"stall"`
	// MaxKeyValidity bounds how long a once-only key is valid; the default
	// is 1h. It stays below the retention of the platform's log.
	MaxKeyValidity Duration `toml:"max_key_validity"`
	// ClockBound is how far the clocks of instances may differ; the default
	// is 2s.
	ClockBound Duration `toml:"clock_bound"`
}

// Region is a group of failure domains.
type Region struct {
	// ID names the region.
	ID string `toml:"id"`
}

// FailureDomain is a set of instances that fail together.
type FailureDomain struct {
	// ID names the failure domain.
	ID string `toml:"id"`
	// Region names the region that it is part of.
	Region string `toml:"region"`
}

// Tier is a priority that customers buy.
type Tier struct {
	// ID names the tier.
	ID string `toml:"id"`
	// Rank orders the tiers; rank 0 is served first.
	Rank int `toml:"rank"`
	// MaxWait is the age at which a queued request counts as one rank
	// higher; the default is 20s.
	MaxWait Duration `toml:"max_wait"`
}

// Customer is a caller with its keys and limits.
type Customer struct {
	// ID names the customer.
	ID string `toml:"id"`
	// Tier is the highest tier that the customer bought.
	Tier string `toml:"tier"`
	// KeySHA256 are the SHA-256 hashes of the customer's keys, in lower-case hex.
	KeySHA256 []string `toml:"key_sha256"`
	// RequestsPerSecond bounds the rate; zero means no bound.
	RequestsPerSecond float64 `toml:"requests_per_second"`
	// Concurrency bounds the requests in flight; zero means no bound.
	Concurrency int `toml:"concurrency"`
}

// Model is what engines serve.
type Model struct {
	// ID names the model.
	ID string `toml:"id"`
	// Version is the version of the weights that endpoints should load.
	Version string `toml:"version"`
	// KVBytesPerToken is the memory that one token of context takes.
	KVBytesPerToken int64 `toml:"kv_bytes_per_token"`
	// MaxPromptTokens bounds a prompt.
	MaxPromptTokens int `toml:"max_prompt_tokens"`
	// MaxOutputTokens bounds an answer; the default is 4096.
	MaxOutputTokens int `toml:"max_output_tokens"`
}

// Adapter is a variant of a model.
type Adapter struct {
	// ID names the adapter; callers use it as a model name.
	ID string `toml:"id"`
	// Model names the model that it changes.
	Model string `toml:"model"`
}

// Kind tells engines and plain services apart.
type Kind string

// The kinds of endpoint.
const (
	// KindEngine is a model engine.
	KindEngine Kind = "engine"
	// KindPlain is a plain service.
	KindPlain Kind = "plain"
)

// Endpoint is an engine or a plain service.
type Endpoint struct {
	// ID names the endpoint.
	ID string `toml:"id"`
	// Kind is "engine" or "plain".
	Kind Kind `toml:"kind"`
	// Address is the host and port.
	Address string `toml:"address"`
	// FailureDomain names where the endpoint runs.
	FailureDomain string `toml:"failure_domain"`
	// Model names the model that an engine serves.
	Model string `toml:"model"`
	// Adapters names the adapters that an engine should hold.
	Adapters []string `toml:"adapters"`
	// MemoryBytes is an engine's KV memory.
	MemoryBytes int64 `toml:"memory_bytes"`
	// PrefillTokensPerSecond is an engine's rated prefill speed.
	PrefillTokensPerSecond float64 `toml:"prefill_tokens_per_second"`
	// MaxRunning bounds the attempts at once; the default is 64.
	MaxRunning int `toml:"max_running"`
	// ChecksOrders states whether the endpoint checks fences.
	ChecksOrders bool `toml:"checks_orders"`
	// Service names the plain service that a plain endpoint is part of.
	Service string `toml:"service"`
}

// The defaults of File.
const (
	defaultMaxBody     = 16 << 20
	defaultMaxDeadline = 15 * time.Minute
	defaultDeadline    = 2 * time.Minute
	defaultStall       = 3 * time.Second
	defaultKeyValidity = time.Hour
	defaultClockBound  = 2 * time.Second
	defaultMaxWait     = 20 * time.Second
	defaultMaxOutput   = 4096
	defaultMaxRunning  = 64
)

// setDefaults fills what the file leaves out.
func (f *File) setDefaults() {
	defaultInt64(&f.Limits.MaxBodyBytes, defaultMaxBody)
	defaultDuration(&f.Limits.MaxDeadline, defaultMaxDeadline)
	defaultDuration(&f.Limits.DefaultDeadline, defaultDeadline)
	defaultDuration(&f.Limits.Stall, defaultStall)
	defaultDuration(&f.Limits.MaxKeyValidity, defaultKeyValidity)
	defaultDuration(&f.Limits.ClockBound, defaultClockBound)
	for i := range f.Tiers {
		defaultDuration(&f.Tiers[i].MaxWait, defaultMaxWait)
	}
	for i := range f.Models {
		defaultInt(&f.Models[i].MaxOutputTokens, defaultMaxOutput)
	}
	for i := range f.Endpoints {
		defaultInt(&f.Endpoints[i].MaxRunning, defaultMaxRunning)
	}
}

func defaultInt64(v *int64, def int64) {
	if *v == 0 {
		*v = def
	}
}

func defaultInt(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}

func defaultDuration(v *Duration, def time.Duration) {
	if *v == 0 {
		*v = Duration(def)
	}
}
