// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package quarantine keeps requests from endpoints that crash the endpoints which run them.
//
// A request is known again by its Identity: its path, who pays for it, and its body. Callers
// name each try anew, send it to any instance, and try again when an endpoint breaks off,
// so that nothing else links the crashes.
package quarantine
