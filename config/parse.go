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

// Problem is one thing that is wrong with a file.
type Problem struct {
	// Line is the line of the file, from 1; zero where no line is to blame.
	Line int
	// Path names the value, such as "customers[2].tier".
	Path string
	// Reason says what is wrong.
	Reason string
}

// String returns the line, the path and the reason.
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Reason)
}

// Invalid lists all that is wrong with a file.
type Invalid struct {
	// Problems are ordered by line.
	Problems []Problem
}

// Error returns a line for each problem.
func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Parse reads and checks a file. It returns an *Invalid that lists all that is
// wrong when the file is refused.
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
		// Unknown keys stop the strict decoder's error, not its work.
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

// decodeProblems turns a decoder's error into problems. It returns false when
// the file could not be read to its end.
func decodeProblems(err error) ([]Problem, bool) {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out []Problem
		for i := range strict.Errors {
			out = append(out, decodeProblem(&strict.Errors[i], "unknown key"))
		}
		return out, true
	}
	var one *toml.DecodeError
	if errors.As(err, &one) {
		return []Problem{decodeProblem(one, one.Error())}, false
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

// scanLines returns the line of each table and key, by path. A file that does
// not scan yields what was read so far.
func scanLines(data []byte) map[string]int {
	lines := make(map[string]int)
	counts := make(map[string]int)
	var p unstable.Parser
	p.Reset(data)
	place := newLineStarts(data)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		name, line := keyOf(e, place)
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

// lineStarts are the offsets at which lines begin.
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

// line returns the line, from 1, of an offset.
func (p lineStarts) line(offset int) int {
	return sort.SearchInts(p, offset+1)
}

// keyOf returns the dotted key of an expression and its line.
func keyOf(e *unstable.Node, place lineStarts) (string, int) {
	var parts []string
	line := 0
	it := e.Key()
	for it.Next() {
		n := it.Node()
		parts = append(parts, string(n.Data))
		if line == 0 {
			line = place.line(int(n.Raw.Offset))
		}
	}
	return strings.Join(parts, "."), line
}
