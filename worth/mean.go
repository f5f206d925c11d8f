// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package worth

// mean is a weighted mean in which older samples count less. The zero value is empty.
type mean struct {
	sum    float64
	weight float64
}

// add adds a sample. The weight of each earlier sample shrinks by the fraction 1/window.
func (m *mean) add(v, window float64) {
	kept := 1 - 1/window
	m.sum = kept*m.sum + v
	m.weight = kept*m.weight + 1
}

// valueOr returns the mean, or fallback when it is empty.
func (m *mean) valueOr(fallback float64) float64 {
	if m.weight == 0 {
		return fallback
	}
	return m.sum / m.weight
}
