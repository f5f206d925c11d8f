// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package engine

import (
	"fmt"
)

// AnswerError reports that an answer violates the protocol.
type AnswerError struct {
	// Reason describes the violation.
	Reason string
}

// Error returns the reason with a prefix.
func (e *AnswerError) Error() string {
	return "bad answer: " + e.Reason
}

// AnswerChecker checks the chunks of one answer. Attempt must be set before the
// first use.
type AnswerChecker struct {
	// Attempt is the attempt id that every chunk must carry.
	Attempt string

	next  int
	ended bool
}

// Accept checks the chunk k and reports whether it is the next one of the answer.
// It returns false for keep-alive chunks and for chunks that have been accepted
// before. It returns an *AnswerError if k belongs to another attempt, leaves a gap
// or follows the last chunk.
func (c *AnswerChecker) Accept(k Chunk) (bool, error) {
	if k.Attempt != c.Attempt {
		return false, &AnswerError{
			Reason: fmt.Sprintf("chunk of attempt %q in the answer to %q", k.Attempt, c.Attempt),
		}
	}
	if k.Seq == 0 {
		return false, nil
	}
	want := c.Next()
	if k.Seq < want {
		return false, nil
	}
	if c.ended {
		return false, &AnswerError{
			Reason: "chunk after the end",
		}
	}
	if k.Seq > want {
		return false, &AnswerError{
			Reason: fmt.Sprintf("chunk %d where %d was due", k.Seq, want),
		}
	}
	c.next = want + 1
	c.ended = k.End != ""
	return true, nil
}

// Next returns the sequence number of the next chunk. It starts at 1.
func (c *AnswerChecker) Next() int {
	return max(c.next, 1)
}

// Ended reports whether the last chunk of the answer has been accepted.
func (c *AnswerChecker) Ended() bool {
	return c.ended
}
