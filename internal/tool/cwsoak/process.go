package cwsoak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time between the end of a process and its restart.
const restartDelay = 300 * time.Millisecond

// process is one instance: a proxy process that is restarted whenever it ends.
type process struct {
	name          string
	dataCentre    string
	program       string
	args          []string
	logFile       string
	callerAddress string
	readyAddress  string

	mu  sync.Mutex
	cmd *exec.Cmd
	// startCount is the number of starts.
	startCount int
	// stopping is true from a SIGTERM to the next start.
	stopping bool
	// closed is true once stop was called; the process is not restarted then.
	closed bool
	// lastExit is how the previous process ended; nil if it ended with code 0.
	lastExit error
	// done is closed when the current process has ended.
	done chan struct{}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startLocked()
}

func (p *process) startLocked() error {
	out, err := os.OpenFile(filepath.Clean(p.logFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.stopping, p.done = cmd, false, make(chan struct{})
	p.startCount++
	go p.waitAndRestart(cmd, out, p.done)
	return nil
}

// waitAndRestart waits for the end of the process and restarts it.
func (p *process) waitAndRestart(cmd *exec.Cmd, out *os.File, done chan struct{}) {
	// The cause of the exit is in the process's log.
	err := cmd.Wait()
	_ = out.Close()
	p.mu.Lock()
	p.lastExit = err
	p.mu.Unlock()
	close(done)
	time.Sleep(restartDelay)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		// A program that cannot be started is reported as NotRecovered.
		_ = p.startLocked()
	}
}

// pid returns the id of the current process.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM {
		p.stopping = true
	}
	// The error of a process that has just ended is of no interest.
	_ = p.cmd.Process.Signal(s)
}

// state returns the number of starts, and whether a planned stop is in progress.
func (p *process) state() (startCount int, stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startCount, p.stopping
}

// exit returns how the process ended before the one that runs now.
func (p *process) exit() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastExit
}

// current returns a channel that is closed when the process that runs now has ended.
func (p *process) current() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// stop kills the process for good and waits for its end.
func (p *process) stop() {
	p.mu.Lock()
	p.closed = true
	_ = p.cmd.Process.Kill()
	done := p.done
	p.mu.Unlock()
	<-done
}
