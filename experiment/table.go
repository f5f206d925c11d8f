// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"github.com/linkmast/linkmast/emulator"
)

// WriteTable writes rows as a table. With causes, it appends what each kind loses by each
// cause, in thousandths of the worth of the day.
func WriteTable(out io.Writer, rows []Row, causes bool) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "sheet\tload\tvariant\tfigure\tspread\tgain\t±\tday\tkinds\tsilent %")
	for i := range rows {
		r := &rows[i]
		fmt.Fprintf(w, "%s\t%g\t%s\t%.4f\t%.3f\t%+.4f\t%.4f\t%.4f\t%.3f\t%.1f\n", r.Sheet, r.Load, r.Variant, r.Score,
			r.Spread, r.Gain, r.Error, r.Day, r.Kinds, 100*r.Silent)
	}
	if causes {
		for i := range rows {
			writeCauses(w, &rows[i])
		}
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return nil
}

// minLoss is the smallest loss that WriteTable lists, as a share of the worth of the day.
const minLoss = 0.0005

// writeCauses writes the losses of a row by kind and cause, without those below minLoss.
func writeCauses(w io.Writer, r *Row) {
	for kind, lost := range r.Lost {
		for c, part := range lost {
			if part >= minLoss {
				fmt.Fprintf(w, "%s\t%g\t%s\tkind %d\t%s\t%.1f ‰\n", r.Sheet, r.Load, r.Variant, kind, emulator.Cause(c), 1000*part)
			}
		}
	}
}

// WriteJSON writes rows as a JSON array.
func WriteJSON(out io.Writer, rows []Row) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	if err := e.Encode(rows); err != nil {
		return errors.Wrap(err, "encode rows")
	}
	return nil
}
