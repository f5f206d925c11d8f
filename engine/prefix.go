// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the number of prompt bytes that one block of the prefix cache
// covers.
const blockBytes = BlockTokens * TokenBytes

// hashBytes is the length of the hash of a block, in bytes.
const hashBytes = 8

// BlockHashes returns the hashes of the complete blocks of a prompt, or of the
// first limit of them if there are more. The hash h_i of block i, counted from 1,
// covers the scope and the prompt from its start to the end of the block. H is
// xxHash, and | is concatenation:
//
//	h_0 = H(scope), h_i = H(h_{i-1} | block_i)
//
// Equal prompts of different scopes have different hashes.
func BlockHashes(scope, prompt string, limit int) []uint64 {
	n := min(len(prompt)/blockBytes, limit)
	out := make([]uint64, 0, n)
	h := xxhash.Sum64String(scope)
	var d xxhash.Digest
	var link [hashBytes]byte
	for i := range n {
		d.Reset()
		binary.LittleEndian.PutUint64(link[:], h)
		// The write methods of xxhash.Digest never return an error.
		_, _ = d.Write(link[:])
		_, _ = d.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		h = d.Sum64()
		out = append(out, h)
	}
	return out
}
