package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// stopTimeout bounds a graceful stop; the longest drain takes 30 s.
const stopTimeout = 40 * time.Second

// Process is one running program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// StartProcess runs a program with its output in a file of the directory.
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

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err is how the process ended, once Done is closed.
func (p *Process) Err() error { return p.err }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Stop asks the process to stop and waits for it. A process that fails or does
// not stop in time gives an error.
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

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}
