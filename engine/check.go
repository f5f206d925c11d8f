// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package engine

import (
	"fmt"
)

// AnswerError is a defect of an answer.
type AnswerError struct {
	// Reason says what is wrong.
	Reason string
}

// Error returns the reason.
func (e *AnswerError) Error() string {
	return "bad answer: " + e.Reason
}

// AnswerChecker follows the chunks of one answer. The zero value is not usable; give
// the attempt's id.
type AnswerChecker struct {
	// Attempt is the id that every chunk must carry.
	Attempt string

	next  int
	ended bool
}

// Accept states whether a chunk is new and next in order. A chunk that was
// accepted before is neither new nor an error. A foreign id, a gap and a chunk
// after the end are an *AnswerError.
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

// Next returns the sequence number that is due.
func (c *AnswerChecker) Next() int {
	return max(c.next, 1)
}

// Ended states whether the end has come.
func (c *AnswerChecker) Ended() bool {
	return c.ended
}
