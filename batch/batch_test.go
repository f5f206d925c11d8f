// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package batch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/batch"
)

func model() batch.Model {
	return batch.Model{
		StepsPerPass:       43,
		Step:               1020 * time.Microsecond,
		PerSequence:        2260 * time.Nanosecond,
		PerThousandContext: 4310 * time.Nanosecond,
		PrefillPerSecond:   206_000,
		PerMillionPairs:    138 * time.Microsecond,
	}
}

// TestPrefillTime compares prefill times with worked examples, to a millisecond.
func TestPrefillTime(t *testing.T) {
	m := model()
	for _, row := range []struct {
		tokens int
		n      int
		ms     int64
	}{
		{0, 1, 0},
		{5_000, 1, 25},
		{45_000, 1, 358},
		{133_000, 1, 1866},
		{133_000, 8, 233},
		{400_000, 16, 811},
	} {
		t.Run(fmt.Sprint(row.tokens, "/", row.n), func(t *testing.T) {
			is := is.New(t)
			is.Equal(m.PrefillTime(row.tokens, row.n).Milliseconds(), row.ms)
		})
	}
}

func TestPassTime(t *testing.T) {
	is := is.New(t)
	m := model()
	is.Equal(m.PassTime(0, 0), m.Step)
	is.Equal(m.PassTime(1, 0), 43*(m.Step+m.PerSequence))
	is.Equal(m.PassTime(16, 80_000).Milliseconds(), int64(60))
}

func ExampleModel_PrefillTime() {
	m := batch.Model{
		PrefillPerSecond: 200_000,
		PerMillionPairs:  100 * time.Microsecond,
	}
	fmt.Println(m.PrefillTime(100_000, 1).Round(time.Millisecond), m.PrefillTime(100_000, 4).Round(time.Millisecond))
	// Output: 1s 250ms
}
