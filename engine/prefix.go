// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the size of one block of the prefix cache, in bytes.
const blockBytes = BlockTokens * TokenBytes

// hashBytes is the length of a block's hash.
const hashBytes = 8

// BlockHashes returns a hash for each whole block of a prompt, at most limit of
// them. Each hash covers the prompt from its start to the end of the block:
//
//	h_0 = H(scope), h_i = H(h_{i-1} | block_i)
//
// Prompts of different scopes share no block.
func BlockHashes(scope, prompt string, limit int) []uint64 {
	n := min(len(prompt)/blockBytes, limit)
	out := make([]uint64, 0, n)
	h := xxhash.Sum64String(scope)
	var d xxhash.Digest
	var link [hashBytes]byte
	for i := range n {
		d.Reset()
		binary.LittleEndian.PutUint64(link[:], h)
		// A Digest's Write never fails.
		_, _ = d.Write(link[:])
		_, _ = d.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		h = d.Sum64()
		out = append(out, h)
	}
	return out
}
