// Package cwframe reads the messages of the PostgreSQL protocol one by one, so that the length of a
// message is known before there is memory for it.
package cwframe

import (
	"bufio"
	"encoding/binary"
	"io"
)

const (
	// StartupHeader and MessageHeader are the lengths of the headers of a start-up message and of
	// all later ones, in bytes. A header ends with the length of the message, which counts itself.
	StartupHeader = lengthField
	MessageHeader = 1 + lengthField
	lengthField   = 4
)

// Header is the header of a message.
type Header struct {
	// Type is the type byte; zero for a start-up message.
	Type byte
	// Length is the length of the body in bytes; negative if the header is malformed.
	Length int
}

// Reader reads messages. As an io.Reader it ends each read at the end of a message at the latest,
// so that what reads from it never has a part of the next one.
type Reader struct {
	in *bufio.Reader
	// headerLength is the length of the next header.
	headerLength int
	// Admit, if set, is called with each header before the message is read. Its error is that of
	// the read.
	Admit func(Header) error
	// left is the number of bytes of the message that were not read.
	left int
}

// NewReader returns a reader with a buffer of a size in bytes, whose first message has a header of
// headerLength.
func NewReader(in io.Reader, size, headerLength int) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, size), headerLength: headerLength}
}

// SetHeaderLength sets the length of the headers of the next messages.
func (r *Reader) SetHeaderLength(n int) { r.headerLength = n }

// Next waits for the header of the next message, which is still to be read. After an error, for
// example by a deadline, it can be called again.
func (r *Reader) Next() (Header, error) {
	b, err := r.in.Peek(r.headerLength)
	if err != nil {
		if err == io.EOF && len(b) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return Header{}, err
	}
	h := Header{Length: int(int32(binary.BigEndian.Uint32(b[len(b)-lengthField:]))) - lengthField}
	if len(b) == MessageHeader {
		h.Type = b[0]
	}
	return h, nil
}

// Skip drops the next message. After an error it can be called again.
func (r *Reader) Skip() error {
	if r.left == 0 {
		h, err := r.Next()
		if err != nil {
			return err
		}
		r.left = r.headerLength + max(0, h.Length)
	}
	n, err := r.in.Discard(r.left)
	r.left -= n
	return err
}

// Read implements io.Reader.
func (r *Reader) Read(b []byte) (int, error) {
	if r.left == 0 {
		h, err := r.Next()
		if err != nil {
			return 0, err
		}
		if r.Admit != nil {
			if err := r.Admit(h); err != nil {
				return 0, err
			}
		}
		r.left = r.headerLength + max(0, h.Length)
	}
	n, err := r.in.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}
