package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// record is what the test writes down: what was sent, answered and run.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	// runs counts how often databases ran each statement.
	runs map[string]int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f), runs: make(map[string]int)}, nil
}

// line writes one line with the time since the begin.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// ran records that a database ran a statement.
func (r *record) ran(id, database, word, rest string) {
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.line("ran %s at %s: %s %s", id, database, word, rest)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// listen opens a listener, trying again for a while where the address is still in use.
func listen(address string) net.Listener {
	for try := 0; ; try++ {
		ln, err := net.Listen("tcp4", address)
		if err == nil {
			return ln
		}
		if try == 100 {
			panic(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
