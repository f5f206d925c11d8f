// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package config

import (
	"strings"
)

// Diff returns the lines that differ between two files, with "-" before those of a and "+"
// before those of b. It skips the common beginning and the common end, and compares the
// remaining lines by their longest common subsequence. If these are too many for that, it
// returns all of them.
func Diff(a, b string) []string {
	x, y := strings.Split(a, "\n"), strings.Split(b, "\n")
	for len(x) > 0 && len(y) > 0 && x[0] == y[0] {
		x, y = x[1:], y[1:]
	}
	for len(x) > 0 && len(y) > 0 && x[len(x)-1] == y[len(y)-1] {
		x, y = x[:len(x)-1], y[:len(y)-1]
	}
	if len(x)*len(y) > maxTableCells {
		return append(prefixLines("-", x), prefixLines("+", y)...)
	}
	return listDifferences(x, y, lcsLengths(x, y))
}

// maxTableCells is the maximum number of cells in the table of subsequence lengths.
const maxTableCells = 16 << 20

// prefixLines returns the lines with a sign before each.
func prefixLines(sign string, lines []string) []string {
	out := make([]string, 0, len(lines))
	for _, l := range lines {
		out = append(out, sign+l)
	}
	return out
}

// lcsLengths returns a table whose cell [i][j] is the length of the longest common subsequence
// of x[i:] and y[j:].
func lcsLengths(x, y []string) [][]int32 {
	t := make([][]int32, len(x)+1)
	for i := range t {
		t[i] = make([]int32, len(y)+1)
	}
	for i := len(x) - 1; i >= 0; i-- {
		for j := len(y) - 1; j >= 0; j-- {
			if x[i] == y[j] {
				t[i][j] = t[i+1][j+1] + 1
			} else {
				t[i][j] = max(t[i+1][j], t[i][j+1])
			}
		}
	}
	return t
}

// listDifferences returns the lines that are not part of the longest common subsequence.
func listDifferences(x, y []string, t [][]int32) []string {
	var out []string
	i, j := 0, 0
	for i < len(x) && j < len(y) {
		switch {
		case x[i] == y[j]:
			i++
			j++
		case t[i+1][j] >= t[i][j+1]:
			out = append(out, "-"+x[i])
			i++
		default:
			out = append(out, "+"+y[j])
			j++
		}
	}
	out = append(out, prefixLines("-", x[i:])...)
	return append(out, prefixLines("+", y[j:])...)
}
