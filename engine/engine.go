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
	// ID names the attempt. It is unique over all instances and restarts.
	ID string `json:"id"`
	// Holder names the instance that dispatched the attempt.
	Holder string `json:"holder"`
	// Instance names the endpoint instance that is meant; an engine that is
	// another instance refuses the attempt. Empty means any.
	Instance string `json:"instance,omitempty"`
	// Model names the model.
	Model string `json:"model"`
	// Adapter names the adapter; empty means none.
	Adapter string `json:"adapter,omitempty"`
	// Prompt is the whole prompt.
	Prompt string `json:"prompt"`
	// MaxTokens bounds the answer, in tokens.
	MaxTokens int `json:"max_tokens"`
	// Priority orders attempts within the engine; lower runs first.
	Priority int `json:"priority"`
	// Members are the ids of reservations on the other engines of a group.
	Members []string `json:"members,omitempty"`
}

// Reservation holds memory on one member of a group.
type Reservation struct {
	// ID names the reservation; Cancel returns its memory.
	ID string `json:"id"`
	// Holder names the instance that made the reservation.
	Holder string `json:"holder"`
	// Tokens is how much context is held.
	Tokens int `json:"tokens"`
}

// Chunk is one line of an answer.
type Chunk struct {
	// Attempt names the attempt that the chunk is part of.
	Attempt string `json:"a"`
	// Seq is the chunk's number, from 1. It is zero on a sign of life.
	Seq int `json:"s,omitempty"`
	// Text is the text of one token.
	Text string `json:"t,omitempty"`
	// End is why the answer ended; empty while it goes on.
	End string `json:"end,omitempty"`
	// PromptTokens is the prompt's length; set at the end.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	// CachedTokens is how much of the prompt was cached; set at the end.
	CachedTokens int `json:"cached_tokens,omitempty"`
}

// Held is one attempt or reservation that an engine holds memory for.
type Held struct {
	// ID names the attempt or reservation.
	ID string `json:"id"`
	// Holder names the instance that dispatched it.
	Holder string `json:"holder"`
	// Bytes is the memory held.
	Bytes int64 `json:"bytes"`
	// Age is how long it has been held.
	Age time.Duration `json:"age"`
}

// Status is an engine's report. It lags behind the engine.
type Status struct {
	// Instance names the endpoint instance.
	Instance string `json:"instance"`
	// HeldBytes is the memory that attempts and reservations hold.
	HeldBytes int64 `json:"held_bytes"`
	// PrefillTokens is the prefill work that is left.
	PrefillTokens int `json:"prefill_tokens"`
	// Digest is the Digest of the ids of all that holds memory.
	Digest uint64 `json:"digest"`
	// Running lists what holds memory, when the list was asked for.
	Running []Held `json:"running,omitempty"`
	// Model and Version are what is loaded.
	Model string `json:"model"`
	// Version is the version of the weights that are loaded.
	Version string `json:"version"`
	// Adapters are the adapters that are loaded.
	Adapters []string `json:"adapters"`
}

// Order asks an engine to load a model, version or adapter.
type Order struct {
	// Fence is an offset of the log. An engine that checks fences refuses an
	// order below the highest fence it has seen.
	Fence int64 `json:"fence"`
	// Model, Version and Adapters are what should be loaded.
	Model string `json:"model"`
	// Version is the version of the weights.
	Version string `json:"version"`
	// Adapters are the adapters that should be loaded.
	Adapters []string `json:"adapters"`
}

// CacheEvent tells of one block of the prefix cache.
type CacheEvent struct {
	// Seq numbers the events from 1; a jump is a gap.
	Seq int64 `json:"seq"`
	// Block is the hash of the prompt up to the end of the block.
	Block uint64 `json:"block"`
	// Dropped is true when the block has left the cache.
	Dropped bool `json:"dropped"`
}

// Digest returns a hash of a set of ids: the exclusive or of the hash of each,
// so that the order does not matter and equal sets have equal digests.
func Digest(ids iter.Seq[string]) uint64 {
	d := uint64(0)
	for id := range ids {
		d ^= xxhash.Sum64String(id)
	}
	return d
}

// Stream is the answer to an attempt.
type Stream interface {
	// Next returns the next chunk. It returns io.EOF after the last.
	Next() (Chunk, error)
	// Close lets go of the stream. It cancels nothing.
	Close() error
}

// Client talks to one engine.
type Client interface {
	// Run starts an attempt. An error is a *RunError.
	Run(ctx context.Context, a Attempt) (Stream, error)
	// Resume returns the chunks of a running attempt from seq on.
	Resume(ctx context.Context, id string, seq int) (Stream, error)
	// Cancel ends an attempt or reservation. It is no error when the engine
	// knows none of that id.
	Cancel(ctx context.Context, id string) error
	// Reserve holds memory for a group. An error is a *RunError.
	Reserve(ctx context.Context, r Reservation) error
	// Status returns the engine's report, with the list of what holds memory
	// or without it.
	Status(ctx context.Context, list bool) (Status, error)
	// Order asks for a model, version or adapter.
	Order(ctx context.Context, o Order) error
	// Events returns the cache events after seq.
	Events(ctx context.Context, after int64) ([]CacheEvent, error)
}

// RunError is why an engine did not start or finish an attempt.
type RunError struct {
	// Ran states what is known of the start.
	Ran problem.Ran
	// Code is the engine's own code, or "unreachable".
	Code string
	// Err is the cause.
	Err error
}

// Error returns the code and the cause.
func (e *RunError) Error() string {
	return fmt.Sprintf("engine: %s (%s): %v", e.Code, e.Ran, e.Err)
}

// Unwrap returns the cause.
func (e *RunError) Unwrap() error {
	return e.Err
}

// The codes of refusals that are part of the protocol.
const (
	RefusedMemory    = "memory"
	RefusedInstance  = "instance"
	RefusedModel     = "model"
	RefusedFence     = "fence"
	RefusedDuplicate = "doubled"
	RefusedFault     = "fault"
	Unreachable      = "unreachable"
)

// TokenBytes is how many bytes of prompt count as one token where no
// tokenizer is at hand.
const TokenBytes = 4

// Tokens returns how many tokens a prompt of n bytes counts as.
func Tokens(n int) int {
	return (n + TokenBytes - 1) / TokenBytes
}

// BlockTokens is the size of one block of the prefix cache, in tokens.
const BlockTokens = 256
