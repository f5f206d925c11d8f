// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package config

import (
	"strings"
)

// Diff returns the lines that differ between two files, "-" before those of
// the first and "+" before those of the second, by a longest common
// subsequence. Beginnings and ends that are alike are left out first, which
// keeps the table small for the usual small change; when what is left is too
// large for the table, all of it is listed.
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

// maxTableCells bounds the cells of the table of a comparison.
const maxTableCells = 16 << 20

func prefixLines(sign string, lines []string) []string {
	out := make([]string, 0, len(lines))
	for _, l := range lines {
		out = append(out, sign+l)
	}
	return out
}

// lcsLengths returns the length of the longest common subsequence of each pair of
// remainders.
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

// listDifferences lists what is not part of the longest common subsequence.
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
