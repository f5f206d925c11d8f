// Copyright 2026 The Linkmast Authors. BSD 3-Clause licence, see LICENSE.

package rollout

import (
	"math/bits"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/linkmast/linkmast/config"
)

// dictID names the dictionary of deltas; there is only ever one.
const dictID = 1

// minWindow is the least window of the compressor, in bytes.
const minWindow = 1 << 16

// window returns a window that spans both files.
func window(n int) int {
	w := 1 << bits.Len(uint(n))
	return min(max(w, minWindow), config.MaxBytes*2)
}

// pack compresses text with zstd (RFC 8878). With base, the result is a delta
// that only a reader who has base can unpack.
func pack(text, base []byte) ([]byte, error) {
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

// unpack reverses pack. It fails on anything larger than a file may be.
func unpack(data, base []byte) ([]byte, error) {
	opts := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(config.MaxBytes),
		zstd.WithDecoderMaxWindow(config.MaxBytes * 2),
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
