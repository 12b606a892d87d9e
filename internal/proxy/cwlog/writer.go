// Package cwlog writes log lines to an output that may be slow or blocked.
//
// A Writer never blocks its callers. Lines are queued in a bounded buffer. A line
// that doesn't fit, or exceeds the rate limit of its kind, is dropped, and another
// line reports the number of dropped lines. The kind of a line is its message (the
// value of msg). The limit applies to each kind separately, so that many lines of
// one kind don't displace those of another.
package cwlog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/jonboulle/clockwork"
)

// Bounds of a Writer.
const (
	// maxBufferedLines is the maximum number of queued lines: some seconds of lines at
	// the full rate, about 400 kB.
	maxBufferedLines = 2000
	// maxLinesPerKind is the maximum number of lines of one kind in a second. Ten lines
	// about failed requests show the problem; a hundred show nothing more.
	maxLinesPerKind = 40
	// maxLineBytes is the length from which a line is cut off. What a caller sends may be a
	// thousand times as long, and readers of logs give up on such lines.
	maxLineBytes = 16 << 10
	// maxKinds is the number of kinds in a second from which all lines are dropped. Kinds
	// are constants in the code, so there are fewer in practice.
	maxKinds = 200
)

// Writer is an io.Writer that never blocks. Each call of Write passes in one line.
// Make one with NewWriter and call Run. Its methods are safe for concurrent use.
type Writer struct {
	out   io.Writer
	clock clockwork.Clock
	lines chan []byte

	mu sync.Mutex
	// second is the start of the current second, written the number of lines queued in
	// it by kind, and dropped the number of dropped lines by kind that no line has
	// reported yet.
	second  time.Time
	written map[string]int
	dropped map[string]int
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer, clock clockwork.Clock) *Writer {
	return &Writer{
		out: out, clock: clock, lines: make(chan []byte, maxBufferedLines),
		written: make(map[string]int), dropped: make(map[string]int),
	}
}

// Run writes lines to the output until stop is closed, and then those that are
// still queued.
func (w *Writer) Run(stop <-chan struct{}) {
	for {
		select {
		case line := <-w.lines:
			w.writeOut(line)
		case <-stop:
			for {
				select {
				case line := <-w.lines:
					w.writeOut(line)
				default:
					return
				}
			}
		}
	}
}

func (w *Writer) writeOut(line []byte) {
	// There is nowhere else to report an error of the log's output.
	_, _ = w.out.Write(line)
}

// Write implements io.Writer. It never fails, and always reports the whole line as
// written, also if it drops it.
func (w *Writer) Write(line []byte) (int, error) {
	kind := kindOf(line)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startSecond()
	if w.written[kind] >= maxLinesPerKind || len(w.written) >= maxKinds {
		w.dropped[kind]++
		return len(line), nil
	}
	select {
	case w.lines <- printable(line):
		w.written[kind]++
	default:
		w.dropped[kind]++
	}
	return len(line), nil
}

// cutMark ends a line that was cut off.
const cutMark = " cutOff=true\n"

// printable returns a copy of a line of at most maxLineBytes, without the characters that end a
// line, or change its order, for some readers only: logfmt escapes just those of ASCII.
func printable(line []byte) []byte {
	out := bytes.Map(func(r rune) rune {
		if r >= 0x80 && (unicode.IsControl(r) || unicode.Is(unicode.Bidi_Control, r) || r == '\u2028' || r == '\u2029') {
			return unicode.ReplacementChar
		}
		return r
	}, line)
	if len(out) <= maxLineBytes {
		return out
	}
	return cutOff(out, maxLineBytes-len(cutMark)-len(`"`))
}

// cutOff returns a line without what is beyond the first n bytes. Only whole characters and
// escapes stay, and an open quotation is closed.
func cutOff(line []byte, n int) []byte {
	quoted, end := false, 0
	for end < n {
		_, size := utf8.DecodeRune(line[end:])
		switch {
		case quoted && bytes.HasPrefix(line[end:], []byte(`\u`)):
			size = len(`\u0000`)
		case quoted && line[end] == '\\':
			size = len(`\n`)
		}
		if end+size > n {
			break
		}
		if line[end] == '"' {
			quoted = !quoted
		}
		end += size
	}
	line = line[:end:end]
	if quoted {
		line = append(line, '"')
	}
	return append(line, cutMark...)
}

// startSecond starts a new second if the current one is over, and queues a line about
// the dropped lines of each kind. The caller holds mu.
func (w *Writer) startSecond() {
	now := w.clock.Now()
	if now.Sub(w.second) < time.Second {
		return
	}
	w.second = now
	clear(w.written)
	for kind, n := range w.dropped {
		report := fmt.Sprintf("level=warn msg=linesLeftOut kind=%s lines=%d\n", kind, n)
		select {
		case w.lines <- []byte(report):
			delete(w.dropped, kind)
		default:
		}
	}
}

// kindOf returns the message (msg) of a line of key=value pairs, or "other" if it
// has none.
func kindOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, []byte("msg="))
	if !ok {
		return "other"
	}
	kind, _, _ := bytes.Cut(rest, []byte(" "))
	return string(bytes.TrimSpace(kind))
}
