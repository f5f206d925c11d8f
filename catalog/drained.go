// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package catalog

import (
	"github.com/linkmast/linkmast/internal/steady"
)

// drainDomain records that the endpoints of a failure domain must receive no new requests. The
// caller of this and of the functions below holds the lock.
func (c *Catalog) drainDomain(domain string) {
	if _, known := c.drained[domain]; known {
		return
	}
	c.drained[domain] = steady.Now()
	c.log.Info("failure domain is emptied", "failure_domain", domain, "endpoints", c.endpointsIn(domain))
}

// undrainDomain records that the endpoints of a failure domain may receive requests again.
func (c *Catalog) undrainDomain(domain string) {
	since, known := c.drained[domain]
	if !known {
		return
	}
	delete(c.drained, domain)
	c.log.Info("failure domain is restored", "failure_domain", domain, "endpoints", c.endpointsIn(domain),
		"emptied_ms", steady.Since(since).Milliseconds())
}

// endpointsIn returns the number of endpoints in a failure domain.
func (c *Catalog) endpointsIn(domain string) int {
	n := 0
	for _, e := range c.endpoints.values {
		if e.FailureDomain == domain {
			n++
		}
	}
	return n
}

// isTable reports whether a key is that of the configuration.
func (c *Catalog) isTable(f Feed, key string) bool {
	return f == Configurations && key == c.tableKey
}
