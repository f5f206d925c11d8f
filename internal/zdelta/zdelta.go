// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

// Package zdelta packs texts, alone or as what they differ in from another text
// that the reader has (zstd, RFC 8878, with the other text as its dictionary).
package zdelta

import (
	"math/bits"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

// MaxBytes is the size of the largest text that is unpacked, in bytes.
const MaxBytes = 8 << 20

// dictID names the dictionary of deltas; there is only ever one.
const dictID = 1

// The bounds of the compressor's window, in bytes.
const (
	// minWindow is enough for short texts.
	minWindow = 1 << 16
	// maxWindow spans a text and its base, both of the largest size.
	maxWindow = 2 * MaxBytes
)

// window returns the size of a window that spans n bytes: a power of two.
func window(n int) int {
	w := 1 << bits.Len(uint(n))
	return min(max(w, minWindow), maxWindow)
}

// Pack compresses text. With base, the result is a delta that only a reader who has
// base can unpack.
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

// Unpack reverses Pack; base must be that of Pack. It fails on what is damaged, or
// larger than MaxBytes when unpacked.
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
