package fleet

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/magnoliamount/magnoliamount/internal/fault"
)

// Process is a process of the fleet.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// startProcess starts the program and appends its output to the log file.
func startProcess(name, path, logPath string, args ...string) (*Process, error) {
	output, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "open the log of %s", name)
	}
	cmd := exec.Command(path, args...)
	cmd.Stdout = output
	cmd.Stderr = output
	// The kernel kills the child when the test process is killed, so that no
	// processes are left running.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, log: output, done: make(chan struct{})}
	go p.reap()
	return p, nil
}

// reap waits for the exit of the process and records its error.
func (p *Process) reap() {
	p.err = p.cmd.Wait()
	_ = p.log.Close()
	close(p.done)
}

// Signal sends a signal; it has no effect on a process that has exited.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill sends SIGKILL to the process.
func (p *Process) Kill() { p.Signal(syscall.SIGKILL) }

// Suspend stops the process with SIGSTOP until Resume is called.
func (p *Process) Suspend() { p.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process with SIGCONT.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Wait waits until the process has exited and returns its error.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

// WaitTimeout is Wait with a timeout, after which it returns a fault.Timeout error.
func (p *Process) WaitTimeout(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return fault.New(fault.Timeout, "%s has not exited after %s", p.Name, timeout)
	}
}

// Ended reports whether the process has exited.
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
