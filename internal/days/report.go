// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// report is what is read of one played day.
type report struct {
	// Worth is what the day earned, less prices.
	Worth float64 `json:"G"`
	// Served is the part of what was owed that was earned.
	Served float64 `json:"served"`
	// Breaks are the broken rules.
	Breaks map[string]any `json:"breaks"`
	// Fault is why the day counts for nothing; nil for a sound one.
	Fault any `json:"fault"`
	// Short are the parts of the day that earned less than their floor.
	Short []any `json:"short"`
	// Parts are the rows of name, weight and figure that Worth is made of.
	Parts [][]any `json:"parts"`
	// Prices are the rows of name, amount and price that Worth is less by.
	Prices [][]any `json:"prices"`
}

// parseReport reads a report.
func parseReport(data []byte) (report, error) {
	var r report
	if err := json.Unmarshal(data, &r); err != nil {
		return report{}, errors.Wrap(err, "report")
	}
	return r, nil
}

// rowValue returns the figure in the row of a name; zero when there is none.
func rowValue(rows [][]any, name string) float64 {
	for _, row := range rows {
		if len(row) == 3 && row[0] == name {
			v, _ := row[2].(float64)
			return v
		}
	}
	return 0
}

// priceTotal returns what a report lost to prices.
func (r *report) priceTotal() float64 {
	s := 0.0
	for _, row := range r.Prices {
		if len(row) == 3 {
			v, _ := row[2].(float64)
			s += v
		}
	}
	return s
}

// meanAndDeviation returns the mean of a figure, and its standard deviation.
func meanAndDeviation(list []report, figure func(*report) float64) (mean, deviation float64) {
	for i := range list {
		mean += figure(&list[i])
	}
	mean /= float64(len(list))
	for i := range list {
		d := figure(&list[i]) - mean
		deviation += d * d
	}
	if len(list) > 1 {
		deviation = math.Sqrt(deviation / float64(len(list)-1))
	}
	return mean, deviation
}

// columns are the figures of the table beside worth.
var columns = []struct {
	name   string
	figure func(*report) float64
}{
	{"day", func(r *report) float64 { return rowValue(r.Parts, "whole day") }},
	{"windows", func(r *report) float64 { return rowValue(r.Parts, "worst windows") }},
	{"kind", func(r *report) float64 { return rowValue(r.Parts, "worst class") }},
	{"prices", (*report).priceTotal},
}

// writeTable writes a row for each day, and one for all.
func writeTable(out io.Writer, days []string, reports [][]report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "day\tplays\tworth\tspread")
	for _, c := range columns {
		fmt.Fprintf(w, "\t%s", c.name)
	}
	fmt.Fprintln(w, "\tbroken")
	for i, day := range days {
		writeRow(w, day, reports[i])
	}
	writeRow(w, "all", slices.Concat(reports...))
	return w.Flush()
}

// writeRow writes the writeRow of some plays.
func writeRow(w io.Writer, name string, list []report) {
	mean, deviation := meanAndDeviation(list, func(r *report) float64 { return r.Worth })
	fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f", name, len(list), mean, deviation)
	for _, c := range columns {
		mean, _ := meanAndDeviation(list, c.figure)
		fmt.Fprintf(w, "\t%.3f", mean)
	}
	fmt.Fprintf(w, "\t%s\n", faults(list))
}

// faults returns the rules that any of the plays broke and what fell short of its
// floor, in order; a dash for none.
func faults(list []report) string {
	var names []string
	for _, r := range list {
		for name := range r.Breaks {
			names = append(names, name)
		}
		for _, part := range r.Short {
			names = append(names, fmt.Sprint("short: ", part))
		}
		if r.Fault != nil {
			names = append(names, fmt.Sprint(r.Fault))
		}
	}
	if len(names) == 0 {
		return "-"
	}
	slices.Sort(names)
	return strings.Join(slices.Compact(names), ",")
}
