// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// View provides lookups in a file. It is immutable.
type View struct {
	File *File
	// Generation is the log offset at which the file was accepted.
	Generation int64

	tiers     map[string]*Tier
	customers map[string]*Customer
	keys      map[[sha256.Size]byte]*Customer
	models    map[string]*Model
	adapters  map[string]*Adapter
	endpoints map[string]*Endpoint
	regions   map[string]string
}

// NewView returns a view of a file that Parse has returned.
func NewView(f *File, generation int64) *View {
	v := &View{
		File:       f,
		Generation: generation,
		tiers:      make(map[string]*Tier, len(f.Tiers)),
		customers:  make(map[string]*Customer, len(f.Customers)),
		keys:       make(map[[sha256.Size]byte]*Customer, len(f.Customers)),
		models:     make(map[string]*Model, len(f.Models)),
		adapters:   make(map[string]*Adapter, len(f.Adapters)),
		endpoints:  make(map[string]*Endpoint, len(f.Endpoints)),
		regions:    make(map[string]string, len(f.FailureDomains)),
	}
	for i := range f.Tiers {
		v.tiers[f.Tiers[i].ID] = &f.Tiers[i]
	}
	for i := range f.Customers {
		v.addCustomer(&f.Customers[i])
	}
	for i := range f.Models {
		v.models[f.Models[i].ID] = &f.Models[i]
	}
	for i := range f.Adapters {
		v.adapters[f.Adapters[i].ID] = &f.Adapters[i]
	}
	for i := range f.Endpoints {
		v.endpoints[f.Endpoints[i].ID] = &f.Endpoints[i]
	}
	for _, d := range f.FailureDomains {
		v.regions[d.ID] = d.Region
	}
	return v
}

func (v *View) addCustomer(c *Customer) {
	v.customers[c.ID] = c
	for _, k := range c.KeySHA256 {
		var sum [sha256.Size]byte
		// Parse has checked that the hash is valid.
		_, _ = hex.Decode(sum[:], []byte(k))
		v.keys[sum] = c
	}
}

// Authenticate returns the customer that has the key. It looks the key up by its hash and
// compares the hashes in constant time, so that the duration reveals nothing about stored keys.
func (v *View) Authenticate(key string) (*Customer, bool) {
	sum := sha256.Sum256([]byte(key))
	c, ok := v.keys[sum]
	if !ok {
		return nil, false
	}
	for _, k := range c.KeySHA256 {
		if subtle.ConstantTimeCompare([]byte(k), []byte(hex.EncodeToString(sum[:]))) == 1 {
			return c, true
		}
	}
	return nil, false
}

// Tier returns the tier with the given ID.
func (v *View) Tier(id string) (*Tier, bool) {
	t, ok := v.tiers[id]
	return t, ok
}

// Customer returns the customer with the given ID.
func (v *View) Customer(id string) (*Customer, bool) {
	c, ok := v.customers[id]
	return c, ok
}

// Model returns the model with the given name. If the name is that of an adapter, it returns the
// adapter's model and the adapter's ID.
func (v *View) Model(name string) (m *Model, adapter string, ok bool) {
	if a, isAdapter := v.adapters[name]; isAdapter {
		return v.models[a.Model], a.ID, true
	}
	m, ok = v.models[name]
	return m, "", ok
}

// Endpoint returns the endpoint with the given ID.
func (v *View) Endpoint(id string) (*Endpoint, bool) {
	e, ok := v.endpoints[id]
	return e, ok
}

// Region returns the region of a failure domain; empty if the domain doesn't exist.
func (v *View) Region(domain string) string {
	return v.regions[domain]
}
