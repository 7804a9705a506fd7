package cluster

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is a child of the lab. It dies with the lab.
type Process struct {
	name string
	argv []string
	logs string

	mu   sync.Mutex
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// newProcess describes a process whose output goes to a file in logs.
func newProcess(logs, name string, argv ...string) *Process {
	return &Process{name: name, argv: argv, logs: logs}
}

// Start runs the process. It must not run already.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return Error.New("%s runs already", p.name)
	}
	file := filepath.Join(p.logs, p.name+".log")
	log, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	cmd := exec.Command(p.argv[0], p.argv[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	// A group of its own keeps the terminal's interrupt away from it: the lab
	// decides about the order of the stops.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return Error.New("%s: %w", p.name, err)
	}
	p.cmd, p.log, p.done, p.err = cmd, log, make(chan struct{}), nil
	go p.reap(cmd, log, p.done)
	return nil
}

// reap waits for the end of the process.
func (p *Process) reap(cmd *exec.Cmd, log *os.File, done chan struct{}) {
	err := cmd.Wait()
	_ = log.Close()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(done)
}

// running reports whether the process was started and has not ended; the
// caller holds the lock.
func (p *Process) running() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// signal sends a signal to a running process.
func (p *Process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return Error.New("%s does not run", p.name)
	}
	return Error.Wrap(p.cmd.Process.Signal(s))
}

// Freeze stops the process without its notice.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process to stop.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Wait returns how the process ended, or an error when ctx ends first.
func (p *Process) Wait(ctx context.Context) error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return nil
	}
	select {
	case <-done:
	case <-ctx.Done():
		return Error.New("%s still runs: %w", p.name, ctx.Err())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return Error.Wrap(p.err)
}

// end stops the process within the grace, or kills it. It reports an unclean
// end.
func (p *Process) end(grace time.Duration) error {
	if !p.Running() {
		return nil
	}
	_ = p.Resume()
	_ = p.Terminate()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	err := p.Wait(ctx)
	if p.Running() {
		_ = p.Kill()
	}
	return err
}
