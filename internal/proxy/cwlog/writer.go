// Package cwlog carries log lines to an output that may be slow or stopped.
//
// A Writer never blocks its callers. Lines wait in a bounded buffer; what does
// not fit, or exceeds the budget of its kind, is left out and counted, and a
// line says so. Failures and changes of what the process believes have a budget
// of their own each, so that many lines of one kind cannot crowd out another.
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
	// buffered is the number of lines that wait at most: some seconds of the
	// full budget, about 400 kB.
	buffered = 2000
	// perKind is the number of lines of one kind in a second. Ten failed
	// requests a second show what goes wrong; a hundred show nothing more.
	perKind = 40
	// maxKinds bounds the kinds that are counted; kinds are words of the code.
	maxKinds = 200
)

// Writer is an io.Writer that never blocks. Each Write is one line. Make one
// with NewWriter and let it run.
type Writer struct {
	out   io.Writer
	clock clockwork.Clock
	lines chan []byte

	mu sync.Mutex
	// second is the present second; used counts its lines by kind, and dropped
	// what was left out since the last note.
	second  time.Time
	used    map[string]int
	dropped map[string]int
}

// NewWriter returns a Writer before out.
func NewWriter(out io.Writer, clock clockwork.Clock) *Writer {
	return &Writer{
		out: out, clock: clock, lines: make(chan []byte, buffered),
		used: make(map[string]int), dropped: make(map[string]int),
	}
}

// Run writes lines until stop is closed, and then what still waits.
func (w *Writer) Run(stop <-chan struct{}) {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-stop:
			for {
				select {
				case line := <-w.lines:
					w.write(line)
				default:
					return
				}
			}
		}
	}
}

func (w *Writer) write(line []byte) {
	// An output that fails cannot be told about anywhere else.
	_, _ = w.out.Write(line)
}

// Write implements io.Writer. It always takes the whole line.
func (w *Writer) Write(line []byte) (int, error) {
	kind := kindOf(line)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn()
	if w.used[kind] >= perKind || len(w.used) >= maxKinds {
		w.dropped[kind]++
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
		w.used[kind]++
	default:
		w.dropped[kind]++
	}
	return len(line), nil
}

// turn begins a new second, and notes what was left out in the one before. The
// caller holds mu.
func (w *Writer) turn() {
	now := w.clock.Now()
	if now.Sub(w.second) < time.Second {
		return
	}
	w.second = now
	clear(w.used)
	for kind, n := range w.dropped {
		note := fmt.Sprintf("level=warn msg=linesLeftOut kind=%s lines=%d\n", kind, n)
		select {
		case w.lines <- []byte(note):
			delete(w.dropped, kind)
		default:
		}
	}
}

// kindOf returns the message of a line of key=value pairs.
func kindOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, []byte("msg="))
	if !ok {
		return "other"
	}
	kind, _, _ := bytes.Cut(rest, []byte(" "))
	return string(bytes.TrimSpace(kind))
}
