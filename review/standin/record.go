package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, one event a line, with the time since
// its start in milliseconds.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{f: f, start: time.Now()}, err
}

// printf writes one line.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ms := float64(time.Since(r.start).Microseconds()) / 1000
	_, _ = fmt.Fprintf(r.f, "%10.1f %s\n", ms, fmt.Sprintf(format, args...))
}
