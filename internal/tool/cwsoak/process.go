package cwsoak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// restartAfter is how long the platform leaves a process that has ended.
const restartAfter = 300 * time.Millisecond

// process is one instance: a real proxy, started again whenever it ends.
type process struct {
	name    string
	program string
	args    []string
	logFile string
	callers string

	mu  sync.Mutex
	cmd *exec.Cmd
	// life counts the starts.
	life int
	// ending is true from a SIGTERM to the next start.
	ending bool
	closed bool
	done   chan struct{}
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
	p.cmd, p.ending, p.done = cmd, false, make(chan struct{})
	p.life++
	go p.run(cmd, out, p.done)
	return nil
}

// run waits for the end of the process and starts it again.
func (p *process) run(cmd *exec.Cmd, out *os.File, done chan struct{}) {
	// How it ended stands in its log.
	_ = cmd.Wait()
	_ = out.Close()
	close(done)
	time.Sleep(restartAfter)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		// A program that cannot be started shows as not recovered.
		_ = p.startLocked()
	}
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM {
		p.ending = true
	}
	// A process that has just ended takes no signal, and needs none.
	_ = p.cmd.Process.Signal(s)
}

// state returns the count of starts, and whether a planned stop is under way.
func (p *process) state() (life int, ending bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life, p.ending
}

func (p *process) stop() {
	p.mu.Lock()
	p.closed = true
	_ = p.cmd.Process.Kill()
	done := p.done
	p.mu.Unlock()
	<-done
}
