// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const sample = `{"G": 0.5, "served": 0.7, "breaks": {}, "fault": null,
	"parts": [["whole day", 0.6, 0.7], ["worst windows", 0.25, 0.2], ["worst class", 0.15, 0.6]],
	"prices": [["calls", 900.0, 0.006], ["machine-seconds", 639.0, 0.010]]}`

const brokenSample = `{"G": 0.7, "breaks": {"DRAIN": ["a line"]}, "fault": "no request is served", "short": ["one kind"]}`

func mustParse(t *testing.T, text string) report {
	t.Helper()
	r, err := parseReport([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestTable(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	a, b := mustParse(t, sample), mustParse(t, brokenSample)
	is.NoErr(writeTable(&out, []string{"one", "two"}, [][]report{{a, a}, {b, b}}))
	is.Equal(strings.Join(strings.Fields(out.String()), " "),
		"day plays worth spread day windows kind prices broken "+
			"one 2 0.500 0.000 0.700 0.200 0.600 0.016 - "+
			"two 2 0.700 0.000 0.000 0.000 0.000 0.000 DRAIN,no request is served,short: one kind "+
			"all 4 0.600 0.115 0.350 0.100 0.300 0.008 DRAIN,no request is served,short: one kind")
}

func TestBadReport(t *testing.T) {
	is := is.New(t)
	_, err := parseReport([]byte("{"))
	is.True(err != nil)
}
