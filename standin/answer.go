// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// answerToken returns token i of the answer to a prompt with hash h.
func answerToken(h uint64, i int) string {
	const spread = 0x9e3779b97f4a7c15
	v := (h + uint64(i)*spread) >> 48
	return " w" + strconv.FormatUint(v, 36)
}

// Answer returns the answer of n tokens that every Engine gives to a prompt. It depends on the
// prompt, so a caller can detect the answer to another prompt.
func Answer(prompt string, n int) string {
	h := xxhash.Sum64String(prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(answerToken(h, i))
	}
	return b.String()
}
