// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package config

import (
	"bytes"
	"fmt"
	"sort"
	"strings"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is an invalid value or key in a file.
type Problem struct {
	// Line is the line in the file, counted from 1; zero if the problem has no line.
	Line int
	// Path is the path of the value, such as "customers[2].tier".
	Path string
	// Reason describes the problem.
	Reason string
}

// String returns the line, the path and the reason.
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Reason)
}

// Invalid is the error for a file with problems.
type Invalid struct {
	// Problems are sorted by line.
	Problems []Problem
}

// Error returns one line for each problem.
func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Parse decodes and checks a file. The error of a rejected file is an *Invalid with all problems
// that were found.
func Parse(data []byte) (*File, error) {
	if len(data) > MaxBytes {
		return nil, invalid(0, "file", fmt.Sprintf("is %d bytes, the limit is %d", len(data), MaxBytes))
	}
	f := &File{}
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	var problems []Problem
	if err := dec.Decode(f); err != nil {
		var ok bool
		if problems, ok = decodeProblems(err); !ok {
			return nil, &Invalid{
				Problems: problems,
			}
		}
		// The decoder reports unknown keys only after it has decoded the rest of the file.
	}
	f.setDefaults()
	c := checker{
		data:     data,
		problems: problems,
	}
	c.check(f)
	if len(c.problems) > 0 {
		sort.SliceStable(c.problems, func(i, j int) bool {
			return c.problems[i].Line < c.problems[j].Line
		})
		return nil, &Invalid{
			Problems: c.problems,
		}
	}
	return f, nil
}

func invalid(line int, path, reason string) *Invalid {
	return &Invalid{
		Problems: []Problem{
			{
				Line:   line,
				Path:   path,
				Reason: reason,
			},
		},
	}
}

// decodeProblems converts a decoder's error to problems. It returns false if the error is not
// about unknown keys, because the decoder then has not decoded the whole file.
func decodeProblems(err error) ([]Problem, bool) {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out []Problem
		for i := range strict.Errors {
			out = append(out, decodeProblem(&strict.Errors[i], "unknown key"))
		}
		return out, true
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		return []Problem{decodeProblem(decodeErr, decodeErr.Error())}, false
	}
	return invalid(0, "file", err.Error()).Problems, false
}

func decodeProblem(e *toml.DecodeError, reason string) Problem {
	line, _ := e.Position()
	path := strings.Join(e.Key(), ".")
	if path == "" {
		path = "file"
	}
	return Problem{
		Line:   line,
		Path:   path,
		Reason: reason,
	}
}

// scanLines returns the line of each table and key, by path. If the file has a syntax error, it
// returns those before the error.
func scanLines(data []byte) map[string]int {
	lines := make(map[string]int)
	counts := make(map[string]int)
	var p unstable.Parser
	p.Reset(data)
	starts := newLineStarts(data)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		name, line := keyOf(e, starts)
		switch e.Kind {
		case unstable.Table:
			prefix = name + "."
			lines[name] = line
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d].", name, counts[name])
			lines[fmt.Sprintf("%s[%d]", name, counts[name])] = line
			counts[name]++
		case unstable.KeyValue:
			lines[prefix+name] = line
		}
	}
	return lines
}

// lineStarts are the offsets at which the lines of a file start.
type lineStarts []int

func newLineStarts(data []byte) lineStarts {
	p := lineStarts{0}
	for i, c := range data {
		if c == '\n' {
			p = append(p, i+1)
		}
	}
	return p
}

// line returns the line of an offset, counted from 1.
func (p lineStarts) line(offset int) int {
	return sort.SearchInts(p, offset+1)
}

// keyOf returns the dotted key of an expression and its line.
func keyOf(e *unstable.Node, starts lineStarts) (string, int) {
	var parts []string
	line := 0
	it := e.Key()
	for it.Next() {
		n := it.Node()
		parts = append(parts, string(n.Data))
		if line == 0 {
			line = starts.line(int(n.Raw.Offset))
		}
	}
	return strings.Join(parts, "."), line
}
