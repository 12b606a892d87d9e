package cwlog

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/go-logfmt/logfmt"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
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

// Guards against a log line that the text of a caller or a database ends, forges or makes too
// long to read.
func TestTextsStayInTheirLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.OneOf(
			rapid.SampledFrom([]string{"\n", "\r", "\u2028", "\u2029", "\u0085", "\u009b2J", "\u202e", "\x1b[2J", "\"", "\\", " msg=forged ", "\xff", "=", "é", strings.Repeat("x", 3000)}),
			rapid.String(),
		)
		text := strings.Join(rapid.SliceOfN(piece, 0, 12).Draw(t, "text"), "")
		var out bytes.Buffer
		w := NewWriter(&out, clockwork.NewFakeClock())
		log.NewWithOptions(w, log.Options{Formatter: log.LogfmtFormatter}).Info("statementFailed", "id", "5c", "why", text, "list", []string{text})
		stop := make(chan struct{})
		close(stop)
		w.Run(stop)
		line := out.String()
		if strings.Count(line, "\n") != 1 || !strings.HasSuffix(line, "\n") || strings.ContainsAny(line, "\r\x1b\u2028\u2029\u0085\u009b\u202e") || len(line) > maxLineBytes+1 {
			t.Fatalf("%d bytes: %.300q", len(line), line)
		}
		d := logfmt.NewDecoder(strings.NewReader(line))
		fields := map[string]string{}
		for d.ScanRecord() {
			for d.ScanKeyval() {
				fields[string(d.Key())] = string(d.Value())
			}
		}
		if d.Err() != nil || fields["msg"] != "statementFailed" || fields["id"] != "5c" {
			t.Fatalf("%v %q in %.300q", d.Err(), fields["msg"], line)
		}
	})
}
