package faultrounds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
)

// Process is a process of a round, which may be started again after Kill. The zero value is not running. A Process is not safe for concurrent use.
type Process struct {
	Stdout *bytes.Buffer // of the last start; may be read once the process has ended
	Stderr *bytes.Buffer // likewise

	cmd    *exec.Cmd  // nil: not running
	exited chan error // receives the result of cmd.Wait
}

// Start runs argv with a configuration, encoded as JSON, as the last argument. The process is killed when its parent process dies.
func (p *Process) Start(argv []string, config any) error {
	text, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("encode process configuration: %w", err)
	}
	cmd := exec.Command(argv[0], append(slices.Clone(argv[1:]), string(text))...)
	p.Stdout, p.Stderr = &bytes.Buffer{}, &bytes.Buffer{}
	cmd.Stdout, cmd.Stderr = p.Stdout, p.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start process: %w", err)
	}
	exited := make(chan error, 1)
	p.cmd, p.exited = cmd, exited
	go func() { exited <- cmd.Wait() }() // ends with the process
	return nil
}

// running reports whether the process was started and Kill was not called since.
func (p *Process) running() bool { return p.cmd != nil }

// signal sends a signal to the process if it is running.
func (p *Process) signal(s os.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have exited by itself, which Kill reports
	}
}

// Kill kills the process, even if it is stopped by a signal, and waits until it has ended. If the process had exited before, Kill returns its exit status
// and standard error, and otherwise "".
func (p *Process) Kill() (exit string) {
	if p.cmd == nil {
		return ""
	}
	select {
	case err := <-p.exited:
		exit = fmt.Sprintf("%v: %s", err, strings.TrimSpace(p.Stderr.String()))
	default:
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited //nolint:errcheck // it was killed
	}
	p.cmd = nil
	return exit
}
