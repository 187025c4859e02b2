// Package stage runs a small deployment as processes on loopback addresses: the
// platform stand-in, the upstream servers and the hosts.
package stage

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// killDelay is the time that processes have to stop before they are killed.
const killDelay = 20 * time.Second

// Processes holds the processes of a deployment. [Processes.Close] ends all of them. It is
// safe for concurrent use.
type Processes struct {
	ctx context.Context
	// Bin is the directory of the programs, Dir that of keys, settings and logs.
	Bin, Dir string

	mu        sync.Mutex
	processes map[string]*Process
}

// Process is a running program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// New returns an empty set of processes, for the programs in bin and with its files in dir.
func New(ctx context.Context, bin, dir string) *Processes {
	return &Processes{ctx: ctx, Bin: bin, Dir: dir, processes: make(map[string]*Process)}
}

// Start starts a program under a process name. Its output is appended to the file
// NAME.log.
func (s *Processes) Start(name, program string, args ...string) error {
	return s.StartWith(nil, name, program, args...)
}

// StartWith starts a program as [Processes.Start] does, with additional environment
// variables.
func (s *Processes) StartWith(env []string, name, program string, args ...string) error {
	out, err := os.OpenFile(filepath.Join(s.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	cmd := exec.Command(filepath.Join(s.Bin, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), env...)
	// The kernel kills the process when this one ends, even if it is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	s.mu.Lock()
	s.processes[name] = p
	s.mu.Unlock()
	return nil
}

// PID returns the process id of the named process.
func (s *Processes) PID(name string) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[name]
	if p == nil {
		return 0, errors.Errorf("find %s: no such process", name)
	}
	return p.cmd.Process.Pid, nil
}

// Signal sends a signal to the named process.
func (s *Processes) Signal(name string, sig syscall.Signal) error {
	s.mu.Lock()
	p := s.processes[name]
	s.mu.Unlock()
	if p == nil {
		return errors.Errorf("signal %s: no such process", name)
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		return errors.Wrapf(err, "signal %s", name)
	}
	return nil
}

// Wait waits until the named process has ended and returns its error, which is not
// nil if the exit code isn't 0.
func (s *Processes) Wait(ctx context.Context, name string) error {
	s.mu.Lock()
	p := s.processes[name]
	s.mu.Unlock()
	if p == nil {
		return errors.Errorf("wait for %s: no such process", name)
	}
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for %s", name)
	}
}

// Run runs a program until it exits and returns its standard output and standard
// error. The error of a program that fails contains its output.
func (s *Processes) Run(program string, args ...string) ([]byte, error) {
	cmd := exec.CommandContext(s.ctx, filepath.Join(s.Bin, program), args...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return out, errors.Wrapf(err, "run %s: %s", program, out)
	}
	return out, nil
}

// Close ends all processes. It resumes paused ones, sends SIGTERM, and kills those
// that haven't exited after killDelay.
func (s *Processes) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	timeout := time.After(killDelay)
	for _, p := range s.processes {
		select {
		case <-p.done:
		case <-timeout:
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}
