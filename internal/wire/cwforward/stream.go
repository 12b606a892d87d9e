package cwforward

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwmemory"
	"cicadawalk.example/cicadawalk/internal/proxy/cwmemoryguard"
)

// Limits of a stream.
const (
	// shortObject is the length in bytes up to which an object is read without a charge.
	shortObject = 64 << 10
	// readCopies is how often the bytes of an object are kept while it is read: in the decoder's
	// buffer, which grows by doubling, and as the body of the message.
	readCopies = 3
	// memoryWait is how long reading an object waits for memory. Other objects wait behind it, and
	// the instance at the other end gives the connection up after a little longer.
	memoryWait = 150 * time.Millisecond
	// memoryPoll is the time between two attempts to get the memory.
	memoryPoll = 5 * time.Millisecond
	// clientWriteTimeout and serverWriteTimeout bound the write of an object. A client gives up an
	// instance that does not answer in that time; a client that is paused for a moment still gets
	// its answers.
	clientWriteTimeout = 250 * time.Millisecond
	serverWriteTimeout = time.Second
)

// NoMemoryError reports that a connection was closed since there was no memory for a message on it.
type NoMemoryError struct{ Cause error }

func (e *NoMemoryError) Error() string { return "no memory for a message: " + e.Cause.Error() }

// Unwrap returns Cause.
func (e *NoMemoryError) Unwrap() error { return e.Cause }

// stream reads and writes the objects of a connection. It implements jsonrpc2.ObjectStream. It
// charges the objects that it reads, and bounds the time of a write: a write to an instance that
// has stopped reading would block, and with it all that is written after it.
type stream struct {
	conn         net.Conn
	writeTimeout time.Duration
	in           objectReader
	decoder      *json.Decoder
}

func newStream(conn net.Conn, memory *cwmemoryguard.Holder, writeTimeout time.Duration) *stream {
	s := &stream{conn: conn, writeTimeout: writeTimeout, in: objectReader{conn: conn, memory: memory}}
	s.decoder = json.NewDecoder(&s.in)
	return s
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	defer s.in.end()
	err := s.decoder.Decode(v)
	if s.in.length > shortObject {
		// A decoder never gives the room in its buffer back.
		s.decoder = json.NewDecoder(io.MultiReader(s.decoder.Buffered(), &s.in))
	}
	return err
}

// WriteObject implements jsonrpc2.ObjectStream. After an error the connection is closed, since a
// part of the object may have been written.
func (s *stream) WriteObject(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if err = s.conn.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err == nil {
		_, err = s.conn.Write(append(b, '\n'))
	}
	if err != nil {
		_ = s.conn.Close()
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// objectReader reads the objects of a connection and charges those that are long.
type objectReader struct {
	conn   net.Conn
	memory *cwmemoryguard.Holder
	// length is the number of bytes since the last object, and charged the bytes that are charged
	// for them.
	length  int
	charged int64
}

// Read implements io.Reader.
func (r *objectReader) Read(b []byte) (int, error) {
	if err := r.charge(); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(b)
	r.length += n
	return n, err
}

// charge charges what was read, and waits for the memory if necessary.
func (r *objectReader) charge() error {
	n := readCopies*int64(r.length) - r.charged
	if r.length <= shortObject || n <= 0 {
		return nil
	}
	for until := time.Now().Add(memoryWait); ; time.Sleep(memoryPoll) {
		err := r.memory.Charge(cwmemory.Message, n)
		if err == nil {
			r.charged += n
			return nil
		}
		if time.Now().After(until) {
			return &NoMemoryError{Cause: err}
		}
	}
}

// end records the end of an object.
func (r *objectReader) end() {
	r.memory.Release(cwmemory.Message, r.charged)
	r.length, r.charged = 0, 0
}
