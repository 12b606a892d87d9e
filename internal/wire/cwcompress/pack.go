// Package cwcompress compresses large values that are sent between instances.
package cwcompress

import (
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// MinSize is the size in bytes from which values are compressed. It is the size of a
// desired state of 100 routes. Smaller values fit into a few packets uncompressed.
const MinSize = 16 << 10

// maxDecompressedSize is the largest uncompressed size that Decompress accepts, in
// bytes.
const maxDecompressedSize = 64 << 20

// TooLargeError reports a compressed value whose uncompressed size, in bytes, exceeds
// the limit of Decompress.
type TooLargeError struct{ Size uint64 }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("uncompressed value has %d bytes, more than %d", e.Size, maxDecompressedSize)
}

// newEncoder returns an encoder for one value. An encoder uses about 2 MB, and is not
// kept, because large values change rarely and most instances compress none. The window
// size limits that memory. Routes repeat over much shorter distances.
func newEncoder() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(128<<10))
}

var decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecompressedSize))
})

// Compress compresses a value with zstd.
func Compress(value []byte) ([]byte, error) {
	e, err := newEncoder()
	if err != nil {
		return nil, err
	}
	defer func() { _ = e.Close() }()
	return e.EncodeAll(value, nil), nil
}

// Decompress decompresses a value that was compressed by Compress. It returns a
// *TooLargeError if the result would exceed 64 MB, and an error of the decoder if the
// data is malformed.
func Decompress(packed []byte) ([]byte, error) {
	var h zstd.Header
	if err := h.Decode(packed); err != nil {
		return nil, err
	}
	if h.FrameContentSize > maxDecompressedSize {
		return nil, &TooLargeError{Size: h.FrameContentSize}
	}
	d, err := decoder()
	if err != nil {
		return nil, err
	}
	return d.DecodeAll(packed, nil)
}
