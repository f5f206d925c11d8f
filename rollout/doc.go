// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package rollout distributes published configurations to all instances.
//
// A configuration is a record in a stream of the platform's log, and its generation is the offset
// of the record. The records before it determine whether a record is accepted (see Evaluator), so
// all instances come to the same result:
//
//   - A publication that replaces no particular generation is accepted.
//   - A publication that replaces generation G is accepted if G is in force at that point of the
//     stream. If two operators replace G at the same time, one of them is therefore refused.
//   - A publication that carries a delta against the file of G is accepted by the same rule. It
//     can't be decoded unless G is in force.
//   - A repeat writes the file of the generation in force to the log again, before the log's
//     retention time has passed. It changes the configuration only of a reader that has missed
//     records or doesn't know the format of one.
//
// A newer generation replaces an older one and never the reverse, even if an instance that was
// paused repeats an old generation.
//
// A few instances of each failure domain read the log. All instances also pull from random peers.
// A peer with a newer configuration answers with that configuration, as a delta if it still has the
// caller's file. An instance that has had no successful read or pull for StaleAfter reads the log
// itself.
package rollout
