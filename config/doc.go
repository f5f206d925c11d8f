// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package config holds the operators' configuration: a TOML file that defines customers, tiers,
// models, adapters, endpoints, failure domains and limits, and that is applied as a whole.
//
// Parse reports all problems that can be found in the file alone, each with its line. The result
// depends only on the file and the version of the file format, so that all instances with the
// same version accept the same files.
package config
