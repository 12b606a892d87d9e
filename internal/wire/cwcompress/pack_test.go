package cwcompress

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func sampleRoutes(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"host":"h%07d","kind":"primary","service":"s%d","timeoutMs":1500},`, i, i%31)
	}
	return b.Bytes()
}

func TestCompress(t *testing.T) {
	value := sampleRoutes(20_000)
	packed, err := Compress(value)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(packed) < len(value)/5, qt.IsTrue, qt.Commentf("%d of %d bytes", len(packed), len(value)))
	got, err := Decompress(packed)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(got, value), qt.IsTrue)
}

// Guards against memory exhaustion. Another instance sends a few bytes that decompress
// to gigabytes.
func TestDecompressIsBounded(t *testing.T) {
	packed, err := Compress(make([]byte, maxDecompressedSize+1))
	qt.Assert(t, err, qt.IsNil)
	_, err = Decompress(packed)
	qt.Assert(t, err, qt.IsNotNil)
}

func FuzzDecompress(f *testing.F) {
	packed, err := Compress(sampleRoutes(100))
	qt.Assert(f, err, qt.IsNil)
	f.Add(packed)
	f.Add([]byte("no frame"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if out, err := Decompress(b); err == nil && len(out) > maxDecompressedSize {
			t.Fatalf("%d bytes", len(out))
		}
	})
}
