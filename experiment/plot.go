// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/linkmast/linkmast/emulator"
)

// The size of plots.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WriteWindowPlot writes a plot in SVG with a line for each row: the share of the worth
// that it keeps in each window of the day.
func WriteWindowPlot(out io.Writer, rows []Row) error {
	lines := make(map[string]plotter.XYs)
	for _, r := range rows {
		name := fmt.Sprintf("%s %s ×%g", r.Sheet, r.Variant, r.Load)
		for i, kept := range r.Windows {
			lines[name] = append(lines[name], plotter.XY{X: float64(i) * emulator.Window.Seconds(), Y: kept})
		}
	}
	return writePlot(out, "Worth kept over the day", "seconds", lines)
}

// WriteLoadPlot writes a plot in SVG of the score of each sheet and variant over the load.
func WriteLoadPlot(out io.Writer, rows []Row) error {
	lines := make(map[string]plotter.XYs)
	for _, r := range rows {
		name := r.Sheet + " " + r.Variant
		lines[name] = append(lines[name], plotter.XY{X: r.Load, Y: r.Score})
	}
	return writePlot(out, "Worth kept over load", "times the usual load", lines)
}

// writePlot writes a plot of lines, which are labelled with their keys, in SVG.
func writePlot(out io.Writer, title, x string, lines map[string]plotter.XYs) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = "part of the worth"
	p.Legend.Top = false
	for i, name := range slices.Sorted(maps.Keys(lines)) {
		l, err := plotter.NewLine(lines[name])
		if err != nil {
			return errors.Wrap(err, name)
		}
		l.Color = plotutil.Color(i)
		l.Dashes = plotutil.Dashes(i)
		p.Add(l)
		p.Legend.Add(name, l)
	}
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return errors.Wrap(err, "write plot")
	}
	if _, err := w.WriteTo(out); err != nil {
		return errors.Wrap(err, "write plot")
	}
	return nil
}
