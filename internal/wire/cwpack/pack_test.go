package cwpack

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

func TestPack(t *testing.T) {
	value := sampleRoutes(20_000)
	packed, err := Pack(value)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(packed) < len(value)/5, qt.IsTrue, qt.Commentf("%d of %d bytes", len(packed), len(value)))
	got, err := Unpack(packed)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(got, value), qt.IsTrue)
}

// Guards against memory exhaustion. Another instance sends a few bytes that decompress
// to gigabytes.
func TestUnpackIsBounded(t *testing.T) {
	packed, err := Pack(make([]byte, maxUnpackedSize+1))
	qt.Assert(t, err, qt.IsNil)
	_, err = Unpack(packed)
	qt.Assert(t, err, qt.IsNotNil)
}

func FuzzUnpack(f *testing.F) {
	packed, err := Pack(sampleRoutes(100))
	qt.Assert(f, err, qt.IsNil)
	f.Add(packed)
	f.Add([]byte("no frame"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if out, err := Unpack(b); err == nil && len(out) > maxUnpackedSize {
			t.Fatalf("%d bytes", len(out))
		}
	})
}
