package cwlog

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// Guards against requests that block because the reader of the log has stopped.
// Lines are dropped instead.
func TestStoppedReaderDoesNotBlockWrites(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r, out := io.Pipe()
	t.Cleanup(func() { _ = r.Close() })
	w := NewWriter(out, clock)
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() { w.Run(stop); close(ended) }()
	for range 2 * maxBufferedLines / maxLinesPerKind {
		for range maxLinesPerKind {
			n, err := w.Write([]byte("level=info msg=statementFailed id=1\n"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, n, qt.Equals, 36)
		}
		clock.Advance(time.Second)
	}
	qt.Assert(t, r.Close(), qt.IsNil)
	close(stop)
	<-ended
}

// Many lines of one kind don't displace those of others, and the number of dropped
// lines is reported.
func TestLineLimitOfEachKind(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var out bytes.Buffer
	w := NewWriter(&out, clock)
	for range maxLinesPerKind + 60 {
		_, _ = w.Write([]byte("msg=statementFailed id=1\n"))
	}
	_, _ = w.Write([]byte("msg=primaryKnown term=2\n"))
	clock.Advance(time.Second)
	_, _ = w.Write([]byte("msg=statementFailed id=2\n"))
	stop := make(chan struct{})
	close(stop)
	w.Run(stop)
	qt.Assert(t, strings.Count(out.String(), "id=1"), qt.Equals, maxLinesPerKind)
	qt.Assert(t, out.String(), qt.Contains, "msg=primaryKnown term=2")
	qt.Assert(t, out.String(), qt.Contains, "msg=linesLeftOut kind=statementFailed lines=60")
	qt.Assert(t, out.String(), qt.Contains, "id=2")
}
