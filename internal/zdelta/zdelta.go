// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package zdelta compresses texts with zstd (RFC 8878), optionally as a delta to a base text
// that the reader has. The base serves as the dictionary.
package zdelta

import (
	"math/bits"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

// MaxBytes is the size of the largest text that Unpack accepts, in bytes.
const MaxBytes = 8 << 20

// dictID is the dictionary ID that all deltas carry.
const dictID = 1

// Bounds of the compressor's window, in bytes.
const (
	// minWindow is the smallest window, used for short texts.
	minWindow = 1 << 16
	// maxWindow spans a text and a base of MaxBytes each.
	maxWindow = 2 * MaxBytes
)

// window returns the window size for n bytes, a power of two between minWindow and maxWindow.
func window(n int) int {
	w := 1 << bits.Len(uint(n))
	return min(max(w, minWindow), maxWindow)
}

// Pack compresses text. With a base that is not empty, the result is a delta that Unpack can
// only read with the same base.
func Pack(text, base []byte) ([]byte, error) {
	opts := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(window(len(text) + len(base))),
		zstd.WithLowerEncoderMem(true),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(dictID, base))
	}
	enc, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	out := enc.EncodeAll(text, nil)
	if err := enc.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return out, nil
}

// Unpack decompresses the result of Pack, given the same base. It fails if data is damaged, is a
// delta to another base, or holds a text larger than MaxBytes. It ignores the base if data is not a
// delta.
func Unpack(data, base []byte) ([]byte, error) {
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(MaxBytes),
		zstd.WithDecoderMaxWindow(maxWindow),
		zstd.WithDecoderLowmem(true),
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(dictID, base))
	}
	dec, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	defer dec.Close()
	out, err := dec.DecodeAll(data, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	return out, nil
}
