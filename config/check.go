// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package config

import (
	"encoding/hex"
	"fmt"
	"net"
	"regexp"
	"strings"
	"time"
)

// sha256Hex is the length of a hexadecimal SHA-256 hash.
const sha256Hex = 64

// maxPromptTokens is the highest maximum length of a prompt that a model may declare.
const maxPromptTokens = 16 << 20

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,63}$`)

// checker collects the problems of a file.
type checker struct {
	data []byte
	// lines maps paths to lines; it is nil until the first problem, because most files have
	// none.
	lines    map[string]int
	problems []Problem
}

// add records a problem at a path. If the path doesn't occur in the file, the problem gets the
// line of the nearest enclosing table.
func (c *checker) add(path, format string, args ...any) {
	if c.lines == nil {
		c.lines = scanLines(c.data)
	}
	line := 0
	for at := path; at != ""; {
		if n, ok := c.lines[at]; ok {
			line = n
			break
		}
		cut := strings.LastIndex(at, ".")
		if cut < 0 {
			break
		}
		at = at[:cut]
	}
	c.problems = append(c.problems, Problem{
		Line:   line,
		Path:   path,
		Reason: fmt.Sprintf(format, args...),
	})
}

// ids returns the IDs of a table's entries. It records a problem for each malformed or duplicate
// ID.
func (c *checker) ids(table string, n int, id func(int) string) map[string]bool {
	seen := make(map[string]bool, n)
	for i := range n {
		path := fmt.Sprintf("%s[%d].id", table, i)
		switch v := id(i); {
		case !idPattern.MatchString(v):
			c.add(path, "id %q must be 1 to 64 letters, digits, dots, slashes, dashes or underscores", v)
		case seen[v]:
			c.add(path, "id %q is used more than once", v)
		default:
			seen[v] = true
		}
	}
	return seen
}

// ref records a problem if a name is not among the known ones.
func (c *checker) ref(path, what, name string, known map[string]bool) {
	if !known[name] {
		c.add(path, "names %s %q, which does not exist", what, name)
	}
}

func (c *checker) positive(path string, v float64) {
	if v <= 0 {
		c.add(path, "must be above zero")
	}
}

func (c *checker) notNegative(path string, v float64) {
	if v < 0 {
		c.add(path, "must not be below zero")
	}
}

func (c *checker) check(f *File) {
	if f.Format != Format {
		c.add("format", "is %d, this version supports format %d", f.Format, Format)
	}
	c.limits(&f.Limits)
	regions := c.ids("regions", len(f.Regions), func(i int) string { return f.Regions[i].ID })
	domains := c.domains(f, regions)
	tiers := c.tiers(f)
	c.customers(f, tiers)
	models := c.models(f)
	adapters := c.adapters(f, models)
	c.endpoints(f, domains, models, adapters)
}

func (c *checker) limits(l *Limits) {
	c.positive("limits.max_body_bytes", float64(l.MaxBodyBytes))
	for path, d := range map[string]Duration{
		"limits.max_deadline":     l.MaxDeadline,
		"limits.default_deadline": l.DefaultDeadline,
		"limits.stall":            l.Stall,
		"limits.max_key_validity": l.MaxKeyValidity,
		"limits.clock_bound":      l.ClockBound,
	} {
		c.positive(path, float64(d))
	}
	if l.DefaultDeadline > l.MaxDeadline {
		c.add("limits.default_deadline", "is above max_deadline")
	}
}

func (c *checker) domains(f *File, regions map[string]bool) map[string]bool {
	for i, d := range f.FailureDomains {
		c.ref(fmt.Sprintf("failure_domains[%d].region", i), "region", d.Region, regions)
	}
	return c.ids("failure_domains", len(f.FailureDomains), func(i int) string { return f.FailureDomains[i].ID })
}

func (c *checker) tiers(f *File) map[string]bool {
	ranks := make(map[int]bool)
	for i, t := range f.Tiers {
		path := fmt.Sprintf("tiers[%d].rank", i)
		c.notNegative(path, float64(t.Rank))
		c.positive(fmt.Sprintf("tiers[%d].max_wait", i), float64(t.MaxWait))
		if ranks[t.Rank] {
			c.add(path, "rank %d is used more than once", t.Rank)
		}
		ranks[t.Rank] = true
	}
	if len(f.Tiers) == 0 {
		c.add("tiers", "at least one tier is needed")
	}
	return c.ids("tiers", len(f.Tiers), func(i int) string { return f.Tiers[i].ID })
}

func (c *checker) customers(f *File, tiers map[string]bool) {
	c.ids("customers", len(f.Customers), func(i int) string { return f.Customers[i].ID })
	holder := make(map[string]string)
	for i, cu := range f.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		c.ref(path+".tier", "tier", cu.Tier, tiers)
		c.notNegative(path+".requests_per_second", cu.RequestsPerSecond)
		c.notNegative(path+".concurrency", float64(cu.Concurrency))
		if len(cu.KeySHA256) == 0 {
			c.add(path+".key_sha256", "at least one key is needed")
		}
		for _, k := range cu.KeySHA256 {
			if _, err := hex.DecodeString(k); err != nil || len(k) != sha256Hex || k != strings.ToLower(k) {
				c.add(path+".key_sha256", "%q is not a SHA-256 hash in lower-case hex", k)
			}
			if other, ok := holder[k]; ok {
				c.add(path+".key_sha256", "the key of customer %q is used more than once", other)
			}
			holder[k] = cu.ID
		}
	}
}

func (c *checker) models(f *File) map[string]bool {
	for i, m := range f.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.positive(path+".kv_bytes_per_token", float64(m.KVBytesPerToken))
		c.positive(path+".max_prompt_tokens", float64(m.MaxPromptTokens))
		c.positive(path+".max_output_tokens", float64(m.MaxOutputTokens))
		if m.MaxPromptTokens > maxPromptTokens {
			c.add(path+".max_prompt_tokens", "is above %d", maxPromptTokens)
		}
	}
	return c.ids("models", len(f.Models), func(i int) string { return f.Models[i].ID })
}

func (c *checker) adapters(f *File, models map[string]bool) map[string]bool {
	for i, a := range f.Adapters {
		path := fmt.Sprintf("adapters[%d]", i)
		c.ref(path+".model", "model", a.Model, models)
		if models[a.ID] {
			c.add(path+".id", "is also the id of a model")
		}
	}
	return c.ids("adapters", len(f.Adapters), func(i int) string { return f.Adapters[i].ID })
}

func (c *checker) endpoints(f *File, domains, models, adapters map[string]bool) {
	c.ids("endpoints", len(f.Endpoints), func(i int) string { return f.Endpoints[i].ID })
	at := make(map[string]string)
	for i := range f.Endpoints {
		e := &f.Endpoints[i]
		path := fmt.Sprintf("endpoints[%d]", i)
		c.ref(path+".failure_domain", "failure domain", e.FailureDomain, domains)
		c.positive(path+".max_running", float64(e.MaxRunning))
		if _, _, err := net.SplitHostPort(e.Address); err != nil {
			c.add(path+".address", "%q is not a host and port", e.Address)
		}
		if other, ok := at[e.Address]; ok {
			c.add(path+".address", "is also the address of endpoint %q", other)
		}
		at[e.Address] = e.ID
		switch e.Kind {
		case KindEngine:
			c.engine(f, path, e, models, adapters)
		case KindPlain:
			c.plain(path, e)
		default:
			c.add(path+".kind", "is %q, must be %q or %q", e.Kind, KindEngine, KindPlain)
		}
	}
}

func (c *checker) engine(f *File, path string, e *Endpoint, models, adapters map[string]bool) {
	c.ref(path+".model", "model", e.Model, models)
	c.positive(path+".memory_bytes", float64(e.MemoryBytes))
	c.positive(path+".prefill_tokens_per_second", e.PrefillTokensPerSecond)
	if e.Service != "" {
		c.add(path+".service", "an engine must not name a plain service")
	}
	for _, a := range e.Adapters {
		c.ref(path+".adapters", "adapter", a, adapters)
	}
	for _, m := range f.Models {
		if m.ID == e.Model && m.KVBytesPerToken > 0 && e.MemoryBytes < m.KVBytesPerToken {
			c.add(path+".memory_bytes", "is too small for one token of model %q", m.ID)
		}
	}
}

func (c *checker) plain(path string, e *Endpoint) {
	if !idPattern.MatchString(e.Service) || strings.Contains(e.Service, "/") {
		c.add(path+".service", "a plain endpoint must name its service, without slashes")
	}
	if e.Model != "" || e.MemoryBytes != 0 {
		c.add(path+".model", "a plain endpoint must not have a model or KV memory")
	}
}

// Wait returns how long a request of the given rank may wait before it counts as one rank
// higher. It returns the default for a rank without a tier.
func (f *File) Wait(rank int) time.Duration {
	for _, t := range f.Tiers {
		if t.Rank == rank {
			return time.Duration(t.MaxWait)
		}
	}
	return defaultMaxWait
}
