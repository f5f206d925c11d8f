// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package config

import (
	"time"
)

// Format is the version of the file format that this package accepts.
const Format = 1

// MaxBytes is the maximum size of a file.
const MaxBytes = 8 << 20

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses the text with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration with time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// File is a complete configuration.
type File struct {
	// Format is the version of the file format, 1.
	Format int `toml:"format"`
	// Limits apply to every request.
	Limits Limits `toml:"limits"`
	// Regions are the regions of the failure domains.
	Regions []Region `toml:"regions"`
	// FailureDomains are the failure domains of the endpoints.
	FailureDomains []FailureDomain `toml:"failure_domains"`
	// Tiers are the priorities that customers buy.
	Tiers []Tier `toml:"tiers"`
	// Customers are the callers with their keys.
	Customers []Customer `toml:"customers"`
	// Models are the models that engines serve.
	Models []Model `toml:"models"`
	// Adapters are variants of models.
	Adapters []Adapter `toml:"adapters"`
	// Endpoints are the engines and plain services.
	Endpoints []Endpoint `toml:"endpoints"`
}

// Limits apply to every request. Zero selects the default.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request's body; the default is 16 MiB.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxDeadline is the maximum time for a request; the default is 15m.
	MaxDeadline Duration `toml:"max_deadline"`
	// DefaultDeadline is the time for a request whose caller states none; the default is 2m.
	DefaultDeadline Duration `toml:"default_deadline"`
	// Stall is how long an endpoint may stay silent during an attempt before the attempt is
	// cancelled; the default is 3s.
	Stall Duration `toml:"stall"`
	// MaxKeyValidity is the maximum time for which an idempotency key is valid; the default is
	// 1h. It must be shorter than the retention of the platform's log.
	MaxKeyValidity Duration `toml:"max_key_validity"`
	// ClockBound is the maximum difference between the clocks of instances; the default is 2s.
	ClockBound Duration `toml:"clock_bound"`
}

// Region is a group of failure domains.
type Region struct {
	// ID identifies the region.
	ID string `toml:"id"`
}

// FailureDomain is a set of endpoints and instances that can fail together.
type FailureDomain struct {
	// ID identifies the failure domain.
	ID string `toml:"id"`
	// Region is the ID of its region.
	Region string `toml:"region"`
}

// Tier is a priority that customers buy.
type Tier struct {
	// ID identifies the tier.
	ID string `toml:"id"`
	// Rank orders the tiers; rank 0 is served first.
	Rank int `toml:"rank"`
	// MaxWait is the interval, counted from a request's arrival, at which the request counts as one
	// rank higher; the default is 20s.
	MaxWait Duration `toml:"max_wait"`
}

// Customer is a caller with its keys and limits.
type Customer struct {
	// ID identifies the customer.
	ID string `toml:"id"`
	// Tier is the ID of the highest tier that the customer bought.
	Tier string `toml:"tier"`
	// KeySHA256 are the SHA-256 hashes of the customer's keys, in lower-case hex.
	KeySHA256 []string `toml:"key_sha256"`
	// RequestsPerSecond is the maximum rate of requests; zero means no limit.
	RequestsPerSecond float64 `toml:"requests_per_second"`
	// Concurrency is the maximum number of requests in flight; zero means no limit.
	Concurrency int `toml:"concurrency"`
}

// Model is a model that engines serve.
type Model struct {
	// ID identifies the model.
	ID string `toml:"id"`
	// Version is the version of the weights that endpoints should load.
	Version string `toml:"version"`
	// KVBytesPerToken is the KV memory for one token of context.
	KVBytesPerToken int64 `toml:"kv_bytes_per_token"`
	// MaxPromptTokens is the maximum length of a prompt.
	MaxPromptTokens int `toml:"max_prompt_tokens"`
	// MaxOutputTokens is the maximum length of an answer; the default is 4096.
	MaxOutputTokens int `toml:"max_output_tokens"`
}

// Adapter is a variant of a model.
type Adapter struct {
	// ID identifies the adapter; callers use it as a model name.
	ID string `toml:"id"`
	// Model is the ID of the model that it modifies.
	Model string `toml:"model"`
}

// Kind distinguishes engines from plain services.
type Kind string

// The kinds of endpoints.
const (
	// KindEngine is an engine that serves a model.
	KindEngine Kind = "engine"
	// KindPlain is an endpoint of a plain service.
	KindPlain Kind = "plain"
)

// Endpoint is an engine or an endpoint of a plain service.
type Endpoint struct {
	// ID identifies the endpoint.
	ID string `toml:"id"`
	// Kind is "engine" or "plain".
	Kind Kind `toml:"kind"`
	// Address is the host and port.
	Address string `toml:"address"`
	// FailureDomain is the ID of the endpoint's failure domain.
	FailureDomain string `toml:"failure_domain"`
	// Model is the ID of the model that an engine serves.
	Model string `toml:"model"`
	// Adapters are the IDs of the adapters that an engine should have loaded.
	Adapters []string `toml:"adapters"`
	// MemoryBytes is the size of an engine's KV memory.
	MemoryBytes int64 `toml:"memory_bytes"`
	// PrefillTokensPerSecond is an engine's nominal prefill rate.
	PrefillTokensPerSecond float64 `toml:"prefill_tokens_per_second"`
	// MaxRunning is the maximum number of attempts at the same time; the default is 64.
	MaxRunning int `toml:"max_running"`
	// ChecksOrders reports whether the endpoint rejects orders with a stale fence.
	ChecksOrders bool `toml:"checks_orders"`
	// Service is the plain service that a plain endpoint belongs to.
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

// setDefaults replaces zero values by the defaults.
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
