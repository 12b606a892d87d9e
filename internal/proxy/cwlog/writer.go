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
	case w.lines <- bytes.Clone(line):
		w.written[kind]++
	default:
		w.dropped[kind]++
	}
	return len(line), nil
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
