package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Load and times of the case.
const (
	// memoryLimit is memory_mb of the settings, in kilobytes.
	memoryLimit = 284 << 10
	// valueCount is the number of values that the client sets, and valueLength the length of each
	// in bytes; a message has at most 1 MiB.
	valueCount, valueLength = 256, 1_000_000
	// shortLength is the length of the values without the trouble.
	shortLength = 100
	// restartDelay is how long the platform waits before it starts an ended process again.
	restartDelay = time.Second
	// watchInterval is the time between two looks at the memory of a process.
	watchInterval = 20 * time.Millisecond
	// roundCount is the number of sessions in which the client sets the values.
	roundCount = 12
	// endsOfFault and machinesOfFault are the ends by themselves, at as many machines, from which
	// on the day has a fault.
	endsOfFault, machinesOfFault = 3, 2
)

// supervisor does what the platform does with a process that takes more memory than it may:
// it kills the process and starts it again.
type supervisor struct {
	w *world
	m *machine

	mu   sync.Mutex
	ends int
}

func (s *supervisor) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(watchInterval):
		}
		if kb := residentMemory(s.m.cmd.Process.Pid); kb > memoryLimit {
			s.m.kill()
			s.mu.Lock()
			s.ends++
			s.w.rec.line("%s takes %d kB, more than %d kB, and is killed for the %d. time", s.m.name, kb, memoryLimit, s.ends)
			s.mu.Unlock()
			time.Sleep(restartDelay)
			if err := s.m.start(s.w.program, s.m.settings(zones, s.w.storeAddress, s.m.api.address(), false)); err != nil {
				s.w.rec.line("%s does not start: %v", s.m.name, err)
				return
			}
		}
	}
}

func (s *supervisor) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ends
}

// residentMemory returns the memory of a process in kilobytes; zero if it has ended.
func residentMemory(pid int) int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	kb := 0
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if n, err := fmt.Sscanf(lines.Text(), "VmRSS: %d kB", &kb); n == 1 && err == nil {
			return kb
		}
	}
	return 0
}

// largeValues lets one client set long values in its session, at one machine after the other. It
// checks that processes do not end for it.
func largeValues(w *world, trouble bool) (bool, error) {
	stop := make(chan struct{})
	var supervisors []*supervisor
	var running sync.WaitGroup
	// No process may start after the others were ended.
	defer running.Wait()
	defer close(stop)
	for _, m := range w.machines {
		s := &supervisor{w: w, m: m}
		supervisors = append(supervisors, s)
		running.Go(func() { s.run(stop) })
		x := &writer{name: "w" + m.name, machines: []*machine{m}, database: routeName, rec: w.rec, interval: 100 * time.Millisecond}
		go x.run(stop)
	}
	length := valueLength
	if !trouble {
		length = shortLength
	}
	for round := 0; round < roundCount && !isFault(supervisors); round++ {
		m := w.machines[round%machinesOfFault]
		if err := m.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
		set := setValues(m, fmt.Sprintf("s%d", round), length, w.rec)
		w.rec.line("a client at %s: %d of %d values of %d bytes were acknowledged", m.name, set, valueCount, length)
		if set == 0 {
			return false, errors.New("no value was acknowledged")
		}
		// A process that was over its limit is killed within two looks at it.
		time.Sleep(5 * watchInterval)
	}
	for _, s := range supervisors {
		w.rec.line("%s ended %d times", s.m.name, s.count())
	}
	return !isFault(supervisors), nil
}

// isFault reports whether processes have ended by themselves so often that the day has a fault.
func isFault(all []*supervisor) bool {
	n := 0
	for _, s := range all {
		if s.count() >= endsOfFault {
			n++
		}
	}
	return n >= machinesOfFault
}

// setValues sets the values in one session, and returns how many were acknowledged.
func setValues(m *machine, name string, length int, rec *record) int {
	c, err := dialClient(m.front, routeName, rec)
	if err != nil {
		return 0
	}
	defer func() { _ = c.conn.Close() }()
	value := strings.Repeat("x", length)
	for i := range valueCount {
		if a := c.query(fmt.Sprintf("%s-%d", name, i), fmt.Sprintf("SET v%d %s", i, value)); a.code != "OK" {
			return i
		}
	}
	return valueCount
}
