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

// report holds the fields of a player's report that the table shows.
type report struct {
	// Worth is the score of the day after the deduction of prices.
	Worth float64 `json:"G"`
	// Served is the share of the attainable score that was reached.
	Served float64 `json:"served"`
	// Breaks holds the violated rules by name.
	Breaks map[string]any `json:"breaks"`
	// Fault says why the score of the day is invalid; nil for a valid day.
	Fault any `json:"fault"`
	// Short lists the parts of the day that scored less than their minimum.
	Short []any `json:"short"`
	// Parts holds rows of name, weight and value, of which Worth is composed.
	Parts [][]any `json:"parts"`
	// Prices holds rows of name, amount and price; the prices are deducted from Worth.
	Prices [][]any `json:"prices"`
}

// parseReport decodes a report in JSON.
func parseReport(data []byte) (report, error) {
	var r report
	if err := json.Unmarshal(data, &r); err != nil {
		return report{}, errors.Wrap(err, "decode report")
	}
	return r, nil
}

// rowValue returns the value in the row with the given name, or zero if there is no such row.
func rowValue(rows [][]any, name string) float64 {
	for _, row := range rows {
		if len(row) == 3 && row[0] == name {
			v, _ := row[2].(float64)
			return v
		}
	}
	return 0
}

// priceTotal returns the sum of all prices of a report.
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

// meanAndDeviation returns the mean and the sample standard deviation of a value of the
// reports. The deviation of a single report is zero.
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

// columns lists the columns between the spread and the faults. Each shows the mean of the
// value that its function returns.
var columns = []struct {
	name   string
	figure func(*report) float64
}{
	{"day", func(r *report) float64 { return rowValue(r.Parts, "whole day") }},
	{"windows", func(r *report) float64 { return rowValue(r.Parts, "worst windows") }},
	{"kind", func(r *report) float64 { return rowValue(r.Parts, "worst class") }},
	{"prices", (*report).priceTotal},
}

// writeTable writes a row for each day and a last row for all days together.
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

// writeRow writes one row for the given reports.
func writeRow(w io.Writer, name string, list []report) {
	mean, deviation := meanAndDeviation(list, func(r *report) float64 { return r.Worth })
	fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f", name, len(list), mean, deviation)
	for _, c := range columns {
		mean, _ := meanAndDeviation(list, c.figure)
		fmt.Fprintf(w, "\t%.3f", mean)
	}
	fmt.Fprintf(w, "\t%s\n", faults(list))
}

// faults returns the names of the violated rules, the parts below their minimum and the faults
// of the reports, sorted and without duplicates, or "-" if there are none.
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
