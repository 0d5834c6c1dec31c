package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// maxThreadsSetting limits the processors that a child uses at once, as VMs have few.
const maxThreadsSetting = "GOMAXPROCS=2"

// process is a child process that can be killed and started again. Its output is
// appended to one file.
type process struct {
	name    string
	program string
	args    []string
	env     []string
	output  string // file
	clock   clock.Clock
	group   *errgroup.Group

	mu       sync.Mutex
	command  *exec.Cmd // nil while the process does not run
	exited   chan struct{}
	stopping bool // the next exit is expected
	deaths   []clock.Millis
	failures []string // unexpected exits
}

// start starts the process unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	output, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrapf(err, "open output of %s", p.name)
	}
	defer func() { _ = output.Close() }()         // the child has its own descriptor
	command := exec.Command(p.program, p.args...) //nolint:noctx // ended by signals
	command.Env = append(append(os.Environ(), maxThreadsSetting), p.env...)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	exited := make(chan struct{})
	p.command, p.exited, p.stopping = command, exited, false
	p.group.Go(func() error {
		err := command.Wait()
		p.recordExit(err)
		close(exited)
		return nil
	})
	return nil
}

// recordExit records that the process is gone, and a failure if nobody stopped it.
func (p *process) recordExit(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = nil
	if p.stopping {
		return
	}
	p.deaths = append(p.deaths, p.clock.Now())
	p.failures = append(p.failures, errors.Errorf("%s ended by itself: %v", p.name, err).Error())
}

// signal sends a signal if the process runs.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(sig) // it may have exited already
	}
}

// stop sends SIGTERM or SIGKILL and waits until the process is gone. A process that
// does not leave in time is killed.
func (p *process) stop(sig syscall.Signal) {
	p.mu.Lock()
	command, exited := p.command, p.exited
	if command == nil {
		p.mu.Unlock()
		return
	}
	if !p.stopping {
		p.stopping = true
		p.deaths = append(p.deaths, p.clock.Now())
	}
	_ = command.Process.Signal(sig)
	if sig == syscall.SIGTERM {
		_ = command.Process.Signal(syscall.SIGCONT)
	}
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(gracePeriod.Duration()):
		_ = command.Process.Kill()
		<-exited
	}
}

// running reports whether the process runs.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.stopping
}

// report returns when the process died, and its unexpected exits.
func (p *process) report() (deaths []clock.Millis, failures []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]clock.Millis{}, p.deaths...), append([]string{}, p.failures...)
}
