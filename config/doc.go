// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package config holds the operators' configuration: one TOML file that names
// customers, tiers, models, adapters, endpoints, failure domains and limits,
// and that is applied as a whole.
//
// Parse checks everything that can be checked from the file alone and reports
// all that is wrong at once, each with its line. The checks depend on nothing
// but the file and the format number, so that every node judges a file alike.
package config
