// Package delta compresses a value, if possible against an earlier version that the receiver already has.
//
// The values are documents that are written as a whole although little changes from one version to the next. Against its
// previous version, a document of some hundred kilobytes takes some hundred bytes.
//
// # Usage
//
//	e := delta.Encode(value, base) // base may be nil
//	value, err := delta.Decode(e, base)
package delta

import (
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"

	"bilberrylug.dev/core/fault"
)

// Format names the form of an encoded value.
type Format uint32

// The formats.
const (
	// Plain is the value itself.
	Plain Format = iota
	// Zstd is a zstd frame. If there is a base, it is the frame's dictionary.
	Zstd
)

const (
	// minCompressed is the size in bytes below which a value without a base is not compressed, since the encoder needs some
	// megabytes of memory.
	minCompressed = 16 << 10
	// MaxBytes bounds a decoded value.
	MaxBytes = 8 << 20
	// dictionaryID identifies the base in the frame. Sender and receiver name the base themselves.
	dictionaryID = 1
)

// Encoded is an encoded value.
type Encoded struct {
	Format Format
	// Size is the size of the value in bytes.
	Size int
	Data []byte
}

// Encode encodes a value against a base, or without one if base is nil.
func Encode(value, base []byte) Encoded {
	plain := Encoded{Format: Plain, Size: len(value), Data: value}
	if len(value) < minCompressed {
		return plain
	}
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(len(value) + len(base))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		// The options are constant except for the window and the base, which are within the library's bounds.
		return plain
	}
	defer func() { _ = w.Close() }()
	return Encoded{Format: Zstd, Size: len(value), Data: w.EncodeAll(value, nil)}
}

// windowSize returns the power of two that covers a number of bytes.
func windowSize(n int) int {
	return min(zstd.MaxWindowSize, max(zstd.MinWindowSize, 1<<bits.Len(uint(n))))
}

// Decode returns the value. It fails if the data is damaged, does not fit the base, or decodes to more than MaxBytes.
func Decode(e Encoded, base []byte) ([]byte, error) {
	if e.Size > MaxBytes {
		return nil, fault.New(fault.ReplyTooLarge, "value of %d bytes", e.Size)
	}
	switch e.Format {
	case Plain:
		return checkSize(e.Data, e.Size)
	case Zstd:
		value, err := decompress(e, base)
		if err != nil {
			return nil, err
		}
		return checkSize(value, e.Size)
	default:
		return nil, fault.New(fault.ReplyInvalid, "value in the unknown format %d", e.Format)
	}
}

func decompress(e Encoded, base []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(MaxBytes)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("zstd reader: %w", err)
	}
	defer r.Close()
	value, err := r.DecodeAll(e.Data, make([]byte, 0, max(0, e.Size)))
	if err != nil {
		return nil, fault.Wrap(fault.ReplyInvalid, err, "compressed value")
	}
	return value, nil
}

func checkSize(value []byte, size int) ([]byte, error) {
	if len(value) != size {
		return nil, fault.New(fault.ReplyInvalid, "value of %d bytes instead of %d", len(value), size)
	}
	return value, nil
}
