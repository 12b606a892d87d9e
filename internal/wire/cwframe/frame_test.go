package cwframe

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// message returns a message with a type byte.
func message(msgType byte, body string) string {
	b := binary.BigEndian.AppendUint32([]byte{msgType}, uint32(lengthField+len(body)))
	return string(b) + body
}

// Guards against a read that takes a part of the next message, whose memory nobody has admitted.
func TestReadEndsWithTheMessage(t *testing.T) {
	first, second := message('Q', strings.Repeat("a", 1000)), message('S', "")
	r := NewReader(strings.NewReader(first+second), 16, MessageHeader)
	var admitted []Header
	r.Admit = func(h Header) error {
		admitted = append(admitted, h)
		return nil
	}
	b := make([]byte, 4000)
	n, err := io.ReadAtLeast(r, b, len(first))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(b[:n]), qt.Equals, first)
	qt.Assert(t, admitted, qt.DeepEquals, []Header{{Type: 'Q', Length: 1000}})
	rest, err := io.ReadAll(r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(rest), qt.Equals, second)
}

// Guards against the rest of a message that was not admitted being taken for another one.
func TestRefusedMessageIsSkipped(t *testing.T) {
	refused := errors.New("no memory")
	r := NewReader(strings.NewReader(message('Q', strings.Repeat("Q\x00\x00\x00\x04", 5000))+message('S', "")), 16, MessageHeader)
	r.Admit = func(h Header) error {
		if h.Length > 100 {
			return refused
		}
		return nil
	}
	_, err := r.Read(make([]byte, 10))
	qt.Assert(t, err, qt.Equals, refused)
	qt.Assert(t, r.Skip(), qt.IsNil)
	h, err := r.Next()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, h, qt.Equals, Header{Type: 'S'})
}

// Guards against a header that is lost when a deadline passes in the middle of it.
func TestHeaderInParts(t *testing.T) {
	whole := message('Q', "x")
	in := &parts{parts: [][]byte{[]byte(whole[:3]), nil, []byte(whole[3:])}}
	r := NewReader(in, 16, MessageHeader)
	_, err := r.Next()
	qt.Assert(t, err, qt.Equals, errDeadline)
	b, err := io.ReadAll(r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(b, []byte(whole)), qt.IsTrue)
}

var errDeadline = errors.New("deadline")

// parts is a connection on which parts arrive one by one; nil is a deadline that passes.
type parts struct{ parts [][]byte }

func (p *parts) Read(b []byte) (int, error) {
	if len(p.parts) == 0 {
		return 0, io.EOF
	}
	part := p.parts[0]
	p.parts = p.parts[1:]
	if part == nil {
		return 0, errDeadline
	}
	return copy(b, part), nil
}
