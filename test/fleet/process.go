package fleet

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Process is one running program of the fleet.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

func startProcess(name, path, logPath string, args ...string) (*Process, error) {
	output, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "open the log of %s", name)
	}
	cmd := exec.Command(path, args...)
	cmd.Stdout = output
	cmd.Stderr = output
	// A killed test must not leave its processes behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, log: output, done: make(chan struct{})}
	go p.reap()
	return p, nil
}

func (p *Process) reap() {
	p.err = p.cmd.Wait()
	_ = p.log.Close()
	close(p.done)
}

// Signal sends a signal; a process that has ended gets none.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process at once.
func (p *Process) Kill() { p.Signal(syscall.SIGKILL) }

// Freeze stops the process without ending it; Thaw lets it go on.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Wait waits for the end of the process and returns its failure.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

// WaitTimeout waits for the end of the process for a limited time.
func (p *Process) WaitTimeout(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return fault.New(fault.Timeout, "%s still runs after %s", p.Name, limit)
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }
