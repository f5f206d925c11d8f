// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package experiment

import (
	"context"
	"math"

	"golang.org/x/sync/errgroup"

	"github.com/linkmast/linkmast/emulator"
)

// Row is the result of one variant on one sheet at one load.
type Row struct {
	// Sheet, Load and Variant identify the row.
	Sheet   string  `json:"sheet"`
	Load    float64 `json:"load"`
	Variant string  `json:"variant"`
	// Score is the mean of the days' scores, and Spread their standard deviation.
	Score  float64 `json:"figure"`
	Spread float64 `json:"spread"`
	// Gain is the mean difference from the score of the first variant on the same seed, and
	// Error half the width of its confidence interval of 95 %.
	Gain  float64 `json:"gain"`
	Error float64 `json:"error"`
	// Day is the mean share of all worth that is kept, and Kinds that of each kind.
	Day   float64   `json:"day"`
	Kinds []float64 `json:"kinds"`
	// Windows is the mean share that is kept in each period of length emulator.Window.
	Windows []float64 `json:"windows"`
	// Silent is the mean number of replaced silent attempts per request.
	Silent float64 `json:"silent"`
	// Lost is, by kind and cause, the mean lost worth as a share of the worth of the day.
	Lost [][]float64 `json:"lost"`
}

// BoundName is the name of the variant in the rows of the bound.
const BoundName = "bound"

// normalQuantile95 is the quantile of the normal distribution for a two-sided interval of
// 95 %.
const normalQuantile95 = 1.96

// Run plays all days of a plan, up to jobs of them concurrently. The rows are in the order
// of sheets, loads and variants. It returns an error only if ctx ends.
func Run(ctx context.Context, p *Plan, sheets []*emulator.Sheet, jobs int) ([]Row, error) {
	var rows []Row
	for _, s := range sheets {
		for _, load := range p.Loads {
			more, err := compare(ctx, p, s.Scaled(load), load, jobs)
			if err != nil {
				return nil, err
			}
			rows = append(rows, more...)
		}
	}
	return rows, nil
}

// compare plays all variants on one sheet, computes the bound if the plan asks for it, and
// returns their rows.
func compare(ctx context.Context, p *Plan, s *emulator.Sheet, load float64, jobs int) ([]Row, error) {
	names := make([]string, 0, len(p.Variants)+1)
	for _, v := range p.Variants {
		names = append(names, v.Name)
	}
	if p.Bound {
		names = append(names, BoundName)
	}
	days := make([][]*emulator.Result, len(names))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(jobs, 1))
	for i := range names {
		days[i] = make([]*emulator.Result, p.Seeds)
		for k := range p.Seeds {
			g.Go(func() error {
				if err := ctx.Err(); err != nil {
					return err
				}
				days[i][k] = p.playDay(s, i, uint64(k+1))
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	rows := make([]Row, 0, len(names))
	for i, name := range names {
		rows = append(rows, summarize(s, load, name, days[i], days[0]))
	}
	return rows, nil
}

// playDay plays the requests of a seed with the variant at an index. At the index after the
// last variant, it returns the bound.
func (p *Plan) playDay(s *emulator.Sheet, variant int, seed uint64) *emulator.Result {
	requests := emulator.Draw(s, seed)
	if variant == len(p.Variants) {
		return emulator.Bounded(s, requests)
	}
	return emulator.Play(s, requests, p.Variants[variant].settings(), seed)
}

// summarize returns the row of a variant. The parameter days holds the results of the variant, and
// the parameter first those of the first variant, both in the order of seeds.
func summarize(s *emulator.Sheet, load float64, name string, days, first []*emulator.Result) Row {
	row := Row{
		Sheet:   s.Name,
		Load:    load,
		Variant: name,
		Kinds:   make([]float64, len(s.Kinds)),
	}
	scores := make([]float64, len(days))
	gains := make([]float64, len(days))
	n := float64(len(days))
	for k, d := range days {
		scores[k] = d.Score()
		gains[k] = scores[k] - first[k].Score()
		row.Day += d.DayShare() / n
		row.Silent += float64(d.SilentAttempts) / float64(max(len(d.Outcomes), 1)) / n
		for i := range row.Kinds {
			row.Kinds[i] += d.KindShare(i) / n
		}
		row.Windows = addMean(row.Windows, d.WindowShares(), n)
		for i, lost := range d.LostShares() {
			if len(row.Lost) <= i {
				row.Lost = append(row.Lost, nil)
			}
			row.Lost[i] = addMean(row.Lost[i], lost, n)
		}
	}
	row.Score, row.Spread = meanAndDeviation(scores)
	gain, spread := meanAndDeviation(gains)
	row.Gain = gain
	row.Error = normalQuantile95 * spread / math.Sqrt(n)
	return row
}

// addMean adds values divided by n to sum, which may be nil, and returns the sum.
func addMean(sum, values []float64, n float64) []float64 {
	if sum == nil {
		sum = make([]float64, len(values))
	}
	for i, v := range values {
		sum[i] += v / n
	}
	return sum
}

// meanAndDeviation returns the mean and the standard deviation of a sample. The deviation
// of a single value is 0.
func meanAndDeviation(values []float64) (float64, float64) {
	n := float64(len(values))
	m, squares := 0.0, 0.0
	for _, v := range values {
		m += v / n
	}
	for _, v := range values {
		squares += (v - m) * (v - m)
	}
	if n < 2 {
		return m, 0
	}
	return m, math.Sqrt(squares / (n - 1))
}
