// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package engine

import (
	"context"
	"fmt"
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linkmast/linkmast/problem"
)

// Attempt is one try to answer one request on one engine.
type Attempt struct {
	// ID is the id of the attempt, unique over all instances and restarts.
	ID string `json:"id"`
	// Holder is the id of the instance that dispatched the attempt.
	Holder string `json:"holder"`
	// Instance is the id of the endpoint instance that may run the attempt. Any
	// other instance refuses it. Empty allows every instance.
	Instance string `json:"instance,omitempty"`
	// Model is the id of the model.
	Model string `json:"model"`
	// Adapter is the id of the adapter; empty means none.
	Adapter string `json:"adapter,omitempty"`
	// Prompt is the complete prompt.
	Prompt string `json:"prompt"`
	// MaxTokens bounds the length of the answer, in tokens.
	MaxTokens int `json:"max_tokens"`
	// Priority orders the attempts on the engine. Lower values run first.
	Priority int `json:"priority"`
	// Members lists the ids of the reservations on the other engines of a group
	// that runs the attempt jointly; empty for a single engine.
	Members []string `json:"members,omitempty"`
}

// Reservation reserves memory on one engine of a group that runs an attempt
// jointly.
type Reservation struct {
	// ID is the id of the reservation. Cancel releases its memory.
	ID string `json:"id"`
	// Holder is the id of the instance that made the reservation.
	Holder string `json:"holder"`
	// Tokens is the size of the reserved memory, in tokens of context.
	Tokens int `json:"tokens"`
}

// Chunk is one line of the answer to an attempt.
type Chunk struct {
	// Attempt is the id of the attempt that the chunk belongs to.
	Attempt string `json:"a"`
	// Seq is the sequence number of the chunk, starting at 1. It is zero for a
	// keep-alive chunk.
	Seq int `json:"s,omitempty"`
	// Text is the text of one token.
	Text string `json:"t,omitempty"`
	// End is the reason why the answer ended. It is empty on all chunks but the
	// last.
	End string `json:"end,omitempty"`
	// PromptTokens is the length of the prompt. It is set on the last chunk.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	// CachedTokens is how many tokens of the prompt were found in the prefix
	// cache. It is set on the last chunk.
	CachedTokens int `json:"cached_tokens,omitempty"`
}

// Held describes an attempt or a reservation that holds memory of an engine.
type Held struct {
	// ID is the id of the attempt or reservation.
	ID string `json:"id"`
	// Holder is the id of the instance that made it.
	Holder string `json:"holder"`
	// Bytes is the size of the held memory.
	Bytes int64 `json:"bytes"`
	// Age is the time since the engine accepted it.
	Age time.Duration `json:"age"`
}

// Status is a report of an engine on itself. It may be out of date when it
// arrives.
type Status struct {
	// Instance is the id of the endpoint instance.
	Instance string `json:"instance"`
	// HeldBytes is the memory that attempts and reservations hold together.
	HeldBytes int64 `json:"held_bytes"`
	// PrefillTokens is the number of prompt tokens that are not yet prefilled.
	PrefillTokens int `json:"prefill_tokens"`
	// Digest is the result of the function Digest for the ids of all attempts
	// and reservations that hold memory.
	Digest uint64 `json:"digest"`
	// Running lists the attempts and reservations that hold memory, if the
	// request asked for the list.
	Running []Held `json:"running,omitempty"`
	// Model is the id of the model that is loaded.
	Model string `json:"model"`
	// Version is the version of the model's weights that is loaded.
	Version string `json:"version"`
	// Adapters lists the ids of the adapters that are loaded.
	Adapters []string `json:"adapters"`
}

// Order tells an engine which model, version and adapters to load.
type Order struct {
	// Fence is a fencing token, an offset of the log. An engine that checks
	// fences refuses an order whose fence is below the highest one it has seen.
	Fence int64 `json:"fence"`
	// Model is the id of the model to load.
	Model string `json:"model"`
	// Version is the version of the model's weights to load.
	Version string `json:"version"`
	// Adapters lists the ids of the adapters to load.
	Adapters []string `json:"adapters"`
}

// CacheEvent reports that a block entered or left the prefix cache.
type CacheEvent struct {
	// Seq numbers the events, starting at 1. A skipped number means that an
	// event was lost.
	Seq int64 `json:"seq"`
	// Block is the hash of the prompt up to the end of the block, as returned by
	// BlockHashes.
	Block uint64 `json:"block"`
	// Dropped is true if the block left the cache, false if it entered.
	Dropped bool `json:"dropped"`
}

// Digest returns a hash of a set of ids, which doesn't depend on their order. It
// is the exclusive or of the hashes of the ids.
func Digest(ids iter.Seq[string]) uint64 {
	d := uint64(0)
	for id := range ids {
		d ^= xxhash.Sum64String(id)
	}
	return d
}

// Stream reads the answer to an attempt.
type Stream interface {
	// Next returns the next chunk, or io.EOF at the end of the stream. The stream may
	// end before the last chunk of the answer.
	Next() (Chunk, error)
	// Close closes the stream. It does not cancel the attempt.
	Close() error
}

// Client sends requests to one engine.
type Client interface {
	// Run starts an attempt and returns its answer. An error is a *RunError.
	Run(ctx context.Context, a Attempt) (Stream, error)
	// Resume returns the chunks of a running attempt from number seq on.
	Resume(ctx context.Context, id string, seq int) (Stream, error)
	// Cancel cancels the attempt or reservation with the id. It returns no error
	// if there is none.
	Cancel(ctx context.Context, id string) error
	// Reserve reserves memory for an attempt that a group of engines runs jointly. An
	// error is a *RunError.
	Reserve(ctx context.Context, r Reservation) error
	// Status returns the status of the engine. The status lists what holds memory
	// if list is true.
	Status(ctx context.Context, list bool) (Status, error)
	// Order tells the engine which model, version and adapters to load.
	Order(ctx context.Context, o Order) error
	// Events returns the events of the prefix cache that follow the event with the
	// number after. The engine may have discarded old events.
	Events(ctx context.Context, after int64) ([]CacheEvent, error)
}

// RunError reports that a request to an engine failed or was refused.
type RunError struct {
	// Ran states whether the attempt has run, as far as is known.
	Ran problem.Ran
	// Code is the code of the engine's refusal, RefusedFault if the response had
	// none, or Unreachable if there was no response.
	Code string
	// Err is the underlying error.
	Err error
}

// Error returns the code, the value of Ran and the underlying error.
func (e *RunError) Error() string {
	return fmt.Sprintf("engine: %s (%s): %v", e.Code, e.Ran, e.Err)
}

// Unwrap returns the underlying error.
func (e *RunError) Unwrap() error {
	return e.Err
}

// The codes of refusals in the protocol, and Unreachable, which means that there was
// no response.
const (
	RefusedMemory    = "memory"
	RefusedInstance  = "instance"
	RefusedModel     = "model"
	RefusedFence     = "fence"
	RefusedDuplicate = "doubled"
	RefusedFault     = "fault"
	Unreachable      = "unreachable"
)

// TokenBytes is the number of prompt bytes that count as one token, an estimate
// that needs no tokenizer.
const TokenBytes = 4

// Tokens returns the estimated number of tokens of a prompt of n bytes, rounded
// up.
func Tokens(n int) int {
	return (n + TokenBytes - 1) / TokenBytes
}

// BlockTokens is the size of a block of the prefix cache, in tokens.
const BlockTokens = 256
