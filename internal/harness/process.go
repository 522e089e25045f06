package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// stopTimeout limits a graceful stop. The longest drain takes 30 s.
const stopTimeout = 40 * time.Second

// Process is a program that was started. Its output goes to a log file.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// StartProcess starts a program and appends its output to NAME.log in a
// directory.
func StartProcess(dir, name, binary string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal, such as SIGSTOP or SIGKILL.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the exit error of the process. It may be called once Done is
// closed.
func (p *Process) Err() error { return p.err }

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Stop sends SIGTERM and waits until the process exits. It returns an error if
// the process fails, or if it doesn't exit within stopTimeout and is killed.
func (p *Process) Stop() error {
	_ = p.Signal(syscall.SIGCONT)
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrapf(err, "stop %s", p.Name)
	}
	select {
	case <-p.done:
		return errors.Wrapf(p.err, "%s", p.Name)
	case <-time.After(stopTimeout):
		p.Kill()
		return errors.Errorf("%s did not stop within %s", p.Name, stopTimeout)
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }
