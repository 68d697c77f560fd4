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

// process is an instance of one of the real programs. Faults may end and restart it.
type process struct {
	name     string
	binary   string
	settings string
	logPath  string
	// onUnexpectedExit is called when the program exits without a fault having ended it.
	onUnexpectedExit func(name string, err error)

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the current command has exited.
	exited chan struct{}
	// exitExpected is set while a fault or the end of the run is terminating the process.
	exitExpected bool
	// reserved is set while a fault is acting on the process, which excludes other process faults.
	reserved bool
}

func newProcess(dir, binary string, s stub.Settings, onUnexpectedExit func(string, error)) (*process, error) {
	text, err := s.Encode()
	if err != nil {
		return nil, err
	}
	p := &process{name: s.Node, binary: binary, settings: filepath.Join(dir, s.Node+".yaml"), logPath: filepath.Join(dir, s.Node+".log"), onUnexpectedExit: onUnexpectedExit}
	return p, errors.Wrap(os.WriteFile(p.settings, text, 0o600), "write settings")
}

// start runs the program. Its output is appended to the log of earlier runs of the process.
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
	exited := make(chan struct{})
	p.cmd, p.exited, p.exitExpected = cmd, exited, false
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		expected := p.exitExpected
		p.mu.Unlock()
		if !expected {
			p.onUnexpectedExit(p.name, err)
		}
		close(exited)
	}()
	return nil
}

// tryReserve reserves the process for a fault. It reports false if another fault has reserved it.
func (p *process) tryReserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved {
		return false
	}
	p.reserved = true
	return true
}

func (p *process) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved = false
}

// signal sends a signal to the current command.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The error is ignored: the process may have just exited.
	_ = p.cmd.Process.Signal(s)
}

// stop terminates the process with a signal, and with SIGKILL if it does not exit within the grace period,
// which is an error.
func (p *process) stop(s syscall.Signal, grace time.Duration) error {
	p.mu.Lock()
	p.exitExpected = true
	exited := p.exited
	p.mu.Unlock()
	p.signal(s)
	select {
	case <-exited:
		return nil
	case <-time.After(grace):
	}
	p.signal(syscall.SIGKILL)
	<-exited
	return fmt.Errorf("%s did not exit within its grace period of %v after %v", p.name, grace, s)
}

// restart stops the process and starts it again after a pause.
func (p *process) restart(s syscall.Signal, grace, pause time.Duration) error {
	err := p.stop(s, grace)
	time.Sleep(pause)
	if startErr := p.start(); startErr != nil {
		return startErr
	}
	return err
}
