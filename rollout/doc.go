// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package rollout brings published configurations into force everywhere.
//
// A configuration is a record in a stream of the platform's log, and its
// generation is the record's offset. Whether a record is accepted follows from
// the stream alone (Judge), so every instance comes to the same result:
//
//   - a publication that replaces no particular generation is accepted;
//   - one that replaces generation G is accepted when G is in force where the
//     record stands, so that of two racing operators one is refused;
//   - one that carries only the delta against the file of G is accepted by the
//     same rule, and means nothing where G is not in force;
//   - a repeat of an accepted generation G changes nothing unless G is newer
//     than what the reader has; it carries the file beyond the log's retention.
//
// A newer generation always wins and an older one never does, also when an
// instance that was paused appends an old one again.
//
// Some instances of each failure domain read the log; all others pull from
// random peers, which answer with a delta against the file that the caller
// has. An instance that hears of nothing for StaleAfter reads the log itself.
package rollout
