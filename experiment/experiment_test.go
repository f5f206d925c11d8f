// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package experiment_test

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/linkmast/linkmast/experiment"
)

// sheetDir is the directory of the emulator's sheets.
const sheetDir = "../emulator/sheets"

// runPlan runs a plan, given as TOML, on a copy of the smallest sheet that is cut to 6 s.
func runPlan(t *testing.T, plan string) ([]experiment.Row, error) {
	t.Helper()
	dir := t.TempDir()
	data, err := os.ReadFile(filepath.Join(sheetDir, "few.toml"))
	if err != nil {
		t.Fatal(err)
	}
	short := strings.Replace(string(data), `length = "34s"`, `length = "6s"`, 1)
	if err := os.WriteFile(filepath.Join(dir, "few.toml"), []byte(short), 0o600); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "plan.toml")
	if err := os.WriteFile(path, []byte(plan), 0o600); err != nil {
		t.Fatal(err)
	}
	p, list, err := experiment.Load(path)
	if err != nil {
		return nil, err
	}
	return experiment.Run(t.Context(), p, list, 2)
}

// TestRun checks that a variant gains nothing against itself, that another one differs
// under overload, and that the bound is not below the first variant.
func TestRun(t *testing.T) {
	is := is.New(t)
	rows, err := runPlan(t, `
sheets = ["few.toml"]
seeds = 3
loads = [0.5, 1.5]
bound = true
variants = [{ name = "a" }, { name = "same" }, { name = "other", worth = { fixed = 20.0 } }]
`)
	is.NoErr(err)
	is.Equal(len(rows), 8)
	for _, r := range rows {
		switch r.Variant {
		case "a", "same":
			is.Equal(r.Gain, 0.0)
			is.Equal(r.Error, 0.0)
		case "other":
			is.True(r.Error > 0 || r.Load < 1)
		case experiment.BoundName:
			is.True(r.Gain >= 0)
		}
		is.Equal(len(r.Kinds), 3)
		is.Equal(len(r.Windows), 3)
	}
	testWriters(t, rows)
}

// testWriters checks that the table, JSON and plots of rows are well-formed.
func testWriters(t *testing.T, rows []experiment.Row) {
	t.Helper()
	is := is.New(t)
	var table, data bytes.Buffer
	is.NoErr(experiment.WriteTable(&table, rows, true))
	is.True(strings.Count(table.String(), "\n") > len(rows))
	is.NoErr(experiment.WriteJSON(&data, rows))
	var again []experiment.Row
	is.NoErr(json.Unmarshal(data.Bytes(), &again))
	is.Equal(again, rows)
	for _, write := range []func(io.Writer, []experiment.Row) error{experiment.WriteWindowPlot, experiment.WriteLoadPlot} {
		var svg bytes.Buffer
		is.NoErr(write(&svg, rows))
		var root struct{ XMLName xml.Name }
		is.NoErr(xml.Unmarshal(svg.Bytes(), &root))
		is.Equal(root.XMLName.Local, "svg")
	}
}

// TestPlanErrors checks that the error of a plan names the fault.
func TestPlanErrors(t *testing.T) {
	for _, row := range []struct {
		name string
		plan string
	}{
		{"sheets are missing", `seeds = 1`},
		{"seeds must be", `sheets = ["few.toml"]`},
		{"variants are missing", "sheets = [\"few.toml\"]\nseeds = 1"},
		{"empty or repeated", "sheets = [\"few.toml\"]\nseeds = 1\nvariants = [{ name = \"a\" }, { name = \"a\" }]"},
		{"pace", "sheets = [\"few.toml\"]\nseeds = 1\nvariants = [{ name = \"a\", pace = \"guessed\" }]"},
		{"load", "sheets = [\"few.toml\"]\nseeds = 1\nloads = [0.0]\nvariants = [{ name = \"a\" }]"},
		{"no such file", "sheets = [\"none.toml\"]\nseeds = 1\nvariants = [{ name = \"a\" }]"},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			_, err := runPlan(t, row.plan)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), row.name))
		})
	}
}
