// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package worth

// mean is a mean of what came of late. The zero value has seen nothing.
type mean struct {
	sum    float64
	weight float64
}

// add adds a value; earlier ones count less by one part in so many.
func (m *mean) add(v, over float64) {
	kept := 1 - 1/over
	m.sum = kept*m.sum + v
	m.weight = kept*m.weight + 1
}

// valueOr returns the mean, valueOr another value when there is none.
func (m *mean) valueOr(otherwise float64) float64 {
	if m.weight == 0 {
		return otherwise
	}
	return m.sum / m.weight
}
