// Package cwpack compresses large rows on their way between instances.
package cwpack

import (
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// Above is the size in bytes from which a value is worth packing: a desired state
// of a hundred routes. Smaller ones fit into a few packets as they are.
const Above = 16 << 10

// maxValue bounds what a packed value may become, in bytes.
const maxValue = 64 << 20

// TooLargeError reports a packed value that would become too large.
type TooLargeError struct{ Size uint64 }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("a packed value has %d bytes, more than %d", e.Size, maxValue)
}

// newEncoder returns an encoder, which takes some 2 MB and is used for one value:
// large ones change seldom, and most instances pack none. Its window bounds that
// memory, and routes look alike over much less.
func newEncoder() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(128<<10))
}

var decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxValue))
})

// Pack compresses a value.
func Pack(value []byte) ([]byte, error) {
	e, err := newEncoder()
	if err != nil {
		return nil, err
	}
	defer func() { _ = e.Close() }()
	return e.EncodeAll(value, nil), nil
}

// Unpack returns what Pack compressed.
func Unpack(packed []byte) ([]byte, error) {
	var h zstd.Header
	if err := h.Decode(packed); err != nil {
		return nil, err
	}
	if h.FrameContentSize > maxValue {
		return nil, &TooLargeError{Size: h.FrameContentSize}
	}
	d, err := decoder()
	if err != nil {
		return nil, err
	}
	return d.DecodeAll(packed, nil)
}
