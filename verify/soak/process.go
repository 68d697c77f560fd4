package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorystand/chicorystand/platform"
	"github.com/chicorystand/chicorystand/platform/stub"
)

// process is one of the real programs.
type process struct {
	name     string
	binary   string
	settings string
	logPath  string
	// ended is told of an end that no fault has caused.
	ended func(name string, err error)

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the current command has ended.
	done chan struct{}
	// expected tells that a fault ends the process now.
	expected bool
	// busy tells that a fault has the process in hand.
	busy bool
}

func newProcess(dir, binary string, s stub.Settings, ended func(string, error)) (*process, error) {
	text, err := s.Encode()
	if err != nil {
		return nil, err
	}
	p := &process{name: s.Node, binary: binary, settings: filepath.Join(dir, s.Node+".yaml"), logPath: filepath.Join(dir, s.Node+".log"), ended: ended}
	return p, errors.Wrap(os.WriteFile(p.settings, text, 0o600), "write settings")
}

// start runs the program. Its log is added to the file of earlier lives.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	cmd := exec.Command(p.binary, "platform")
	cmd.Env = append(os.Environ(), platform.SettingsEnvVar+"="+p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return errors.Wrapf(err, "start %s", p.name)
	}
	done := make(chan struct{})
	p.cmd, p.done, p.expected = cmd, done, false
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		expected := p.expected
		p.mu.Unlock()
		if !expected {
			p.ended(p.name, err)
		}
		close(done)
	}()
	return nil
}

// take reserves the process for a fault. It reports false when another has it.
func (p *process) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy {
		return false
	}
	p.busy = true
	return true
}

func (p *process) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
}

// signal sends a signal to the process that this package has started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A process that has just ended needs no signal.
	_ = p.cmd.Process.Signal(s)
}

// stop ends the process with a signal, and with SIGKILL when it outlasts the grace period.
func (p *process) stop(s syscall.Signal, grace time.Duration) error {
	p.mu.Lock()
	p.expected = true
	done := p.done
	p.mu.Unlock()
	p.signal(s)
	select {
	case <-done:
		return nil
	case <-time.After(grace):
	}
	p.signal(syscall.SIGKILL)
	<-done
	return fmt.Errorf("%s has outlasted its grace period of %v after %v", p.name, grace, s)
}

// restart ends the process and starts it again after a pause.
func (p *process) restart(s syscall.Signal, grace, pause time.Duration) error {
	err := p.stop(s, grace)
	time.Sleep(pause)
	if startErr := p.start(); startErr != nil {
		return startErr
	}
	return err
}
